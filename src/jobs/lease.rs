//! The lease that allows one router to run the fleet-wide jobs: a row in the table service.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::decision::lease::{LeaseClaim, LeaseHolder, LeaseRow, LeaseWaiter, RowVersion};
use crate::fleet::FleetContext;
use crate::ids::{FencingNumber, NodeId};
use crate::store::{RowCondition, RowWrite, TableRow, TableService, TransactionOutcome};

/// Key of the lease row for the job that drives version moves.
pub const MOVES_LEASE: &str = "lease/moves";

/// Term of the lease, short enough that a failed holder is replaced well within one stage of the
/// shortest move.
const LEASE_TERM: Duration = Duration::from_secs(3);

/// Value of the lease row.
#[derive(Serialize, Deserialize)]
struct LeaseValue {
    holder: NodeId,
    fencing: FencingNumber,
}

/// State of the lease as this process knows it.
pub enum JobLease {
    /// Another process may hold it.
    Waiting(LeaseWaiter),
    /// This process holds it, unless it was paused for longer than the term.
    Holding(LeaseHolder),
    /// This process may hold it: the outcome of its last write is unknown.
    Uncertain(LeaseHolder),
}

/// Returns the condition that the lease row still has `version`.
pub fn lease_condition(version: RowVersion) -> RowCondition {
    RowCondition { key: MOVES_LEASE.to_owned(), version }
}

/// Returns the write of the lease row.
pub fn lease_write(holder: &NodeId, fencing: FencingNumber) -> RowWrite {
    let value = json!({ "holder": holder, "fencing": fencing });
    RowWrite { key: MOVES_LEASE.to_owned(), value: Some(value) }
}

/// Reads the highest fencing number stored; 0 if the lease was never held.
pub async fn read_fencing<T: TableService>(table: &T) -> Result<FencingNumber, T::Error> {
    let row = table.read(MOVES_LEASE).await?;
    Ok(row.and_then(decode_row).map_or(0, |row| row.fencing))
}

fn decode_row(row: TableRow) -> Option<LeaseRow> {
    let value: LeaseValue = serde_json::from_value(row.value).ok()?;
    Some(LeaseRow { holder: value.holder, fencing: value.fencing, row_version: row.version })
}

impl JobLease {
    /// Returns the initial state, which only watches the lease.
    pub fn waiting() -> Self {
        Self::Waiting(LeaseWaiter::new(LEASE_TERM))
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
    pub async fn refresh(self, context: &FleetContext, now: Instant) -> Self {
        match self {
            Self::Waiting(waiter) => try_acquire(waiter, context, now).await,
            Self::Holding(holder) if holder.should_renew(now) => renew(holder, context, now).await,
            Self::Holding(holder) => Self::Holding(holder),
            Self::Uncertain(holder) => verify(holder, context, now).await,
        }
    }
}

/// Reads the lease row and claims the lease if it is free.
async fn try_acquire(mut waiter: LeaseWaiter, context: &FleetContext, now: Instant) -> JobLease {
    let Ok(row) = context.table.read(MOVES_LEASE).await else {
        return JobLease::Waiting(waiter);
    };
    // `now` is from before the read, so that the time of this read does not count as time without
    // a change. The first observation of a version is dated early by up to the time of its read;
    // the writes of a holder that acquires too early are still conditional on the row's version.
    let Some(claim) = waiter.observe(row.and_then(decode_row), now) else {
        return JobLease::Waiting(waiter);
    };
    let condition = lease_condition(claim.expected.unwrap_or(0));
    let write = lease_write(&context.card().node, claim.fencing);
    match context.table.transact(vec![condition], vec![write]).await {
        Ok(TransactionOutcome::Committed(versions)) => {
            let version = versions.get(MOVES_LEASE).copied().unwrap_or_default();
            acquire(waiter, &claim, version, now)
        }
        Ok(TransactionOutcome::Conflict(_)) => JobLease::Waiting(waiter),
        Err(_) => JobLease::Uncertain(waiter.acquire(&claim, 0, now)),
    }
}

fn acquire(waiter: LeaseWaiter, claim: &LeaseClaim, version: RowVersion, now: Instant) -> JobLease {
    log::info!(fencing = claim.fencing; "acquired the lease of the fleet-wide jobs");
    JobLease::Holding(waiter.acquire(claim, version, now))
}

/// Renews the lease; reads the row if the write fails.
async fn renew(holder: LeaseHolder, context: &FleetContext, now: Instant) -> JobLease {
    let condition = lease_condition(holder.expected_version());
    let write = lease_write(&context.card().node, holder.fencing());
    match context.table.transact(vec![condition], vec![write]).await {
        Ok(TransactionOutcome::Committed(versions)) => {
            let version = versions.get(MOVES_LEASE).copied().unwrap_or_default();
            JobLease::Holding(holder.renew(version, now))
        }
        Ok(TransactionOutcome::Conflict(_)) | Err(_) => verify(holder, context, now).await,
    }
}

/// Reads the row to find out whether this process still holds the lease.
async fn verify(holder: LeaseHolder, context: &FleetContext, now: Instant) -> JobLease {
    match context.table.read(MOVES_LEASE).await {
        Ok(row) => match row.and_then(decode_row) {
            Some(row) if row.holder == context.card().node && row.fencing == holder.fencing() => {
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
