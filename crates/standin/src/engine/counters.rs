//! Counters of the engine, which tests and experiments read.

use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;

use crate::ids::{FencingNumber, IdempotencyKey, TeamName, VersionId};

/// Service that one team received.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct TeamCounts {
    pub(super) requests: u64,
    pub(super) prompt_tokens: u64,
    /// Tokens produced so far, including those of running streams.
    pub(super) completion_tokens: u64,
}

/// An order that the engine executed.
#[derive(Clone, Debug, Serialize)]
pub(super) struct AcceptedOrder {
    pub(super) fencing: FencingNumber,
    pub(super) order: Value,
}

/// Body of `GET /control/counters`.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct EngineCounters {
    /// Requests received.
    pub(super) requests: u64,
    /// Streams that ran to their end.
    pub(super) completed: u64,
    /// Requests answered 500.
    pub(super) failed: u64,
    /// Streams that were cancelled, by a request or because their client disconnected and did not
    /// reconnect.
    pub(super) cancelled: u64,
    /// Streams that were lost in a crash.
    pub(super) lost: u64,
    pub(super) running: u64,
    pub(super) running_maximum: u64,
    pub(super) running_maximum_while_cold: u64,
    /// Number of times that the running limit of a cold engine was exceeded; each is a crash.
    pub(super) over_cold_events: u64,
    pub(super) crashes: u64,
    pub(super) orders_refused: u64,
    /// Time for which slots were in use, in milliseconds, summed over the slots.
    pub(super) busy_slot_ms: f64,
    pub(super) uptime_ms: f64,
    pub(super) by_version: IndexMap<VersionId, u64>,
    pub(super) by_idempotency_key: IndexMap<IdempotencyKey, u64>,
    pub(super) by_team: IndexMap<TeamName, TeamCounts>,
    pub(super) orders: Vec<AcceptedOrder>,
}
