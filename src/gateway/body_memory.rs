//! Memory for the body of a call while it is received.

use std::time::Instant;

use tokio::sync::OwnedSemaphorePermit;

use super::GatewayContext;
use super::adapter::GatewayAdapter;
use super::admit::{CALL_MEMORY_UNITS, MEMORY_UNIT, reserve};
use super::buffer_memory::MAX_SHED;

/// Part of a body that is reserved together with the call itself, in bytes.
const INITIAL_BYTES: usize = 16 << 10;

/// Reservation for a call that grows with its body.
#[derive(Debug)]
pub(super) struct BodyMemory {
    permit: OwnedSemaphorePermit,
    covered_bytes: usize,
}

impl BodyMemory {
    /// Reserves the memory of a call and of the first bytes of its body; `None` if none is left.
    pub(super) async fn reserve<A: GatewayAdapter>(
        context: &GatewayContext<A>,
        declared_bytes: Option<usize>,
    ) -> Option<Self> {
        let covered_bytes = declared_bytes.unwrap_or_default().min(INITIAL_BYTES);
        let permit =
            reserve_or_shed(context, CALL_MEMORY_UNITS * MEMORY_UNIT + covered_bytes).await?;
        Some(Self { permit, covered_bytes })
    }

    /// Extends the reservation to a body of `bytes`; returns whether there was memory for it.
    pub(super) async fn cover<A: GatewayAdapter>(
        &mut self,
        context: &GatewayContext<A>,
        bytes: usize,
    ) -> bool {
        let missing = bytes.saturating_sub(self.covered_bytes);
        if missing == 0 {
            return true;
        }
        match reserve_or_shed(context, missing).await {
            Some(more) => self.permit.merge(more),
            None if self.holds_all(context) => {}
            None => return false,
        }
        self.covered_bytes += missing.next_multiple_of(MEMORY_UNIT);
        true
    }

    /// Returns whether no other call holds memory. A single body of legal size is received even if
    /// the settings give the process less memory than the configuration allows one body.
    fn holds_all<A: GatewayAdapter>(&self, context: &GatewayContext<A>) -> bool {
        let total = context.settings.call_memory() / MEMORY_UNIT;
        context.memory.available_permits() + self.permit.num_permits() >= total
    }

    /// Returns the memory that is reserved, in bytes.
    pub(super) fn held_bytes(&self) -> usize {
        self.permit.num_permits() * MEMORY_UNIT
    }

    /// Ends the growth and returns the reservation.
    pub(super) fn close(self) -> OwnedSemaphorePermit {
        self.permit
    }
}

/// Reserves memory. When none is left, the connections that hold most and move least are closed.
async fn reserve_or_shed<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    bytes: usize,
) -> Option<OwnedSemaphorePermit> {
    for _ in 0..MAX_SHED {
        if let Some(permit) = reserve(context, bytes) {
            return Some(permit);
        }
        if !context.clients.shed_for_memory(Instant::now()) {
            return None;
        }
        // The memory is free once the task of the connection has been dropped.
        tokio::task::yield_now().await;
    }
    reserve(context, bytes)
}
