//! Type aliases for the identifiers that processes exchange.

use std::sync::Arc;

/// Identifies a team; chosen by operators.
pub type TeamId = Arc<str>;

/// Identifies a service that teams call.
pub type ServiceId = Arc<str>;

/// Identifies an upstream and the agent beside it.
pub type UpstreamId = Arc<str>;

/// Identifies a version of a service's software or model.
pub type VersionId = Arc<str>;

/// Identifies a data centre.
pub type DataCentreId = Arc<str>;

/// Identifies a region, which holds data centres.
pub type RegionId = Arc<str>;

/// Identifies a process of the system, unique in the fleet.
pub type NodeId = Arc<str>;

/// Identifies an operator of the administration API.
pub type OperatorId = Arc<str>;

/// Identifies a route of a service by its path prefix.
pub type RouteId = Arc<str>;

/// Identifies a version move; chosen by operators.
pub type MoveId = Arc<str>;

/// Identifies one caller request; drawn at random by the router that takes it.
pub type RequestId = u128;

/// Identifies one attempt to run a request.
pub type AttemptId = u128;

/// Orders the lives of one node: microseconds since the Unix epoch at its start.
pub type Incarnation = u64;

/// Changes whenever an upstream process starts anew.
pub type BootId = Arc<str>;

/// Version of the fleet configuration; grows with each accepted change.
pub type ConfigurationVersion = u64;

/// Orders the holders of a lease; a lower number than the highest seen is refused.
pub type FencingNumber = u64;

/// Identifies the account of one team at one service: a hash of both names.
pub type AccountKey = u64;

/// Formats a request id the way logs and headers show it.
pub fn format_request_id(id: RequestId) -> String {
    format!("{id:032x}")
}

/// Identifies one call at the router that took it; counts up from the start of the process.
pub type CallId = u64;

/// Identifies one permission to send a call to an upstream.
pub type GrantId = u64;

/// Identifies a part of a prompt that several calls may share.
pub type PromptPartId = u64;

/// Identifies calls with the same path, caller and body.
pub type CallFingerprint = u64;

/// Position in the store's history of changes; grows with each transaction.
pub type StoreRevision = u64;
