//! The lease that allows one router to run the fleet-wide jobs: a row in the table service.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::decision::lease::{LeaseClaim, LeaseRow, RowVersion};
use crate::fleet::FleetContext;
use crate::ids::{FencingNumber, NodeId};
use crate::lease::{LeaseTable, LeaseWrite};
use crate::store::{HttpTable, RowCondition, RowWrite, TableRow, TableService, TransactionOutcome};

/// Key of the lease row for the job that drives version moves.
pub const MOVES_LEASE: &str = "lease/moves";

/// Term of the lease, short enough that a failed holder is replaced well within one stage of the
/// shortest move.
pub const LEASE_TERM: Duration = Duration::from_secs(3);

/// Value of the lease row.
#[derive(Serialize, Deserialize)]
struct LeaseValue {
    holder: NodeId,
    fencing: FencingNumber,
}

/// The lease row of the version moves, for one router.
pub struct MovesLeaseTable<'a> {
    table: &'a HttpTable,
    node: NodeId,
}

impl<'a> MovesLeaseTable<'a> {
    /// Creates the access for the node of `context`.
    pub fn new(context: &'a FleetContext) -> Self {
        Self { table: &context.table, node: context.identity().node }
    }
}

impl LeaseTable for MovesLeaseTable<'_> {
    type Error = <HttpTable as TableService>::Error;

    fn node(&self) -> &NodeId {
        &self.node
    }

    async fn read(&self) -> Result<Option<LeaseRow>, Self::Error> {
        Ok(self.table.read(MOVES_LEASE).await?.and_then(decode_row))
    }

    async fn write(&self, claim: LeaseClaim) -> Result<LeaseWrite, Self::Error> {
        let condition = lease_condition(claim.expected.unwrap_or(0));
        let write = lease_write(&self.node, claim.fencing);
        Ok(match self.table.transact(vec![condition], vec![write]).await? {
            TransactionOutcome::Committed(versions) => {
                LeaseWrite::Written(versions.get(MOVES_LEASE).copied().unwrap_or_default())
            }
            TransactionOutcome::Conflict(_) => LeaseWrite::Conflict,
        })
    }
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
