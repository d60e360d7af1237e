//! Unchecked configuration, as stored in the table service and written in operators' files.

use serde::{Deserialize, Serialize};

use super::objectives::RawObjective;

/// The whole document; lists that are absent are empty.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct RawConfiguration {
    /// Teams with their shares.
    pub teams: Vec<RawTeam>,
    /// Services that teams call.
    pub services: Vec<RawService>,
    /// Data centres; one that is not listed takes no work.
    pub data_centres: Vec<RawDataCentre>,
    /// Upstreams of the services.
    pub upstreams: Vec<RawUpstream>,
    /// Version moves.
    pub moves: Vec<RawMove>,
    /// Operators of the administration API.
    pub operators: Vec<RawOperator>,
    /// Service-level objectives.
    pub objectives: Vec<RawObjective>,
}

/// An unchecked team.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RawTeam {
    /// Name of the team.
    pub id: String,
    /// Hexadecimal SHA-256 hash of the bearer key.
    pub key_hash: String,
    /// Weight by which capacity is divided among teams.
    pub share: f64,
}

/// Kind of the upstreams of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Model engines; their work is measured in tokens.
    Model,
    /// Plain HTTP services; their work is measured in slot milliseconds.
    Plain,
}

/// An unchecked service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RawService {
    /// Name and first path segment.
    pub id: String,
    /// Kind of its upstreams.
    pub kind: ServiceKind,
    /// Version that gets the traffic while no move is running.
    #[serde(default = "default_version")]
    pub version: String,
    /// Routes by path prefix; the route with the longest matching prefix applies.
    #[serde(default)]
    pub routes: Vec<RawRoute>,
}

/// An unchecked route of a service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RawRoute {
    /// Path prefix below the service, starting with `/`.
    pub prefix: String,
    /// Whether its requests may run more than once.
    pub repeatable: bool,
}

/// An unchecked data centre.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RawDataCentre {
    /// Name of the data centre.
    pub id: String,
    /// `in` or `out`.
    #[serde(default = "default_state")]
    pub state: String,
}

/// An unchecked upstream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RawUpstream {
    /// Name of the upstream.
    pub id: String,
    /// Service that it serves.
    pub service: String,
    /// Data centre in which it runs.
    pub data_centre: String,
    /// `in` or `out`.
    #[serde(default = "default_state")]
    pub state: String,
    /// Whether the upstream itself refuses orders with an outdated fencing number.
    #[serde(default)]
    pub checks_orders: bool,
}

/// An unchecked version move: the traffic of a service goes from one version to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RawMove {
    /// Name of the move.
    pub id: String,
    /// Service whose traffic is moved.
    pub service: String,
    /// Version that the traffic is moved away from.
    pub from: String,
    /// Version that the traffic is moved to.
    pub to: String,
    /// Time by which all traffic must be moved (RFC 3339).
    pub deadline: String,
    /// Time at which the move was planned (RFC 3339). The stages are scheduled between this time
    /// and the deadline.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub planned: Option<String>,
    /// `planned`, `canary`, `ramping`, `done` or `taken back`; written by the holder of the lease
    /// on version moves.
    #[serde(default = "default_progress")]
    pub state: String,
    /// Share of the traffic that goes to the new version; written by the lease holder.
    #[serde(default)]
    pub share: f64,
    /// Why the move was taken back.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<String>,
    /// Time of the last change of the state (RFC 3339).
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub changed: Option<String>,
}

/// An unchecked operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RawOperator {
    /// Name, also shown in audit records.
    pub id: String,
    /// Hexadecimal SHA-256 hash of the operator's key.
    pub key_hash: String,
}

fn default_state() -> String {
    "in".to_owned()
}

fn default_version() -> String {
    "1".to_owned()
}

fn default_progress() -> String {
    "planned".to_owned()
}
