//! The state that operators and upstreams publish, as known to one router.
//!
//! Each part carries the revision up to which it is known. Nothing older is ever applied, whether
//! it comes from the store or from another router.

use std::sync::Arc;

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::entry::{MoveOrder, RouteConfiguration, UpstreamEntry};
use crate::ids::{DataCentreId, ServiceId, StoreRevision, UpstreamId};

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
}

/// Serialized form of a view, exchanged between routers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ViewSnapshot {
    /// Revision of the operators' part.
    pub operators: StoreRevision,
    /// Revision of the upstreams' part.
    pub upstreams: StoreRevision,
    /// The configuration.
    #[serde(rename = "sheet")]
    pub configuration: Option<Arc<RouteConfiguration>>,
    /// Data centres that are taken out of service.
    pub taken_out: Vec<DataCentreId>,
    /// Orders of version moves.
    pub moves: Vec<MoveOrder>,
    /// Upstreams.
    pub entries: Vec<(UpstreamId, UpstreamEntry)>,
}

/// Configuration, orders and upstreams as known to one router.
#[derive(Debug, Default)]
pub struct FleetView {
    operators: StoreRevision,
    upstreams: StoreRevision,
    configuration: Option<Arc<RouteConfiguration>>,
    taken_out: IndexSet<DataCentreId>,
    moves: IndexMap<ServiceId, MoveOrder>,
    entries: IndexMap<UpstreamId, UpstreamEntry>,
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
            ViewPart::Operators if self.configuration.is_none() => 0,
            part => self.revision(part),
        }
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
    /// effect.
    pub fn apply(&mut self, batch: ViewBatch) -> Vec<ViewChange> {
        let current = self.revision(batch.part);
        if batch.revision < current || (batch.revision == current && !batch.complete) {
            return Vec::new();
        }
        match batch.part {
            ViewPart::Operators => self.operators = batch.revision,
            ViewPart::Upstreams => self.upstreams = batch.revision,
        }
        let removals =
            if batch.complete { self.removals(batch.part, &batch.changes) } else { Vec::new() };
        removals
            .into_iter()
            .chain(batch.changes)
            .filter(|change| self.apply_change(change))
            .collect()
    }

    /// Applies the parts of another router's view that are newer, and its configuration if none is
    /// known here; returns the changes that had an effect.
    pub fn import(&mut self, snapshot: ViewSnapshot) -> Vec<ViewChange> {
        let mut applied = Vec::new();
        if self.configuration.is_none()
            && let Some(configuration) = &snapshot.configuration
        {
            let change = ViewChange::Configuration(Arc::clone(configuration));
            self.apply_change(&change);
            applied.push(change);
        }
        let mut operators: Vec<ViewChange> =
            snapshot.configuration.into_iter().map(ViewChange::Configuration).collect();
        operators.extend(snapshot.taken_out.into_iter().map(ViewChange::TakenOut));
        operators.extend(snapshot.moves.into_iter().map(ViewChange::MoveOrdered));
        let upstreams =
            snapshot.entries.into_iter().map(|(id, entry)| ViewChange::Upstream(id, entry));
        let parts = [
            (ViewPart::Operators, snapshot.operators, operators),
            (ViewPart::Upstreams, snapshot.upstreams, upstreams.collect()),
        ];
        for (part, revision, changes) in parts {
            if revision > self.revision(part) {
                applied.extend(self.apply(ViewBatch { part, revision, complete: true, changes }));
            }
        }
        applied
    }

    /// Copies the view, for another router.
    pub fn export(&self) -> ViewSnapshot {
        ViewSnapshot {
            operators: self.operators,
            upstreams: self.upstreams,
            configuration: self.configuration.clone(),
            taken_out: self.taken_out.iter().cloned().collect(),
            moves: self.moves.values().cloned().collect(),
            entries: self
                .entries
                .iter()
                .map(|(id, entry)| (Arc::clone(id), entry.clone()))
                .collect(),
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
    fn apply_change(&mut self, change: &ViewChange) -> bool {
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
                let previous = self.entries.insert(Arc::clone(id), entry.clone());
                previous.as_ref() != Some(entry)
            }
            ViewChange::UpstreamGone(id) => self.entries.shift_remove(id).is_some(),
        }
    }
}
