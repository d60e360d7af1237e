//! Access to the lease of the duties, on behalf of one router.

use std::sync::{Mutex, PoisonError};

use super::adapter::{DutyWrite, FleetSource, SourceError, StoredDuties};
use crate::decision::lease::{LeaseClaim, LeaseRow};
use crate::ids::{FencingNumber, NodeId};
use crate::lease::{LeaseTable, LeaseWrite};

/// Number of low bits of a fencing number that count the holders within one era of the store. The
/// era is above them: a store that was restored from an older copy may have forgotten numbers.
const ERA_SHIFT: u32 = 20;

/// The lease row of the duties, for one router.
pub(super) struct DutyTable<'a, S> {
    source: &'a S,
    node: &'a NodeId,
    highest_fencing: FencingNumber,
    /// What was read last, for the record beside the lease.
    stored: Mutex<Option<StoredDuties>>,
}

impl<'a, S: FleetSource> DutyTable<'a, S> {
    /// Creates the access to the row; `highest_fencing` is the highest number heard of.
    pub(super) fn new(source: &'a S, node: &'a NodeId, highest_fencing: FencingNumber) -> Self {
        Self { source, node, highest_fencing, stored: Mutex::new(None) }
    }

    /// Returns what was read last.
    pub(super) fn into_stored(self) -> Option<StoredDuties> {
        self.stored.into_inner().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S: FleetSource> LeaseTable for DutyTable<'_, S> {
    type Error = SourceError;

    fn node(&self) -> &NodeId {
        self.node
    }

    /// Reads the row. One that is absent reads as held by nobody, so that it is not taken before a
    /// full term: after the store was restored, the holder may not know yet that its row is gone.
    async fn read(&self) -> Result<Option<LeaseRow>, SourceError> {
        let stored = self.source.read_duties().await?;
        let floor = self.highest_fencing.max(stored.era << ERA_SHIFT);
        let row = match &stored.lease {
            Some(lease) => LeaseRow {
                holder: NodeId::clone(&lease.holder),
                fencing: lease.fencing.max(floor),
                row_version: lease.version,
            },
            None => LeaseRow { holder: NodeId::from(""), fencing: floor, row_version: 0 },
        };
        *self.stored.lock().unwrap_or_else(PoisonError::into_inner) = Some(stored);
        Ok(Some(row))
    }

    async fn write(&self, claim: LeaseClaim) -> Result<LeaseWrite, SourceError> {
        let write = DutyWrite {
            holder: NodeId::clone(self.node),
            fencing: claim.fencing,
            expected: claim.expected.unwrap_or(0),
            usage: None,
        };
        let written = self.source.write_duties(&write).await?;
        Ok(written.map_or(LeaseWrite::Conflict, |written| LeaseWrite::Written(written.version)))
    }
}
