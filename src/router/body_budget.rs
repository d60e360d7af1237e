//! Limit on the total size of the request bodies that a router holds.
//!
//! The limits per team and per body alone would allow more than a router's memory when many teams
//! queue requests at once.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Bytes per semaphore permit.
const PERMIT_BYTES: u64 = 1024;

/// Budget shared by all request bodies.
#[derive(Clone, Debug)]
pub struct BodyBudget {
    free: Arc<Semaphore>,
}

/// Part of the budget that one body occupies; returned on drop.
#[derive(Debug)]
pub struct BodyReservation {
    permit: OwnedSemaphorePermit,
}

impl BodyBudget {
    /// Creates a budget of `bytes` for all bodies together.
    pub fn new(bytes: u64) -> Self {
        let permits = usize::try_from(bytes / PERMIT_BYTES).unwrap_or(usize::MAX);
        Self { free: Arc::new(Semaphore::new(permits.min(Semaphore::MAX_PERMITS))) }
    }

    /// Reserves space for a body; `None` if the budget is exhausted.
    pub fn reserve(&self, bytes: u64) -> Option<BodyReservation> {
        let permit = Arc::clone(&self.free).try_acquire_many_owned(permits_of(bytes)).ok()?;
        Some(BodyReservation { permit })
    }
}

impl BodyReservation {
    /// Returns what exceeds `bytes` to the budget.
    pub fn shrink(&mut self, bytes: u64) {
        let excess = self.permit.num_permits().saturating_sub(permits_of(bytes) as usize);
        drop(self.permit.split(excess));
    }
}

fn permits_of(bytes: u64) -> u32 {
    u32::try_from(bytes.div_ceil(PERMIT_BYTES)).unwrap_or(u32::MAX)
}
