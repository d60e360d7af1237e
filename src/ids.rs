//! Identifiers and version numbers, most of them type aliases.

use std::sync::Arc;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Identifies a team. Chosen by operators.
pub type TeamId = Arc<str>;

/// Identifies a service that teams call.
pub type ServiceId = Arc<str>;

/// Identifies an upstream and its agent.
pub type UpstreamId = Arc<str>;

/// Identifies a version of a service's software or model.
pub type VersionId = Arc<str>;

/// Identifies a data centre.
pub type DataCentreId = Arc<str>;

/// Identifies a region, which contains data centres.
pub type RegionId = Arc<str>;

/// Identifies a router or agent process. Unique in the fleet.
pub type NodeId = Arc<str>;

/// Identifies an operator of the administration API.
pub type OperatorId = Arc<str>;

/// Identifies a route of a service by its path prefix.
pub type RouteId = Arc<str>;

/// Identifies a version move. Chosen by operators.
pub type MoveId = Arc<str>;

/// Identifies a caller's request. Generated at random by the router that accepts it.
pub type RequestId = u128;

/// Identifies an attempt to run a request.
pub type AttemptId = u128;

/// Orders the processes that have run as one node: start time in microseconds since the Unix epoch.
pub type Incarnation = u64;

/// Identifies the run of an upstream process. Changes with each start.
pub type BootId = Arc<str>;

/// Version of the fleet configuration. Increases with each accepted change.
pub type ConfigurationVersion = u64;

/// Orders the holders of a lease. Orders with a lower number than the highest seen are rejected.
pub type FencingNumber = u64;

/// Identifies the account of a team at a service. Hash of both names.
pub type AccountKey = u64;

/// Formats a request id for logs and headers.
pub fn format_request_id(id: RequestId) -> String {
    format!("{id:032x}")
}

/// Identifies a call at the router that accepted it. Counts up from the start of the process.
pub type CallId = u64;

/// Identifies a permission to send a call to an upstream.
pub type GrantId = u64;

/// Identifies a part of a prompt that several calls may share.
pub type PromptPartId = u64;

/// Identifies calls with the same path, caller and body.
pub type CallFingerprint = u64;

/// Counts the restores of the store from an older copy; 0 for a store that states no era.
pub type StoreEra = u64;

/// Number of a transaction of the store. Increases with each one; a restore goes back, and numbers
/// are given out again.
pub type RowVersion = u64;

/// Position in the store's history of changes. A later era comes after all versions of an earlier
/// one.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
)]
#[serde(from = "RevisionFormat", into = "RevisionFormat")]
#[display("{era}.{version}")]
pub struct StoreRevision {
    /// Era of the store.
    pub era: StoreEra,
    /// Number of the transaction within the era.
    pub version: RowVersion,
}

impl StoreRevision {
    /// Creates the revision of a transaction in an era.
    pub const fn new(era: StoreEra, version: RowVersion) -> Self {
        Self { era, version }
    }
}

/// Serialized form of a revision. Routers of earlier releases know only the version.
#[derive(Serialize, Deserialize)]
#[serde(untagged)]
enum RevisionFormat {
    Version(RowVersion),
    WithEra(StoreEra, RowVersion),
}

impl From<RevisionFormat> for StoreRevision {
    fn from(format: RevisionFormat) -> Self {
        match format {
            RevisionFormat::Version(version) => Self { era: 0, version },
            RevisionFormat::WithEra(era, version) => Self { era, version },
        }
    }
}

impl From<StoreRevision> for RevisionFormat {
    fn from(StoreRevision { era, version }: StoreRevision) -> Self {
        if era == 0 { Self::Version(version) } else { Self::WithEra(era, version) }
    }
}

/// Number of a window of usage; window 0 begins at the Unix epoch.
pub type UsageWindow = u64;
