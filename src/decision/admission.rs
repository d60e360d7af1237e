//! Adaptive concurrency limit of an upstream.
//!
//! The limit starts at `COLD_LIMIT` and stays there while the upstream reports that it is cold.
//! It grows with completions of normal latency and decreases on errors or a jump in latency. A new
//! boot id, a lost connection or a report that the upstream is cold resets it to the start.

use std::time::{Duration, Instant};

use crate::ids::BootId;
use crate::lifecycle::upstream::{
    ColdUpstream, DrainingUpstream, StoppedUpstream, WarmUpstream, WarmingStep, WarmingUpstream,
};

/// Number of requests that a cold upstream may run at once. One is the only load that is safe for
/// every upstream.
const COLD_LIMIT: u32 = 1;

/// Ratio of the recent to the baseline time per unit of service above which latency has jumped. A
/// factor of 2 tolerates the variation between requests; a cold or overloaded upstream exceeds it.
const LATENCY_JUMP_FACTOR: f64 = 2.0;

/// Factor by which the limit is multiplied on a jump in latency.
const LIMIT_BACKOFF_FACTOR: f64 = 0.5;

/// Weight of one completion in the moving average of the recent time per unit.
const RECENT_WEIGHT: f64 = 0.25;

/// Weight of one completion in the moving average of the baseline time per unit.
const BASELINE_WEIGHT: f64 = 0.01;

/// Number of completions after which the baseline is precise enough for comparison.
const MIN_BASELINE_COUNT: u32 = 16;

/// Number of consecutive failures after which the upstream counts as cold.
const COLD_FAILURE_COUNT: u32 = 4;

/// How a request ended at the upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CompletionKind {
    /// The response is complete.
    Success {
        /// Duration of the run.
        ran_for: Duration,
        /// Units of service that the request received.
        units: u64,
    },
    /// The upstream responded with a server error.
    Error,
    /// The connection to the upstream was lost.
    Lost,
}

/// Health report of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthReport {
    /// Changes with each start of the upstream process.
    pub boot: BootId,
    /// Number of requests that it can run at full speed, if reported.
    pub slots: Option<u32>,
    /// Whether it is cold, if reported.
    pub cold: Option<bool>,
}

/// An upstream in any state of its life cycle.
#[derive(Debug)]
enum UpstreamPhase {
    Cold(ColdUpstream),
    Warming(WarmingUpstream),
    Warm(WarmUpstream),
    Draining(DrainingUpstream),
    Stopped(StoppedUpstream),
}

/// Recent and baseline time per unit of service, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct UnitLatency {
    recent: f64,
    baseline: f64,
    count: u32,
}

impl UnitLatency {
    /// Records a completion and returns whether the recent time per unit has jumped.
    fn record(&mut self, seconds: f64) -> bool {
        if self.count == 0 {
            *self = Self { recent: seconds, baseline: seconds, count: 1 };
            return false;
        }
        self.recent += RECENT_WEIGHT * (seconds - self.recent);
        // The first completions are averaged with equal weights, so that an unusual first one does
        // not dominate the baseline.
        let weight = BASELINE_WEIGHT.max(1.0 / f64::from(self.count + 1));
        self.baseline += weight * (seconds - self.baseline);
        self.count = self.count.saturating_add(1);
        self.count > MIN_BASELINE_COUNT && self.recent > LATENCY_JUMP_FACTOR * self.baseline
    }

    /// Resets the recent time to the baseline, so that one jump lowers the limit only once.
    fn reset_recent(&mut self) {
        self.recent = self.baseline;
    }
}

/// Concurrency limit of an upstream and the observations that it is based on.
#[derive(Debug)]
pub struct AdmissionLimit {
    phase: UpstreamPhase,
    slots: u32,
    boot: Option<BootId>,
    reported_cold: Option<bool>,
    reachable: bool,
    unit_latency: UnitLatency,
    consecutive_failures: u32,
}

impl AdmissionLimit {
    /// Creates the limit of an upstream that counts as cold until it is observed.
    pub fn new(slots: u32, now: Instant) -> Self {
        Self {
            phase: UpstreamPhase::Cold(ColdUpstream::new(now)),
            slots: slots.max(1),
            boot: None,
            reported_cold: None,
            reachable: true,
            unit_latency: UnitLatency::default(),
            consecutive_failures: 0,
        }
    }

    /// Number of requests that may run at once.
    pub fn limit(&self) -> u32 {
        if !self.reachable {
            return 0;
        }
        match &self.phase {
            UpstreamPhase::Cold(_) => COLD_LIMIT.min(self.slots),
            UpstreamPhase::Warming(upstream) => upstream.limit().min(self.slots),
            UpstreamPhase::Warm(upstream) => upstream.slots().min(self.slots),
            UpstreamPhase::Draining(_) | UpstreamPhase::Stopped(_) => 0,
        }
    }

    /// Returns whether the upstream counts as cold.
    pub fn is_cold(&self) -> bool {
        matches!(self.phase, UpstreamPhase::Cold(_))
    }

    /// Returns whether the limit is below the number of slots.
    pub fn is_ramping(&self) -> bool {
        self.limit() < self.slots
    }

    /// Boot id in the last health report.
    pub fn boot(&self) -> Option<&BootId> {
        self.boot.as_ref()
    }

    /// Applies a health report.
    pub fn observe_health(&mut self, report: &HealthReport, now: Instant) {
        let rebooted = self.boot.as_ref().is_some_and(|boot| *boot != report.boot);
        let turned_cold = report.cold == Some(true) && self.reported_cold != Some(true);
        self.reachable = true;
        self.boot = Some(report.boot.clone());
        self.reported_cold = report.cold;
        if rebooted || turned_cold {
            self.reset_to_cold(now);
        }
        if report.cold == Some(false) && self.is_cold() {
            self.warm_up(now);
        }
    }

    /// Records that the upstream refuses connections. The limit is 0 until it answers again.
    pub fn mark_unreachable(&mut self, now: Instant) {
        self.reachable = false;
        self.reset_to_cold(now);
    }

    /// Records that an upstream without health reports accepts connections.
    pub fn mark_reachable(&mut self) {
        self.reachable = true;
    }

    /// Records how a request ended.
    pub fn observe_completion(&mut self, kind: CompletionKind, now: Instant) {
        match kind {
            CompletionKind::Success { ran_for, units } => self.record_success(ran_for, units, now),
            CompletionKind::Error => self.record_failure(now),
            CompletionKind::Lost => self.reset_to_cold(now),
        }
    }

    /// Restarts the ramp from cold, for an upstream that had no work while it was out of service.
    pub fn restart_ramp(&mut self, now: Instant) {
        self.reset_to_cold(now);
    }

    /// Stops accepting new work.
    pub fn drain(&mut self, now: Instant) {
        self.transition(now, |phase, now| match phase {
            UpstreamPhase::Cold(upstream) => UpstreamPhase::Draining(upstream.drain(now)),
            UpstreamPhase::Warming(upstream) => UpstreamPhase::Draining(upstream.drain(now)),
            UpstreamPhase::Warm(upstream) => UpstreamPhase::Draining(upstream.drain(now)),
            ended => ended,
        });
    }

    /// Ends the life cycle of a draining upstream and returns the duration of the drain.
    pub fn close(&mut self, now: Instant) -> Option<Duration> {
        self.transition(now, |phase, now| match phase {
            UpstreamPhase::Draining(upstream) => UpstreamPhase::Stopped(upstream.close(now)),
            other => other,
        });
        match &self.phase {
            UpstreamPhase::Stopped(upstream) => Some(upstream.drained_in()),
            _ => None,
        }
    }

    fn record_success(&mut self, ran_for: Duration, units: u64, now: Instant) {
        self.consecutive_failures = 0;
        let is_jump = units > 0 && self.unit_latency.record(ran_for.as_secs_f64() / units as f64);
        if is_jump {
            self.unit_latency.reset_recent();
            self.scale_limit(LIMIT_BACKOFF_FACTOR, now);
            return;
        }
        // While the upstream reports that it is cold, successes do not start the ramp.
        if self.reported_cold == Some(true) {
            return;
        }
        let slots = self.slots;
        self.transition(now, |phase, now| match phase {
            UpstreamPhase::Cold(upstream) => {
                after_completion(upstream.warm_up(COLD_LIMIT, now), slots)
            }
            UpstreamPhase::Warming(upstream) => after_completion(upstream, slots),
            other => other,
        });
    }

    fn record_failure(&mut self, now: Instant) {
        self.consecutive_failures += 1;
        if self.consecutive_failures >= COLD_FAILURE_COUNT {
            self.consecutive_failures = 0;
            self.reset_to_cold(now);
            return;
        }
        // A single error says little about the load that the upstream can handle, so the limit
        // decreases by only one.
        let limit = self.limit().saturating_sub(1);
        self.lower_limit(limit, now);
    }

    fn scale_limit(&mut self, factor: f64, now: Instant) {
        let limit = (f64::from(self.limit()) * factor) as u32;
        self.lower_limit(limit, now);
    }

    fn lower_limit(&mut self, limit: u32, now: Instant) {
        self.transition(now, |phase, now| match phase {
            UpstreamPhase::Warming(upstream) => {
                UpstreamPhase::Warming(upstream.lower_limit(limit, now))
            }
            UpstreamPhase::Warm(upstream) => {
                UpstreamPhase::Warming(upstream.lower_limit(limit, now))
            }
            other => other,
        });
    }

    fn warm_up(&mut self, now: Instant) {
        let slots = self.slots;
        self.transition(now, |phase, now| match phase {
            UpstreamPhase::Cold(upstream) if slots > COLD_LIMIT => {
                UpstreamPhase::Warming(upstream.warm_up(COLD_LIMIT, now))
            }
            other => other,
        });
    }

    fn reset_to_cold(&mut self, now: Instant) {
        self.transition(now, |phase, now| match phase {
            UpstreamPhase::Warming(upstream) => UpstreamPhase::Cold(upstream.reset_to_cold(now)),
            UpstreamPhase::Warm(upstream) => UpstreamPhase::Cold(upstream.reset_to_cold(now)),
            other => other,
        });
    }

    /// Replaces the phase with the result of `step`, which consumes the current one.
    fn transition(
        &mut self,
        now: Instant,
        step: impl FnOnce(UpstreamPhase, Instant) -> UpstreamPhase,
    ) {
        let placeholder = UpstreamPhase::Cold(ColdUpstream::new(now));
        let phase = std::mem::replace(&mut self.phase, placeholder);
        self.phase = step(phase, now);
    }
}

fn after_completion(upstream: WarmingUpstream, slots: u32) -> UpstreamPhase {
    match upstream.record_success(slots) {
        WarmingStep::Warming(upstream) => UpstreamPhase::Warming(upstream),
        WarmingStep::Warm(upstream) => UpstreamPhase::Warm(upstream),
    }
}
