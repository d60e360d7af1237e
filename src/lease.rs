//! Leases of fleet-wide work, stored as rows: acquires, renews and verifies them.
//!
//! The decisions are in [`crate::decision::lease`]. A [`LeaseTable`] gives access to one lease row, so
//! that the product's own table service and the platform's store share this mechanism.

use std::fmt::Display;
use std::future::Future;
use std::time::{Duration, Instant};

use crate::decision::lease::{LeaseClaim, LeaseHolder, LeaseRow, LeaseWaiter, RowVersion};
use crate::ids::{FencingNumber, NodeId};

/// Outcome of a conditional write of a lease row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseWrite {
    /// The row was written and has this version.
    Written(RowVersion),
    /// The row did not have the expected version.
    Conflict,
}

/// Access to the row of one lease on behalf of one node.
pub trait LeaseTable: Sync {
    /// Failure of a call; a write may have taken effect.
    type Error: Display;

    /// Returns the node that the lease is acquired for.
    fn node(&self) -> &NodeId;

    /// Reads the row.
    fn read(&self) -> impl Future<Output = Result<Option<LeaseRow>, Self::Error>> + Send;

    /// Writes the row for this node if it has the expected version.
    fn write(
        &self,
        claim: LeaseClaim,
    ) -> impl Future<Output = Result<LeaseWrite, Self::Error>> + Send;
}

/// State of a lease as this process knows it.
#[derive(Debug)]
pub enum JobLease {
    /// Another process may hold it.
    Waiting(LeaseWaiter),
    /// This process holds it, unless it was paused for longer than the term.
    Holding(LeaseHolder),
    /// This process may hold it: the outcome of its last write is unknown.
    Uncertain(LeaseHolder),
}

impl JobLease {
    /// Returns the initial state, which only watches the lease.
    pub fn waiting(term: Duration) -> Self {
        Self::Waiting(LeaseWaiter::new(term))
    }

    /// Returns the fencing number if this process holds the lease at `now` by its own clock.
    pub fn fencing(&self, now: Instant) -> Option<FencingNumber> {
        match self {
            Self::Holding(holder) if holder.is_current(now) => Some(holder.fencing()),
            _ => None,
        }
    }

    /// Returns the fencing number and the row version that writes are conditional on.
    pub fn fenced_version(&self) -> Option<(FencingNumber, RowVersion)> {
        match self {
            Self::Holding(holder) => Some((holder.fencing(), holder.expected_version())),
            _ => None,
        }
    }

    /// Records a write that renewed the row; `sent` is the time before the write.
    pub fn record_renewal(self, version: RowVersion, sent: Instant) -> Self {
        match self {
            Self::Holding(holder) => Self::Holding(holder.renew(version, sent)),
            other => other,
        }
    }

    /// Records a write whose outcome is unknown.
    pub fn into_uncertain(self) -> Self {
        match self {
            Self::Holding(holder) => Self::Uncertain(holder),
            other => other,
        }
    }

    /// Acquires the lease if it is free, renews it when due, and verifies it when uncertain.
    pub async fn refresh(self, table: &impl LeaseTable, now: Instant) -> Self {
        match self {
            Self::Waiting(waiter) => try_acquire(waiter, table, now).await,
            Self::Holding(holder) if holder.should_renew(now) => renew(holder, table, now).await,
            Self::Holding(holder) => Self::Holding(holder),
            Self::Uncertain(holder) => verify(holder, table, now).await,
        }
    }
}

/// Reads the lease row and claims the lease if it is free.
async fn try_acquire(mut waiter: LeaseWaiter, table: &impl LeaseTable, now: Instant) -> JobLease {
    let Ok(row) = table.read().await else {
        return JobLease::Waiting(waiter);
    };
    // `now` is from before the read, so that the time of this read does not count as time without
    // a change. The first observation of a version is dated early by up to the time of its read;
    // the writes of a holder that acquires too early are still conditional on the row's version.
    let Some(claim) = waiter.observe(row, now) else {
        return JobLease::Waiting(waiter);
    };
    match table.write(claim.clone()).await {
        Ok(LeaseWrite::Written(version)) => acquire(waiter, &claim, version, now),
        Ok(LeaseWrite::Conflict) => JobLease::Waiting(waiter),
        Err(_) => JobLease::Uncertain(waiter.acquire(&claim, 0, now)),
    }
}

fn acquire(waiter: LeaseWaiter, claim: &LeaseClaim, version: RowVersion, now: Instant) -> JobLease {
    log::info!(fencing = claim.fencing; "acquired the lease of the fleet-wide jobs");
    JobLease::Holding(waiter.acquire(claim, version, now))
}

/// Renews the lease; reads the row if the write fails.
async fn renew(holder: LeaseHolder, table: &impl LeaseTable, now: Instant) -> JobLease {
    let claim = LeaseClaim { fencing: holder.fencing(), expected: Some(holder.expected_version()) };
    match table.write(claim).await {
        Ok(LeaseWrite::Written(version)) => JobLease::Holding(holder.renew(version, now)),
        Ok(LeaseWrite::Conflict) | Err(_) => verify(holder, table, now).await,
    }
}

/// Reads the row to find out whether this process still holds the lease.
async fn verify(holder: LeaseHolder, table: &impl LeaseTable, now: Instant) -> JobLease {
    match table.read().await {
        Ok(row) => match row {
            Some(row) if row.holder == *table.node() && row.fencing == holder.fencing() => {
                JobLease::Holding(holder.renew(row.row_version, now))
            }
            _ => {
                log::warn!(fencing = holder.fencing(); "lost the lease of the fleet-wide jobs");
                JobLease::Waiting(holder.into_waiter())
            }
        },
        Err(_) => JobLease::Uncertain(holder),
    }
}
