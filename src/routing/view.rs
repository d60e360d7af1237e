//! The state that operators and upstreams publish, as one router holds it.
//!
//! Each part carries the revision up to which it is known. Nothing older than what is held is
//! ever applied, whether it comes from the store or from another router.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::entry::{MoveOrder, RouteSheet, UpstreamEntry};
use crate::ids::{DataCentreId, ServiceId, StoreRevision, UpstreamId};

/// One of the two parts that are followed separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, derive_more::Display)]
pub enum ViewPart {
    /// What operators write.
    #[display("operators")]
    Operators,
    /// What upstreams write.
    #[display("upstreams")]
    Upstreams,
}

/// One change of a part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum ViewChange {
    /// A new configuration.
    Sheet(Arc<RouteSheet>),
    /// Nothing more is to be sent to a data centre's upstreams.
    TakenOut(DataCentreId),
    /// A data centre may be used again.
    TakenBack(DataCentreId),
    /// A version move was ordered.
    MoveOrdered(MoveOrder),
    /// The order of a version move was removed.
    MoveEnded(ServiceId),
    /// An upstream is there or has changed.
    Upstream(UpstreamId, UpstreamEntry),
    /// An upstream's entry is gone.
    UpstreamGone(UpstreamId),
}

/// Changes of one part, in order.
#[derive(Clone, Debug, PartialEq)]
pub struct ViewBatch {
    /// The part.
    pub part: ViewPart,
    /// Revision up to which the part is known with these changes.
    pub revision: StoreRevision,
    /// Whether the changes are all that the part holds.
    pub complete: bool,
    /// The changes.
    pub changes: Vec<ViewChange>,
}

/// A view as routers hand it to each other.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ViewExport {
    /// Revision of the operators' part.
    pub operators: StoreRevision,
    /// Revision of the upstreams' part.
    pub upstreams: StoreRevision,
    /// The configuration.
    pub sheet: Option<Arc<RouteSheet>>,
    /// Data centres that are taken out.
    pub taken_out: Vec<DataCentreId>,
    /// Orders of version moves.
    pub moves: Vec<MoveOrder>,
    /// Upstreams.
    pub entries: Vec<(UpstreamId, UpstreamEntry)>,
}

/// Routes, orders and upstreams as known to one router.
#[derive(Debug, Default)]
pub struct FleetView {
    operators: StoreRevision,
    upstreams: StoreRevision,
    sheet: Option<Arc<RouteSheet>>,
    taken_out: IndexSet<DataCentreId>,
    moves: IndexMap<ServiceId, MoveOrder>,
    entries: IndexMap<UpstreamId, UpstreamEntry>,
}

impl FleetView {
    /// Revision up to which a part is known.
    pub fn revision(&self, part: ViewPart) -> StoreRevision {
        match part {
            ViewPart::Operators => self.operators,
            ViewPart::Upstreams => self.upstreams,
        }
    }

    /// The configuration in force.
    pub fn sheet(&self) -> Option<&Arc<RouteSheet>> {
        self.sheet.as_ref()
    }

    /// Data centres that are taken out.
    pub fn taken_out(&self) -> &IndexSet<DataCentreId> {
        &self.taken_out
    }

    /// Orders of version moves by service.
    pub fn moves(&self) -> &IndexMap<ServiceId, MoveOrder> {
        &self.moves
    }

    /// Upstreams by id.
    pub fn entries(&self) -> &IndexMap<UpstreamId, UpstreamEntry> {
        &self.entries
    }

    /// Applies a batch unless it is older than what is held; returns the changes it made.
    pub fn apply(&mut self, batch: ViewBatch) -> Vec<ViewChange> {
        let held = self.revision(batch.part);
        if batch.revision < held || (batch.revision == held && !batch.complete) {
            return Vec::new();
        }
        match batch.part {
            ViewPart::Operators => self.operators = batch.revision,
            ViewPart::Upstreams => self.upstreams = batch.revision,
        }
        let removals =
            if batch.complete { self.missing_in(batch.part, &batch.changes) } else { Vec::new() };
        removals
            .into_iter()
            .chain(batch.changes)
            .filter(|change| self.apply_change(change))
            .collect()
    }

    /// Takes over the parts of another router's view that are newer than what is held.
    pub fn import(&mut self, export: ViewExport) -> Vec<ViewChange> {
        let mut operators: Vec<ViewChange> =
            export.sheet.into_iter().map(ViewChange::Sheet).collect();
        operators.extend(export.taken_out.into_iter().map(ViewChange::TakenOut));
        operators.extend(export.moves.into_iter().map(ViewChange::MoveOrdered));
        let upstreams =
            export.entries.into_iter().map(|(id, entry)| ViewChange::Upstream(id, entry));
        let parts = [
            (ViewPart::Operators, export.operators, operators),
            (ViewPart::Upstreams, export.upstreams, upstreams.collect()),
        ];
        let mut made = Vec::new();
        for (part, revision, changes) in parts {
            if revision > self.revision(part) {
                made.extend(self.apply(ViewBatch { part, revision, complete: true, changes }));
            }
        }
        made
    }

    /// Copies the view for another router.
    pub fn export(&self) -> ViewExport {
        ViewExport {
            operators: self.operators,
            upstreams: self.upstreams,
            sheet: self.sheet.clone(),
            taken_out: self.taken_out.iter().cloned().collect(),
            moves: self.moves.values().cloned().collect(),
            entries: self
                .entries
                .iter()
                .map(|(id, entry)| (Arc::clone(id), entry.clone()))
                .collect(),
        }
    }

    /// Changes that remove what a complete list no longer holds.
    fn missing_in(&self, part: ViewPart, changes: &[ViewChange]) -> Vec<ViewChange> {
        let gone = |wanted: &dyn Fn(&ViewChange) -> bool| !changes.iter().any(wanted);
        match part {
            ViewPart::Operators => {
                let centres = self.taken_out.iter().filter(|centre| {
                    gone(&|change| matches!(change, ViewChange::TakenOut(id) if id == *centre))
                });
                let moves = self.moves.keys().filter(|service| {
                    gone(&|change| {
                        matches!(change, ViewChange::MoveOrdered(order) if order.service == **service)
                    })
                });
                centres
                    .map(|centre| ViewChange::TakenBack(Arc::clone(centre)))
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

    /// Applies one change; returns whether it altered the view.
    fn apply_change(&mut self, change: &ViewChange) -> bool {
        match change {
            ViewChange::Sheet(sheet) => {
                let newer = self.sheet.as_ref().is_none_or(|held| sheet.version > held.version);
                if newer {
                    self.sheet = Some(Arc::clone(sheet));
                }
                newer
            }
            ViewChange::TakenOut(centre) => self.taken_out.insert(Arc::clone(centre)),
            ViewChange::TakenBack(centre) => self.taken_out.shift_remove(centre),
            ViewChange::MoveOrdered(order) => {
                let previous = self.moves.insert(Arc::clone(&order.service), order.clone());
                previous.as_ref() != Some(order)
            }
            ViewChange::MoveEnded(service) => self.moves.shift_remove(service).is_some(),
            ViewChange::Upstream(id, entry) => {
                let previous = self.entries.insert(Arc::clone(id), entry.clone());
                previous.as_ref() != Some(entry)
            }
            ViewChange::UpstreamGone(id) => self.entries.shift_remove(id).is_some(),
        }
    }
}
