//! Exchange of views between routers.

use std::sync::Arc;
use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::entry::{MoveOrder, RouteConfiguration, UpstreamEntry};
use super::view::{FleetView, ViewBatch, ViewChange, ViewPart};
use crate::ids::{DataCentreId, RowVersion, StoreRevision, UpstreamId};

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
    /// Versions of the rows of upstreams, as far as they are known.
    #[serde(default)]
    pub row_versions: Vec<(UpstreamId, RowVersion)>,
}

impl FleetView {
    /// Applies the parts of another router's view that are newer, and its configuration if none is
    /// known here; returns the changes that had an effect.
    pub fn import(&mut self, snapshot: ViewSnapshot, now: Instant) -> Vec<ViewChange> {
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
                let row_versions = snapshot.row_versions.iter().cloned().collect();
                let batch = ViewBatch { part, revision, complete: true, changes, row_versions };
                applied.extend(self.apply(batch, now));
            }
        }
        applied
    }

    /// Copies the view, for another router. Upstreams that are used without a row are left out, as
    /// the other router keeps them by itself.
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
                .filter(|(id, _)| !self.restore.holds_upstream(id))
                .map(|(id, entry)| (Arc::clone(id), entry.clone()))
                .collect(),
            row_versions: self
                .row_versions
                .iter()
                .map(|(id, version)| (Arc::clone(id), *version))
                .collect(),
        }
    }
}
