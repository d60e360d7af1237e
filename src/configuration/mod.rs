//! The fleet configuration that operators change: teams with their shares, services, data centres,
//! upstreams, version moves, operators and objectives.
//!
//! The table service stores it as one JSON document in the row [`CONFIGURATION_ROW`]. The version
//! of that row is the version of the configuration.

mod changes;
mod checked;
mod commit;
mod key_hash;
mod objectives;
mod raw;
mod sheet;
mod source;

pub use changes::list_changes;
pub use checked::{
    AvailabilityState, FleetConfiguration, MoveEntry, MoveProgress, RouteEntry, ServiceEntry,
    TeamEntry, UpstreamEntry, VersionedConfiguration,
};
pub use commit::{
    AcceptedChange, AuditRecord, CommitError, ConfigurationChange, StoredConfiguration, audit_key,
    read_stored,
};
pub use key_hash::KeyHash;
pub use objectives::{ObjectiveSet, RawObjective, ServiceObjectives};
pub use raw::{
    RawConfiguration, RawDataCentre, RawMove, RawOperator, RawRoute, RawService, RawTeam,
    RawUpstream, ServiceKind,
};
pub use sheet::{PlannerSheet, RawSheet, SHEET_COLUMNS};
pub use source::{ReadError, read_configuration, read_version};

/// Row of the table service that holds the configuration.
pub const CONFIGURATION_ROW: &str = "configuration/current";

/// Small row that every change of the configuration writes in the same transaction, so that it
/// always has the configuration's version. Polling it avoids reading the whole document every
/// second.
pub const HEAD_ROW: &str = "configuration/head";

/// Publishes the active configuration; `None` before the first.
pub type ConfigurationWatch =
    tokio::sync::watch::Sender<Option<std::sync::Arc<VersionedConfiguration>>>;

/// Key prefix of the rows that record who changed the configuration; the version that the change
/// replaced follows it.
pub const AUDIT_PREFIX: &str = "audit/";
