//! Faults that tests inject into the engine.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Body of `PUT /control/behaviour`; by default no fault is injected.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct EngineBehaviour {
    /// Share of requests that are answered 500, from 0 to 1.
    pub fail_share: f64,
    /// Factor by which the prefill and each token take longer.
    pub slow_factor: f64,
    /// Value of the team header to which `slow_factor` is limited; all teams are slow if null.
    pub slow_team: Option<String>,
    /// Path prefix of requests that are answered 500.
    pub fail_route: Option<String>,
    /// Number of running requests above which requests are answered 500.
    pub fail_above_running: Option<u64>,
    /// Delay before this behaviour takes effect, in milliseconds.
    pub after_ms: u64,
    /// Text that crashes the engine when a prompt contains it.
    pub crash_marker: Option<String>,
    /// Whether the engine begins a cold start at once, without a restart.
    pub cold: bool,
}

impl Default for EngineBehaviour {
    fn default() -> Self {
        Self {
            fail_share: 0.0,
            slow_factor: 1.0,
            slow_team: None,
            fail_route: None,
            fail_above_running: None,
            after_ms: 0,
            crash_marker: None,
            cold: false,
        }
    }
}

/// A behaviour with the time at which it takes effect.
#[derive(Clone, Debug)]
pub(super) struct ScheduledBehaviour {
    behaviour: EngineBehaviour,
    begins: Instant,
}

impl ScheduledBehaviour {
    pub(super) fn new(behaviour: EngineBehaviour, now: Instant) -> Self {
        let begins = now + Duration::from_millis(behaviour.after_ms);
        Self { behaviour, begins }
    }

    /// Returns the behaviour if it is in effect.
    pub(super) fn current(&self, now: Instant) -> Option<&EngineBehaviour> {
        (now >= self.begins).then_some(&self.behaviour)
    }
}

impl EngineBehaviour {
    /// Decides whether a request is answered 500; `sample` is a random number in `[0, 1)`.
    pub(super) fn fails(&self, path: &str, running: u64, sample: f64) -> bool {
        sample < self.fail_share
            || self.fail_route.as_ref().is_some_and(|prefix| path.starts_with(prefix.as_str()))
            || self.fail_above_running.is_some_and(|limit| running > limit)
    }
}
