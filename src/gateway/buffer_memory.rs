//! Memory for the part of an answer that is buffered.

use std::sync::Arc;

use derive_more::{Display, Error};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use super::admit::MEMORY_UNIT;

/// Buffered bytes that the reservation of the call itself covers.
const COVERED_BYTES: usize = 16 << 10;

/// Error for an answer that does not fit the memory for calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("no memory is left to buffer the answer")]
pub struct MemoryExhausted;

/// Reservation that grows with a buffer.
#[derive(Debug)]
pub struct BufferMemory {
    pool: Arc<Semaphore>,
    reserved: Option<OwnedSemaphorePermit>,
}

impl BufferMemory {
    /// Creates an empty reservation in the memory for calls.
    pub fn new(pool: Arc<Semaphore>) -> Self {
        Self { pool, reserved: None }
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

    /// Returns the reservation, once the buffer was passed on.
    pub fn release(&mut self) {
        self.reserved = None;
    }
}
