//! Limit on running requests during a cold start.

use std::time::{Duration, Instant};

/// Ramp of the running limit from `cold_running` to `slots` over the duration of a cold start.
#[derive(Clone, Copy, Debug)]
pub(super) struct ColdStart {
    started: Instant,
    cold_start: Duration,
    cold_running: u64,
    slots: u64,
}

impl ColdStart {
    pub(super) fn begin(
        started: Instant,
        cold_start: Duration,
        cold_running: u64,
        slots: u64,
    ) -> Self {
        Self { started, cold_start, cold_running, slots }
    }

    /// Returns the number of running requests above which the cold engine crashes, or `None` once
    /// the engine is warm.
    pub(super) fn running_limit(&self, now: Instant) -> Option<u64> {
        let elapsed = now.saturating_duration_since(self.started);
        if elapsed >= self.cold_start {
            return None;
        }
        let progress = elapsed.as_secs_f64() / self.cold_start.as_secs_f64();
        let ramp = (self.slots - self.cold_running) as f64 * progress;
        Some(self.cold_running + ramp as u64)
    }
}
