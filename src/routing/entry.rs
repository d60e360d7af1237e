//! Entries of a configuration, entries of upstreams, and orders of operators.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use super::scaling_limits::ScalingLimits;
use crate::ids::{
    ConfigurationVersion, DataCentreId, RegionId, RouteId, ServiceId, StoreRevision, TeamId,
    VersionId,
};

/// How often an upstream may run a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum CallKind {
    /// Idempotent; may run more than once.
    #[display("repeatable")]
    Repeatable,
    /// Runs at most once per attempt of the caller.
    #[display("at-most-once")]
    AtMostOnce,
    /// Answered by an event stream; runs at most once unless its route resumes streams.
    #[display("stream")]
    Stream,
}

/// A service that receives a part of a route's calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Weight relative to the other targets.
    pub weight: u32,
}

/// A route: calls to one host whose path starts with a prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteEntry {
    /// Name of the route.
    pub name: RouteId,
    /// Host that the calls are addressed to.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// How often its calls may run.
    pub kind: CallKind,
    /// Longest time that a caller waits for the answer.
    pub timeout: Duration,
    /// Time within which an answer or its first event is on time.
    pub objective: Duration,
    /// Maximum number of upstreams that may run one call.
    pub attempts: u32,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Services that receive the calls.
    pub targets: Vec<RouteTarget>,
    /// Whether calls are allowed without a key.
    pub anonymous: bool,
    /// Whether a broken stream may be resumed at another upstream.
    pub resumable: bool,
    /// Regions whose upstreams may run its calls; empty when all may.
    #[serde(default)]
    pub homes: Vec<RegionId>,
}

impl RouteEntry {
    /// Returns whether a call that may have run can be sent to another upstream.
    pub fn may_retry(&self) -> bool {
        match self.kind {
            CallKind::Repeatable => true,
            CallKind::AtMostOnce => false,
            CallKind::Stream => self.resumable,
        }
    }
}

/// A service and the limits of its upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceId,
    /// Maximum number of connections that one upstream accepts from all clients.
    pub connection_limit: u32,
    /// Time that an upstream stays cold after its start.
    pub cold_period: Duration,
    /// Calls per second that a cold upstream can take; 0 when it can take full load at once.
    pub cold_rate: f64,
    /// Tokens that fit into one upstream's memory; `None` for plain services.
    pub memory_tokens: Option<u64>,
    /// Limits on the number of its engines, if the fleet orders it.
    #[serde(default)]
    pub scaling: Option<ScalingLimits>,
}

/// A team and the keys of its callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamEntry {
    /// Name of the team.
    pub name: TeamId,
    /// Keys that its callers send.
    pub keys: Vec<String>,
    /// Priority that overrides the route's, if any.
    pub priority: Option<u32>,
    /// Regions whose upstreams may run its calls; empty when all may.
    #[serde(default)]
    pub homes: Vec<RegionId>,
}

/// Limits on the size and the time of callers' requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum time for a request head to arrive.
    pub head_time: Duration,
    /// Maximum time that a connection stays open without a call.
    pub idle_time: Duration,
}

/// One version of the operators' configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteConfiguration {
    /// Version; increases with each change.
    pub version: ConfigurationVersion,
    /// Routes.
    pub routes: Vec<RouteEntry>,
    /// Services.
    pub services: Vec<ServiceEntry>,
    /// Teams; if empty, callers need no keys.
    pub teams: Vec<TeamEntry>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Work that all upstreams together can do per second, in tokens; prompt tokens count once,
    /// generated tokens twice. It is divided fairly between the teams.
    pub work_rate: Option<f64>,
}

/// An upstream as described by its own entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Address for calls.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Version of its software.
    pub version: VersionId,
    /// Number of calls that it runs at the same time.
    pub slots: u32,
    /// Whether it has announced its shutdown.
    pub leaving: bool,
    /// Remaining time for which it is cold, when the entry was written.
    pub cold_left: Duration,
    /// Start time by the wall clock.
    pub started: Option<SystemTime>,
}

/// Order to move a service's traffic to the upstreams of another version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MoveOrder {
    /// The service.
    pub service: ServiceId,
    /// Version that the traffic moves to.
    pub target: VersionId,
    /// Time within which the move must be complete.
    pub duration: Duration,
    /// Revision of the store at which the order was written. A record of the move with a lower
    /// revision belongs to an earlier order.
    #[serde(default)]
    pub revision: StoreRevision,
}
