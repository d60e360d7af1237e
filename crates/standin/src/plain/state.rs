//! State of the plain service, owned by its state thread.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use indexmap::IndexMap;
use serde::Serialize;

use super::behaviour::PlainBehaviour;
use super::options::PlainOptions;
use crate::hash::{UniformSequence, stable_hash};
use crate::ids::{BootId, ExecutionNumber, IdempotencyKey, TeamName, VersionId};

/// Ledger entry of one execution.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct LedgerEntry {
    pub(super) key: Option<IdempotencyKey>,
    pub(super) execution: ExecutionNumber,
    /// Start of the execution, in milliseconds since the Unix epoch.
    pub(super) time_ms: u64,
    pub(super) method: String,
    pub(super) path: String,
    pub(super) body_hash: String,
    /// Whether the execution has ended; it also runs to its end if the client disconnects.
    pub(super) ended: bool,
}

/// Number of executions with one idempotency key, and the hashes of their bodies.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct KeyCounts {
    count: u64,
    body_hashes: Vec<String>,
}

/// Service that one team received.
#[derive(Clone, Copy, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct TeamCounts {
    requests: u64,
    slot_ms: f64,
}

/// Body of `GET /control/counters`.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct PlainCounters {
    executions: u64,
    ended: u64,
    failed: u64,
    running: u64,
    running_maximum: u64,
    by_version: IndexMap<VersionId, u64>,
    by_team: IndexMap<TeamName, TeamCounts>,
}

/// Body of `GET /control/ledger`.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct ExecutionLedger {
    executions: Vec<LedgerEntry>,
    by_key: IndexMap<IdempotencyKey, KeyCounts>,
}

/// An execution that has started.
#[derive(Clone, Copy, Debug)]
pub(super) struct StartedExecution {
    pub(super) number: ExecutionNumber,
    pub(super) run_time: Duration,
    pub(super) fails: bool,
}

/// Mutable state of the plain service.
pub(super) struct PlainState {
    pub(super) boot_id: BootId,
    pub(super) options: PlainOptions,
    pub(super) behaviour: PlainBehaviour,
    pub(super) counters: PlainCounters,
    pub(super) ledger: ExecutionLedger,
    samples: UniformSequence,
}

impl PlainState {
    pub(super) fn new(options: PlainOptions) -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            boot_id: stable_hash(&since_epoch.as_nanos().to_le_bytes(), options.seed),
            behaviour: PlainBehaviour::default(),
            counters: PlainCounters::default(),
            ledger: ExecutionLedger::default(),
            samples: UniformSequence::new(options.seed),
            options,
        }
    }

    pub(super) fn running(&self) -> u64 {
        self.counters.running
    }

    /// Records the start of an execution, and sets the number and time of `entry`.
    pub(super) fn start_execution(
        &mut self,
        mut entry: LedgerEntry,
        team: TeamName,
    ) -> StartedExecution {
        let counters = &mut self.counters;
        counters.executions += 1;
        counters.running += 1;
        counters.running_maximum = counters.running_maximum.max(counters.running);
        *counters.by_version.entry(self.options.version.clone()).or_default() += 1;
        counters.by_team.entry(team).or_default().requests += 1;
        let fails = self.behaviour.fails(&entry.path, self.samples.draw());
        counters.failed += u64::from(fails);
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        entry.execution = counters.executions;
        entry.time_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        if let Some(key) = &entry.key {
            let counts = self.ledger.by_key.entry(key.clone()).or_default();
            counts.count += 1;
            counts.body_hashes.push(entry.body_hash.clone());
        }
        self.ledger.executions.push(entry);
        StartedExecution {
            number: self.counters.executions,
            run_time: self.options.run_time + Duration::from_millis(self.behaviour.delay_ms),
            fails,
        }
    }

    /// Records the end of an execution.
    pub(super) fn end_execution(
        &mut self,
        number: ExecutionNumber,
        team: TeamName,
        elapsed: Duration,
    ) {
        self.counters.running -= 1;
        self.counters.ended += 1;
        let counts = self.counters.by_team.entry(team).or_default();
        counts.slot_ms += elapsed.as_secs_f64() * 1000.0;
        let index = usize::try_from(number - 1).unwrap_or(usize::MAX);
        if let Some(entry) = self.ledger.executions.get_mut(index) {
            entry.ended = true;
        }
    }
}
