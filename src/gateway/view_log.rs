//! Log lines about changes of the view.

use std::time::Duration;

use crate::ids::ConfigurationVersion;
use crate::routing::{FleetView, ViewChange, ViewPart};

/// How a router learned of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ViewOrigin {
    /// The source answered a request that it had held until there was a change.
    #[display("feed")]
    Feed,
    /// The source was asked because it had not confirmed the part for a while.
    #[display("check")]
    Check,
    /// The whole part was read.
    #[display("read")]
    Read,
    /// The view of another router was fetched.
    #[display("peer")]
    Peer,
    /// The time is over for which it was kept after a restore of the store.
    #[display("restore")]
    Restore,
}

/// Where changes come from, and what the router knew before.
#[derive(Clone, Copy, Debug)]
pub(super) struct ChangeContext {
    /// How the changes were learned.
    pub(super) origin: ViewOrigin,
    /// Version of the configuration before the changes.
    pub(super) previous: Option<ConfigurationVersion>,
    /// Time since the source last confirmed the part; `None` if it never did. The changes are at
    /// most that old.
    pub(super) unconfirmed: Option<Duration>,
}

impl ChangeContext {
    fn unconfirmed_ms(&self) -> i64 {
        self.unconfirmed.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX))
    }
}

/// Logs a change that was applied to the view.
pub(super) fn log_change(change: &ViewChange, view: &FleetView, context: ChangeContext) {
    let operators = view.revision(ViewPart::Operators);
    let upstreams = view.revision(ViewPart::Upstreams);
    let source = context.origin;
    match change {
        ViewChange::Configuration(configuration) => log::info!(
            version = configuration.version, previous = context.previous.unwrap_or_default(),
            revision:% = operators, routes = configuration.routes.len(),
            teams = configuration.teams.len(), source:% = source,
            unconfirmed_ms = context.unconfirmed_ms(); "configuration in force"
        ),
        ViewChange::TakenOut(data_centre) => log::info!(
            data_centre = &**data_centre, revision:% = operators, source:% = source,
            unconfirmed_ms = context.unconfirmed_ms(); "data centre taken out"
        ),
        ViewChange::TakenBack(data_centre) => log::info!(
            data_centre = &**data_centre, revision:% = operators, source:% = source;
            "data centre taken back"
        ),
        ViewChange::MoveOrdered(order) => log::info!(
            service = &*order.service, target = &*order.target,
            duration:? = order.duration, revision:% = operators, source:% = source;
            "version move ordered"
        ),
        ViewChange::MoveEnded(service) => log::info!(
            service = &**service, revision:% = operators, source:% = source;
            "version move order removed"
        ),
        ViewChange::Upstream(id, entry) => log::info!(
            upstream = &**id, service = &*entry.service, address:% = entry.address,
            leaving = entry.leaving, cold_left:? = entry.cold_left, revision:% = upstreams,
            source:% = source, unconfirmed_ms = context.unconfirmed_ms(); "upstream changed"
        ),
        ViewChange::UpstreamGone(id) => log::info!(
            upstream = &**id, revision:% = upstreams, source:% = source,
            unconfirmed_ms = context.unconfirmed_ms(); "upstream entry gone"
        ),
    }
}
