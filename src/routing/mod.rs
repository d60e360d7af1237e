//! What a router of the direct path knows of the fleet: routes, services, teams and upstreams.
//!
//! The types are checked and carry no names of any outside system. A [`FleetView`] collects them
//! from whatever source the edge brings; a [`RouteTable`] answers which route a call takes.

mod entry;
mod table;
mod view;

pub use entry::{
    CallKind, CallerLimits, MoveOrder, RouteEntry, RouteSheet, RouteTarget, ServiceEntry,
    TeamEntry, UpstreamEntry,
};
pub use table::{RouteMatch, RouteTable, TeamKey, draw_target};
pub use view::{FleetView, ViewBatch, ViewChange, ViewExport, ViewPart};
