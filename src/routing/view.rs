//! The state that operators and upstreams publish, as known to one router.
//!
//! Each part carries the revision up to which it is known. Nothing older is ever applied, whether
//! it comes from the store or from another router. When the store was restored from an older copy,
//! each part is read whole, and what the copy lacks is kept for a while (see `restore`).

use std::sync::Arc;
use std::time::Instant;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::entry::{MoveOrder, RouteConfiguration, UpstreamEntry};
use super::restore::{RestoreCounts, RestoreState};
use crate::ids::{DataCentreId, RowVersion, ServiceId, StoreEra, StoreRevision, UpstreamId};

/// Part of the state that is followed on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
pub enum ViewPart {
    /// Configuration and orders of the operators.
    #[display("operators")]
    Operators,
    /// Entries of the upstreams.
    #[display("upstreams")]
    Upstreams,
}

impl ViewPart {
    /// All parts.
    pub const ALL: [Self; 2] = [Self::Operators, Self::Upstreams];
}

/// One change of a part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ViewChange {
    /// A new configuration. Its serialized name is older than the type's.
    #[serde(rename = "Sheet")]
    Configuration(Arc<RouteConfiguration>),
    /// A data centre was taken out: its upstreams get no more calls.
    TakenOut(DataCentreId),
    /// A data centre was taken back into service.
    TakenBack(DataCentreId),
    /// A version move was ordered.
    MoveOrdered(MoveOrder),
    /// The order of a version move was removed.
    MoveEnded(ServiceId),
    /// An upstream was added or changed.
    Upstream(UpstreamId, UpstreamEntry),
    /// An upstream's entry was removed.
    UpstreamGone(UpstreamId),
}

/// Changes of one part, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct ViewBatch {
    /// The part.
    pub part: ViewPart,
    /// Revision of the part after these changes.
    pub revision: StoreRevision,
    /// Whether the changes are the complete content of the part.
    pub complete: bool,
    /// The changes.
    pub changes: Vec<ViewChange>,
    /// Versions of the rows of upstreams, as far as they are known.
    pub row_versions: IndexMap<UpstreamId, RowVersion>,
}

/// Configuration, orders and upstreams as known to one router.
#[derive(Debug, Default)]
pub struct FleetView {
    pub(super) operators: StoreRevision,
    pub(super) upstreams: StoreRevision,
    pub(super) configuration: Option<Arc<RouteConfiguration>>,
    pub(super) taken_out: IndexSet<DataCentreId>,
    pub(super) moves: IndexMap<ServiceId, MoveOrder>,
    pub(super) entries: IndexMap<UpstreamId, UpstreamEntry>,
    pub(super) row_versions: IndexMap<UpstreamId, RowVersion>,
    pub(super) restore: RestoreState,
}

impl FleetView {
    /// Returns the revision up to which a part is known.
    pub fn revision(&self, part: ViewPart) -> StoreRevision {
        match part {
            ViewPart::Operators => self.operators,
            ViewPart::Upstreams => self.upstreams,
        }
    }

    /// Returns the revision up to which a part can be passed on to other routers: zero for the
    /// operators' part while no configuration is known, as the source's may be invalid.
    pub fn usable_revision(&self, part: ViewPart) -> StoreRevision {
        match part {
            ViewPart::Operators if self.configuration.is_none() => StoreRevision::default(),
            part => self.revision(part),
        }
    }

    /// Returns the newest era of which something is known.
    pub fn era(&self) -> StoreEra {
        self.operators.era.max(self.upstreams.era)
    }

    /// Returns the number of things that were kept or not taken over at the last restore of the
    /// store.
    pub fn restore_counts(&self) -> RestoreCounts {
        self.restore.counts()
    }

    /// Returns when the view first took over something of the newest era; `None` if the store was not
    /// restored since the start.
    pub fn restore_began_at(&self) -> Option<Instant> {
        self.restore.began_at()
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Arc<RouteConfiguration>> {
        self.configuration.as_ref()
    }

    /// Data centres that are taken out of service.
    pub fn taken_out(&self) -> &IndexSet<DataCentreId> {
        &self.taken_out
    }

    /// Returns the orders of version moves by service.
    pub fn moves(&self) -> &IndexMap<ServiceId, MoveOrder> {
        &self.moves
    }

    /// Returns the upstreams by id.
    pub fn entries(&self) -> &IndexMap<UpstreamId, UpstreamEntry> {
        &self.entries
    }

    /// Applies a batch unless it is older than the known revision; returns the changes that had an
    /// effect. The first batch of a new era must be complete.
    pub fn apply(&mut self, batch: ViewBatch, now: Instant) -> Vec<ViewChange> {
        let current = self.revision(batch.part);
        let continues = batch.revision > current && batch.revision.era == current.era;
        if batch.revision < current || !(batch.complete || continues) {
            return Vec::new();
        }
        self.enter_revision(batch.part, batch.revision, now);
        let changes = if batch.complete {
            self.reconcile(&batch, now)
        } else {
            self.release(&batch.changes);
            batch.changes
        };
        self.record_versions(&changes, &batch.row_versions);
        changes.into_iter().filter(|change| self.apply_change(change)).collect()
    }

    /// Ends the use of what was kept at a restore of the store, once its time is over; returns the
    /// changes.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<ViewChange> {
        let upstreams = self.restore.take_expired_upstreams(now);
        for id in &upstreams {
            self.entries.shift_remove(id);
            self.row_versions.shift_remove(id);
        }
        let data_centres = self.restore.take_expired_data_centres(now);
        let moves = self.restore.take_expired_moves(now);
        let orders = data_centres.into_iter().map(ViewChange::TakenBack).chain(
            moves.into_iter().map(|(service, stored)| {
                stored.map_or(ViewChange::MoveEnded(service), ViewChange::MoveOrdered)
            }),
        );
        let orders: Vec<ViewChange> = orders.filter(|change| self.apply_change(change)).collect();
        upstreams.into_iter().map(ViewChange::UpstreamGone).chain(orders).collect()
    }

    fn enter_revision(&mut self, part: ViewPart, revision: StoreRevision, now: Instant) {
        let current = self.revision(part);
        let is_restored = current != StoreRevision::default() && revision.era > current.era;
        let is_first = revision.era > self.era();
        match part {
            ViewPart::Operators => {
                if is_restored {
                    self.restore.begin_operators(current, is_first, now);
                }
                self.operators = revision;
            }
            ViewPart::Upstreams => {
                if is_restored {
                    self.restore.begin_upstreams(current, is_first, now);
                }
                self.upstreams = revision;
            }
        }
    }

    /// Records the versions of the rows of changes that are about to be applied.
    fn record_versions(
        &mut self,
        changes: &[ViewChange],
        versions: &IndexMap<UpstreamId, RowVersion>,
    ) {
        for change in changes {
            if let ViewChange::Upstream(id, _) = change
                && let Some(version) = versions.get(id)
            {
                self.row_versions.insert(Arc::clone(id), *version);
            }
        }
    }

    /// Records changes that were made after the last known revision. What they concern is neither
    /// kept nor distrusted any longer.
    fn release(&mut self, changes: &[ViewChange]) {
        for change in changes {
            match change {
                ViewChange::Configuration(_) => {}
                ViewChange::TakenOut(id) | ViewChange::TakenBack(id) => {
                    self.restore.release_data_centre(id);
                }
                ViewChange::MoveOrdered(order) => self.restore.release_move(&order.service),
                ViewChange::MoveEnded(service) => self.restore.release_move(service),
                ViewChange::Upstream(id, _) | ViewChange::UpstreamGone(id) => {
                    self.restore.release_upstream(id);
                }
            }
        }
    }

    /// Returns the changes that lead to the content of a complete batch, without those that a
    /// restore of the store explains.
    fn reconcile(&mut self, batch: &ViewBatch, now: Instant) -> Vec<ViewChange> {
        let removals = self.removals(batch.part, &batch.changes);
        let mut changes: Vec<ViewChange> =
            removals.into_iter().filter(|removal| !self.holds(removal, now)).collect();
        for change in &batch.changes {
            let is_outdated = match change {
                ViewChange::Upstream(id, entry) => {
                    batch.row_versions.get(id).is_some_and(|version| {
                        let known = self.entries.get(id);
                        let era = batch.revision.era;
                        self.restore.check_stale(id, entry, known, *version, era)
                    })
                }
                ViewChange::MoveOrdered(order) => self
                    .moves
                    .get(&order.service)
                    .is_some_and(|known| self.restore.hold_replaced_move(order, known, now)),
                ViewChange::TakenOut(id) => {
                    self.restore.release_data_centre(id);
                    false
                }
                _ => false,
            };
            if !is_outdated {
                changes.push(change.clone());
            } else if let ViewChange::Upstream(id, _) = change
                && let Some(known) = self.entries.get(id)
                && !known.leaving
                && !self.restore.hold_upstream(id, known, now)
            {
                changes.push(ViewChange::UpstreamGone(Arc::clone(id)));
            }
        }
        changes
    }

    /// Returns whether what a complete batch lacks is kept.
    fn holds(&mut self, removal: &ViewChange, now: Instant) -> bool {
        match removal {
            ViewChange::UpstreamGone(id) => {
                self.entries.get(id).is_some_and(|known| self.restore.hold_upstream(id, known, now))
            }
            ViewChange::TakenBack(id) => self.restore.hold_data_centre(id, now),
            ViewChange::MoveEnded(service) => self.restore.hold_move(service, now),
            _ => false,
        }
    }

    /// Returns the changes that remove what a complete batch does not contain.
    fn removals(&self, part: ViewPart, changes: &[ViewChange]) -> Vec<ViewChange> {
        let is_missing = |matches: &dyn Fn(&ViewChange) -> bool| !changes.iter().any(matches);
        match part {
            ViewPart::Operators => {
                let data_centres = self.taken_out.iter().filter(|data_centre| {
                    is_missing(
                        &|change| matches!(change, ViewChange::TakenOut(id) if id == *data_centre),
                    )
                });
                let moves = self.moves.keys().filter(|service| {
                    is_missing(&|change| {
                        matches!(change, ViewChange::MoveOrdered(order) if order.service == **service)
                    })
                });
                data_centres
                    .map(|data_centre| ViewChange::TakenBack(Arc::clone(data_centre)))
                    .chain(moves.map(|service| ViewChange::MoveEnded(Arc::clone(service))))
                    .collect()
            }
            ViewPart::Upstreams => {
                let present: IndexSet<&UpstreamId> = changes
                    .iter()
                    .filter_map(|change| match change {
                        ViewChange::Upstream(id, _) => Some(id),
                        _ => None,
                    })
                    .collect();
                self.entries
                    .keys()
                    .filter(|id| !present.contains(id))
                    .map(|id| ViewChange::UpstreamGone(Arc::clone(id)))
                    .collect()
            }
        }
    }

    /// Applies one change; returns whether it had an effect.
    pub(super) fn apply_change(&mut self, change: &ViewChange) -> bool {
        match change {
            ViewChange::Configuration(configuration) => {
                let newer = self
                    .configuration
                    .as_ref()
                    .is_none_or(|current| configuration.version > current.version);
                if newer {
                    self.configuration = Some(Arc::clone(configuration));
                }
                newer
            }
            ViewChange::TakenOut(data_centre) => self.taken_out.insert(Arc::clone(data_centre)),
            ViewChange::TakenBack(data_centre) => self.taken_out.shift_remove(data_centre),
            ViewChange::MoveOrdered(order) => {
                let previous = self.moves.insert(Arc::clone(&order.service), order.clone());
                previous.as_ref() != Some(order)
            }
            ViewChange::MoveEnded(service) => self.moves.shift_remove(service).is_some(),
            ViewChange::Upstream(id, entry) => {
                if entry.leaving {
                    self.restore.record_withdrawal(id, entry.started, self.upstreams);
                } else {
                    self.restore.record_ready(id);
                }
                let previous = self.entries.insert(Arc::clone(id), entry.clone());
                previous.as_ref() != Some(entry)
            }
            ViewChange::UpstreamGone(id) => {
                let Some(entry) = self.entries.shift_remove(id) else { return false };
                self.row_versions.shift_remove(id);
                self.restore.record_withdrawal(id, entry.started, self.upstreams);
                true
            }
        }
    }
}
