//! The fleet configuration that operators change: teams, shares, services, upstreams, data
//! centres and version moves.
//!
//! The table service holds it as one JSON document in the row [`CONFIGURATION_ROW`]; the row's
//! version is the configuration's version.

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
    DataCentreState, FleetConfiguration, MoveEntry, MoveProgress, RouteEntry, ServiceEntry,
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
pub use source::{SourceError, read_configuration, read_version};

/// Row of the table service that holds the configuration.
pub const CONFIGURATION_ROW: &str = "configuration/current";

/// Small row that every writer of the configuration writes in the same transaction, so that its
/// version is the configuration's. Polling it spares reading the whole document once a second.
pub const HEAD_ROW: &str = "configuration/head";

/// Configuration in force; `None` before the first.
pub type ConfigurationWatch =
    tokio::sync::watch::Sender<Option<std::sync::Arc<VersionedConfiguration>>>;

/// Prefix of the rows that record who changed the configuration, followed by the version.
pub const AUDIT_PREFIX: &str = "audit/";
