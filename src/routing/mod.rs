//! Routes, services, teams and upstreams, as a router of the direct path knows them.
//!
//! The types are validated and independent of any outside system. A [`FleetView`] collects them
//! from the source that the gateway's adapter provides; a [`RouteTable`] looks up the route of a
//! call.

mod bounds;
mod entry;
mod restore;
mod scaling_limits;
mod snapshot;
mod table;
mod view;

pub use bounds::{MAX_COLD_TIME, MAX_PERIOD, MAX_SIZE_LIMIT, MAX_SLOTS, is_dialable};
pub use entry::{
    CallKind, CallerLimits, MoveOrder, RouteConfiguration, RouteEntry, RouteTarget, ServiceEntry,
    TeamEntry, UpstreamEntry,
};
pub use restore::{ORDER_HOLD, RestoreCounts};
pub use scaling_limits::{
    MAX_BOOT_TIME, MAX_ENGINES, RawScalingLimits, ScalingLimits, ScalingLimitsError,
};
pub use snapshot::ViewSnapshot;
pub use table::{RouteMatch, RouteTable, TeamKey, select_target};
pub use view::{FleetView, ViewBatch, ViewChange, ViewPart};
