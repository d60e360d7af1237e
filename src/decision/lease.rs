//! Leases with fencing numbers, stored as rows of the table service.
//!
//! A waiter treats a lease as expired when its row has not changed for a full term on the waiter's
//! own monotonic clock, so no synchronised clocks are needed. A holder that was suspended for
//! longer than its term has no effect: its writes are conditional on the version of the lease row,
//! and its orders carry an outdated fencing number.

use std::time::{Duration, Instant};

use crate::ids::{FencingNumber, NodeId, RowVersion};

/// Content and version of a lease row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseRow {
    /// Node that holds the lease.
    pub holder: NodeId,
    /// Fencing number, which increases with each new holder.
    pub fencing: FencingNumber,
    /// Version of the row, which changes with each renewal.
    pub row_version: RowVersion,
}

/// Write that acquires a lease, on condition that the row has the version `expected`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseClaim {
    /// Fencing number to write.
    pub fencing: FencingNumber,
    /// Expected version of the row, or `None` if the row must not exist.
    pub expected: Option<RowVersion>,
}

/// A node that waits for a lease, which another node may hold.
#[derive(Clone, Debug)]
pub struct LeaseWaiter {
    term: Duration,
    last_row: Option<(LeaseRow, Instant)>,
}

/// A node that has acquired a lease and may still hold it.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    term: Duration,
    fencing: FencingNumber,
    row_version: RowVersion,
    renewed_at: Instant,
}

impl LeaseWaiter {
    /// Starts to wait for a lease with the given term.
    pub fn new(term: Duration) -> Self {
        Self { term, last_row: None }
    }

    /// Applies the row as read at `now`, and returns the claim to write if the lease is free or
    /// expired.
    pub fn observe(&mut self, row: Option<LeaseRow>, now: Instant) -> Option<LeaseClaim> {
        let Some(row) = row else {
            self.last_row = None;
            return Some(LeaseClaim { fencing: 1, expected: None });
        };
        let unchanged_since = match &self.last_row {
            Some((last_row, since)) if last_row.row_version == row.row_version => *since,
            _ => now,
        };
        let claim = LeaseClaim { fencing: row.fencing + 1, expected: Some(row.row_version) };
        self.last_row = Some((row, unchanged_since));
        (now.saturating_duration_since(unchanged_since) >= self.term).then_some(claim)
    }

    /// Becomes the holder after the claim was written. `sent_at` is the time before the write, so
    /// that the duration of the write counts towards the term.
    pub fn acquire(
        self,
        claim: &LeaseClaim,
        row_version: RowVersion,
        sent_at: Instant,
    ) -> LeaseHolder {
        LeaseHolder { term: self.term, fencing: claim.fencing, row_version, renewed_at: sent_at }
    }
}

impl LeaseHolder {
    /// Returns the fencing number that the holder's orders must carry.
    pub fn fencing(&self) -> FencingNumber {
        self.fencing
    }

    /// Returns the version of the lease row that each write of the holder must expect.
    pub fn expected_version(&self) -> RowVersion {
        self.row_version
    }

    /// Returns whether it is time to renew the lease. Renewing after a third of the term leaves
    /// time for two retries.
    pub fn should_renew(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.renewed_at) >= self.term / 3
    }

    /// Returns whether the lease is valid by the holder's own clock. This only avoids useless work;
    /// safety depends on the conditional writes and fencing numbers.
    pub fn is_current(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.renewed_at) < self.term
    }

    /// Records a write that renewed the row. `sent_at` is the time before the write.
    pub fn renew(self, row_version: RowVersion, sent_at: Instant) -> Self {
        Self { row_version, renewed_at: sent_at, ..self }
    }

    /// Gives up the lease after a write with a failed condition, and waits for it again.
    pub fn into_waiter(self) -> LeaseWaiter {
        LeaseWaiter::new(self.term)
    }
}

/// Highest fencing number in the orders for an upstream. Kept by the agent if the upstream does not
/// check fencing numbers itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OrderFence {
    highest: FencingNumber,
}

impl OrderFence {
    /// Creates a fence with the highest number that is stored.
    pub fn new(highest: FencingNumber) -> Self {
        Self { highest }
    }

    /// Returns the highest number seen.
    pub fn highest(self) -> FencingNumber {
        self.highest
    }

    /// Records an order, and returns whether it is accepted: not if a higher number was seen.
    pub fn accept(&mut self, fencing: FencingNumber) -> bool {
        let accepted = fencing >= self.highest;
        self.highest = self.highest.max(fencing);
        accepted
    }
}
