//! Memory for the part of an answer that is buffered.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use derive_more::{Display, Error};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::GatewayContext;
use super::adapter::GatewayAdapter;
use super::admit::MEMORY_UNIT;
use super::connection_meter::ConnectionRegistry;

/// Buffered bytes that the reservation of the call itself covers.
pub(super) const COVERED_BYTES: usize = 16 << 10;

/// Maximum number of connections that are closed for one reservation.
pub(super) const MAX_SHED: usize = 16;

/// Error for an answer that does not fit the memory for calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("no memory is left to buffer the answer")]
pub struct MemoryExhausted;

/// Reservation that grows with a buffer.
#[derive(Debug)]
pub struct BufferMemory {
    pool: Arc<Semaphore>,
    clients: Arc<ConnectionRegistry>,
    reserved: Option<OwnedSemaphorePermit>,
}

impl BufferMemory {
    /// Creates an empty reservation in the memory for calls.
    pub fn new<A: GatewayAdapter>(context: &GatewayContext<A>) -> Self {
        let pool = Arc::clone(&context.memory);
        Self { pool, clients: Arc::clone(&context.clients), reserved: None }
    }

    /// Extends the reservation to a buffer of `bytes`. When no memory is left, the connections that
    /// hold most and move least are closed.
    pub async fn cover_or_shed(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        for _ in 0..MAX_SHED {
            if self.cover(bytes).is_ok() || !self.clients.shed_for_memory(Instant::now()) {
                break;
            }
            // The memory is free once the task of the connection has been dropped.
            tokio::task::yield_now().await;
        }
        self.cover(bytes)
    }

    /// Extends the reservation to a buffer of `bytes`.
    pub fn cover(&mut self, bytes: usize) -> Result<(), MemoryExhausted> {
        let needed = bytes.saturating_sub(COVERED_BYTES).div_ceil(MEMORY_UNIT);
        let held = self.reserved.as_ref().map_or(0, OwnedSemaphorePermit::num_permits);
        if needed <= held {
            return Ok(());
        }
        let missing = u32::try_from(needed - held).map_err(|_| MemoryExhausted)?;
        let more =
            Arc::clone(&self.pool).try_acquire_many_owned(missing).map_err(|_| MemoryExhausted)?;
        match &mut self.reserved {
            Some(reserved) => reserved.merge(more),
            None => self.reserved = Some(more),
        }
        Ok(())
    }

    /// Turns a buffer into bytes that hold the reservation until the last of them was written.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        match self.reserved {
            Some(reserved) => Bytes::from_owner(ReservedBytes { bytes, _reserved: reserved }),
            None => bytes,
        }
    }

    /// Returns the reservation, once the buffer was passed on.
    pub fn release(&mut self) {
        self.reserved = None;
    }
}

/// Bytes with the reservation of their memory.
struct ReservedBytes {
    bytes: Bytes,
    _reserved: OwnedSemaphorePermit,
}

impl AsRef<[u8]> for ReservedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
