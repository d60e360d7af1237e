//! The lease row in the table service.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::decision::lease::{LeaseClaim, LeaseHolder, LeaseRow, LeaseWaiter, RowVersion};
use crate::fleet::FleetContext;
use crate::ids::{FencingNumber, NodeId};
use crate::store::{RowCondition, RowWrite, TableRow, TableService, TransactionOutcome};

/// Name of the lease of the job that drives version moves.
pub const MOVES_LEASE: &str = "lease/moves";

/// Term of the lease: a dead holder is replaced well within a stage of the shortest move.
const TERM: Duration = Duration::from_secs(3);

#[derive(Serialize, Deserialize)]
struct LeaseValue {
    holder: NodeId,
    fencing: FencingNumber,
}

/// What this process knows about the lease.
pub enum JobLease {
    /// Another process may hold it.
    Waiting(LeaseWaiter),
    /// This process holds it, unless it was frozen.
    Holding(LeaseHolder),
    /// This process held it, and the outcome of its last write is not known.
    Doubted(LeaseHolder),
}

/// Requires that the lease row has not changed.
pub fn lease_condition(version: RowVersion) -> RowCondition {
    RowCondition { key: MOVES_LEASE.to_owned(), version }
}

/// Writes the lease row.
pub fn lease_write(holder: &NodeId, fencing: FencingNumber) -> RowWrite {
    let value = json!({ "holder": holder, "fencing": fencing });
    RowWrite { key: MOVES_LEASE.to_owned(), value: Some(value) }
}

/// Reads the highest fencing number on record; 0 when the lease was never held.
pub async fn read_fencing<T: TableService>(table: &T) -> Result<FencingNumber, T::Error> {
    let row = table.read(MOVES_LEASE).await?;
    Ok(row.and_then(parse_row).map_or(0, |row| row.fencing))
}

fn parse_row(row: TableRow) -> Option<LeaseRow> {
    let value: LeaseValue = serde_json::from_value(row.value).ok()?;
    Some(LeaseRow { holder: value.holder, fencing: value.fencing, row_version: row.version })
}

impl JobLease {
    /// Starts to watch the lease.
    pub fn waiting() -> Self {
        Self::Waiting(LeaseWaiter::new(TERM))
    }

    /// Returns the fencing number while this process holds the lease by its own clock.
    pub fn fencing(&self, now: Instant) -> Option<FencingNumber> {
        match self {
            Self::Holding(holder) if holder.is_current(now) => Some(holder.fencing()),
            _ => None,
        }
    }

    /// Returns the fencing number and the row version that writes are conditional on.
    pub fn holder(&self) -> Option<(FencingNumber, RowVersion)> {
        match self {
            Self::Holding(holder) => Some((holder.fencing(), holder.expected_version())),
            _ => None,
        }
    }

    /// Takes note of a write that renewed the row.
    pub fn renewed(self, version: RowVersion, sent: Instant) -> Self {
        match self {
            Self::Holding(holder) => Self::Holding(holder.renew(version, sent)),
            other => other,
        }
    }

    /// Takes note of a write whose outcome is not known.
    pub fn doubted(self) -> Self {
        match self {
            Self::Holding(holder) => Self::Doubted(holder),
            other => other,
        }
    }

    /// Claims the lease when it is free, renews it when it is due, settles doubts.
    pub async fn keep(self, context: &FleetContext, now: Instant) -> Self {
        match self {
            Self::Waiting(waiter) => watch(waiter, context, now).await,
            Self::Holding(holder) if holder.should_renew(now) => renew(holder, context, now).await,
            Self::Holding(holder) => Self::Holding(holder),
            Self::Doubted(holder) => settle(holder, context, now).await,
        }
    }
}

async fn watch(mut waiter: LeaseWaiter, context: &FleetContext, now: Instant) -> JobLease {
    let Ok(row) = context.table.read(MOVES_LEASE).await else {
        return JobLease::Waiting(waiter);
    };
    // The row is from after the read was sent, so `now` from before it is on the safe side only
    // for its first sight; a later `now` would count the time of the read as unchanged.
    let Some(claim) = waiter.observe(row.and_then(parse_row), now) else {
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
        Err(_) => JobLease::Doubted(waiter.acquire(&claim, 0, now)),
    }
}

fn acquire(waiter: LeaseWaiter, claim: &LeaseClaim, version: RowVersion, now: Instant) -> JobLease {
    log::info!(fencing = claim.fencing; "this process holds the lease of the fleet's jobs");
    JobLease::Holding(waiter.acquire(claim, version, now))
}

async fn renew(holder: LeaseHolder, context: &FleetContext, now: Instant) -> JobLease {
    let condition = lease_condition(holder.expected_version());
    let write = lease_write(&context.card().node, holder.fencing());
    match context.table.transact(vec![condition], vec![write]).await {
        Ok(TransactionOutcome::Committed(versions)) => {
            let version = versions.get(MOVES_LEASE).copied().unwrap_or_default();
            JobLease::Holding(holder.renew(version, now))
        }
        Ok(TransactionOutcome::Conflict(_)) | Err(_) => settle(holder, context, now).await,
    }
}

/// Reads the row: it says whether this process still holds the lease.
async fn settle(holder: LeaseHolder, context: &FleetContext, now: Instant) -> JobLease {
    match context.table.read(MOVES_LEASE).await {
        Ok(row) => match row.and_then(parse_row) {
            Some(row) if row.holder == context.card().node && row.fencing == holder.fencing() => {
                JobLease::Holding(holder.renew(row.row_version, now))
            }
            _ => {
                log::warn!(fencing = holder.fencing(); "this process has lost the lease of the fleet's jobs");
                JobLease::Waiting(holder.into_waiter())
            }
        },
        Err(_) => JobLease::Doubted(holder),
    }
}
