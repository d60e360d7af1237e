//! Routes, services, teams, upstreams and orders of operators.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};

use crate::ids::{
    ConfigurationVersion, DataCentreId, RegionId, RouteId, ServiceId, TeamId, VersionId,
};

/// How often a call may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum CallKind {
    /// Idempotent; may run again.
    #[display("repeatable")]
    Repeatable,
    /// Runs at most once for each attempt of the caller.
    #[display("at-most-once")]
    AtMostOnce,
    /// Answered by an event stream; runs at most once unless its route resumes streams.
    #[display("stream")]
    Stream,
}

/// A service that takes part of a route's calls.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteTarget {
    /// The service.
    pub service: ServiceId,
    /// Its share relative to the other targets.
    pub weight: u32,
}

/// One route: calls to a host whose path begins with a prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteEntry {
    /// Name that operators gave it.
    pub name: RouteId,
    /// Host that callers name.
    pub host: String,
    /// Beginning of the path; begins and ends with a slash.
    pub prefix: String,
    /// How often its calls may run.
    pub kind: CallKind,
    /// Longest time a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer, or the first event of one, is on time.
    pub objective: Duration,
    /// Largest number of upstreams that may run one call.
    pub attempts: u32,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Services that take the calls.
    pub targets: Vec<RouteTarget>,
    /// Whether calls need no key.
    pub anonymous: bool,
    /// Whether a broken stream may go on at another upstream.
    pub resumable: bool,
    /// Regions whose upstreams may run its calls; empty when all may.
    #[serde(default)]
    pub homes: Vec<RegionId>,
}

impl RouteEntry {
    /// Returns whether a call may run a second time at another upstream.
    pub fn may_retry(&self) -> bool {
        match self.kind {
            CallKind::Repeatable => true,
            CallKind::AtMostOnce => false,
            CallKind::Stream => self.resumable,
        }
    }
}

/// One service and the limits of its upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Name of the service.
    pub name: ServiceId,
    /// Connections that one upstream accepts from all callers together.
    pub connection_limit: u32,
    /// How long an upstream stays cold after its start.
    pub cold_period: Duration,
    /// Calls a second that a cold upstream bears; 0 when it bears full load at once.
    pub cold_rate: f64,
    /// Tokens that one upstream's memory holds; `None` for plain services.
    pub memory_tokens: Option<u64>,
}

/// One team and the keys of its callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TeamEntry {
    /// Name of the team.
    pub name: TeamId,
    /// Keys that its callers send.
    pub keys: Vec<String>,
    /// Rank that replaces the route's, when the team has one.
    pub priority: Option<u32>,
    /// Regions whose upstreams may run its calls; empty when all may.
    #[serde(default)]
    pub homes: Vec<RegionId>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerLimits {
    /// Largest head, in bytes.
    pub head_bytes: usize,
    /// Largest body, in bytes.
    pub body_bytes: usize,
    /// Longest time for a head to arrive.
    pub head_time: Duration,
    /// Longest time a connection stays open without a call.
    pub idle_time: Duration,
}

/// One version of everything operators configure.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RouteSheet {
    /// Version; grows with each change.
    pub version: ConfigurationVersion,
    /// Routes.
    pub routes: Vec<RouteEntry>,
    /// Services.
    pub services: Vec<ServiceEntry>,
    /// Teams; empty when callers need no keys.
    pub teams: Vec<TeamEntry>,
    /// Limits on callers.
    pub limits: CallerLimits,
    /// Work that all upstreams together do in a second, in tokens; each token read counts once,
    /// each token generated twice. Teams are owed equal parts of it.
    pub work_rate: Option<f64>,
}

/// One upstream as it describes itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UpstreamEntry {
    /// Service whose calls it runs.
    pub service: ServiceId,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Version of its software.
    pub version: VersionId,
    /// Calls that it runs at once.
    pub slots: u32,
    /// Whether it has announced that it leaves.
    pub leaving: bool,
    /// How much longer it is cold, as of when the entry was written.
    pub cold_left: Duration,
    /// When it started, on the wall clock.
    pub started: Option<SystemTime>,
}

/// Order to move a service's traffic to the upstreams of another version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MoveOrder {
    /// The service.
    pub service: ServiceId,
    /// Version that takes the traffic.
    pub target: VersionId,
    /// Time from the order until the move must be done.
    pub duration: Duration,
}
