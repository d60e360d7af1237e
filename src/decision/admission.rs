//! The agent's rule on how many requests its upstream may run at once.
//!
//! The limit starts at [`COLD_LIMIT`] after a cold start, stays there for as long as the upstream
//! reports that it is cold, grows with completions inside the latency target, and falls on errors
//! or a jump in latency. A new boot id, a lost connection or a report of coldness starts it again.

use std::time::{Duration, Instant};

use crate::ids::BootId;
use crate::lifecycle::upstream::{
    ColdUpstream, DrainingUpstream, GoneUpstream, WarmUpstream, WarmingStep, WarmingUpstream,
};

/// Requests that a cold upstream gets at once. One is the only load that every upstream bears.
const COLD_LIMIT: u32 = 1;

/// Factor between the recent and the usual time per unit of service that counts as a jump. Twice
/// leaves room for the spread between requests; a cold or overloaded upstream exceeds it.
const JUMP_FACTOR: f64 = 2.0;

/// Factor by which the limit falls on a jump in latency.
const FALL_FACTOR: f64 = 0.5;

/// Weight of one completion in the recent time per unit.
const RECENT_WEIGHT: f64 = 0.25;

/// Weight of one completion in the usual time per unit.
const USUAL_WEIGHT: f64 = 0.01;

/// Completions before the usual time per unit is trusted.
const USUAL_COUNT: u32 = 16;

/// Failures in a row that count as cold behaviour.
const FAILURE_RUN: u32 = 4;

/// How a request ended at the upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CompletionKind {
    /// The answer is complete.
    Good {
        /// Time for which the request ran.
        ran_for: Duration,
        /// Service that it got, in units.
        units: u64,
    },
    /// The upstream answered with a server error.
    Error,
    /// The connection to the upstream was lost.
    Lost,
}

/// What the upstream says about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HealthReport {
    /// Changes whenever the upstream starts anew.
    pub boot: BootId,
    /// Requests that it can run at full speed, when it says so.
    pub slots: Option<u32>,
    /// Whether it is cold, when it says so.
    pub cold: Option<bool>,
}

/// The upstream in one of its states.
#[derive(Debug)]
enum UpstreamPhase {
    Cold(ColdUpstream),
    Warming(WarmingUpstream),
    Warm(WarmUpstream),
    Draining(DrainingUpstream),
    Gone(GoneUpstream),
}

/// Recent and usual time per unit of service, in seconds.
#[derive(Clone, Copy, Debug, Default)]
struct UnitTime {
    recent: f64,
    usual: f64,
    count: u32,
}

impl UnitTime {
    /// Records a completion and returns whether the recent time has jumped.
    fn record(&mut self, seconds: f64) -> bool {
        if self.count == 0 {
            *self = Self { recent: seconds, usual: seconds, count: 1 };
            return false;
        }
        self.recent += RECENT_WEIGHT * (seconds - self.recent);
        // The first completions form a plain mean, so that an odd first one has no lasting weight.
        let weight = USUAL_WEIGHT.max(1.0 / f64::from(self.count + 1));
        self.usual += weight * (seconds - self.usual);
        self.count = self.count.saturating_add(1);
        self.count > USUAL_COUNT && self.recent > JUMP_FACTOR * self.usual
    }

    /// Forgets the recent time, so that one jump is answered once.
    fn settle(&mut self) {
        self.recent = self.usual;
    }
}

/// The limit with what was observed of the upstream.
#[derive(Debug)]
pub struct AdmissionLimit {
    phase: UpstreamPhase,
    slots: u32,
    boot: Option<BootId>,
    reported_cold: Option<bool>,
    reachable: bool,
    unit_time: UnitTime,
    failures: u32,
}

impl AdmissionLimit {
    /// Starts cold: nothing is known of the upstream.
    pub fn new(slots: u32, now: Instant) -> Self {
        Self {
            phase: UpstreamPhase::Cold(ColdUpstream::new(now)),
            slots: slots.max(1),
            boot: None,
            reported_cold: None,
            reachable: true,
            unit_time: UnitTime::default(),
            failures: 0,
        }
    }

    /// Requests that may run at once.
    pub fn limit(&self) -> u32 {
        if !self.reachable {
            return 0;
        }
        match &self.phase {
            UpstreamPhase::Cold(_) => COLD_LIMIT.min(self.slots),
            UpstreamPhase::Warming(upstream) => upstream.limit().min(self.slots),
            UpstreamPhase::Warm(upstream) => upstream.slots().min(self.slots),
            UpstreamPhase::Draining(_) | UpstreamPhase::Gone(_) => 0,
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

    /// Boot id that the upstream reported last.
    pub fn boot(&self) -> Option<&BootId> {
        self.boot.as_ref()
    }

    /// Takes the upstream's report on itself.
    pub fn observe_health(&mut self, report: &HealthReport, now: Instant) {
        let rebooted = self.boot.as_ref().is_some_and(|boot| *boot != report.boot);
        let turned_cold = report.cold == Some(true) && self.reported_cold != Some(true);
        self.reachable = true;
        self.boot = Some(report.boot.clone());
        self.reported_cold = report.cold;
        if rebooted || turned_cold {
            self.cool(now);
        }
        if report.cold == Some(false) && self.is_cold() {
            self.warm_up(now);
        }
    }

    /// Records that the upstream refuses connections: it gets nothing until it answers again.
    pub fn mark_unreachable(&mut self, now: Instant) {
        self.reachable = false;
        self.cool(now);
    }

    /// Records that an upstream that reports nothing about itself answers.
    pub fn mark_reachable(&mut self) {
        self.reachable = true;
    }

    /// Records how a request ended.
    pub fn observe_completion(&mut self, kind: CompletionKind, now: Instant) {
        match kind {
            CompletionKind::Good { ran_for, units } => self.succeed(ran_for, units, now),
            CompletionKind::Error => self.fail(now),
            CompletionKind::Lost => self.cool(now),
        }
    }

    /// Ramps up again from cold: the upstream was taken out and has had no work for a while.
    pub fn restart_ramp(&mut self, now: Instant) {
        self.cool(now);
    }

    /// Stops taking new work.
    pub fn drain(&mut self, now: Instant) {
        self.change(now, |phase, now| match phase {
            UpstreamPhase::Cold(upstream) => UpstreamPhase::Draining(upstream.drain(now)),
            UpstreamPhase::Warming(upstream) => UpstreamPhase::Draining(upstream.drain(now)),
            UpstreamPhase::Warm(upstream) => UpstreamPhase::Draining(upstream.drain(now)),
            ended => ended,
        });
    }

    /// Ends the life cycle of a draining upstream and returns how long draining took.
    pub fn close(&mut self, now: Instant) -> Option<Duration> {
        self.change(now, |phase, now| match phase {
            UpstreamPhase::Draining(upstream) => UpstreamPhase::Gone(upstream.close(now)),
            other => other,
        });
        match &self.phase {
            UpstreamPhase::Gone(upstream) => Some(upstream.drained_in()),
            _ => None,
        }
    }

    fn succeed(&mut self, ran_for: Duration, units: u64, now: Instant) {
        self.failures = 0;
        let jumped = units > 0 && self.unit_time.record(ran_for.as_secs_f64() / units as f64);
        if jumped {
            self.unit_time.settle();
            self.fall(FALL_FACTOR, now);
            return;
        }
        // An upstream that reports coldness is believed until it reports the end of it.
        if self.reported_cold == Some(true) {
            return;
        }
        let slots = self.slots;
        self.change(now, |phase, now| match phase {
            UpstreamPhase::Cold(upstream) => advance(upstream.warm_up(COLD_LIMIT, now), slots),
            UpstreamPhase::Warming(upstream) => advance(upstream, slots),
            other => other,
        });
    }

    fn fail(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures >= FAILURE_RUN {
            self.failures = 0;
            self.cool(now);
            return;
        }
        // One step down: a single error says little about the load that the upstream bears.
        let limit = self.limit().saturating_sub(1);
        self.lower(limit, now);
    }

    fn fall(&mut self, factor: f64, now: Instant) {
        let limit = (f64::from(self.limit()) * factor) as u32;
        self.lower(limit, now);
    }

    fn lower(&mut self, limit: u32, now: Instant) {
        self.change(now, |phase, now| match phase {
            UpstreamPhase::Warming(upstream) => UpstreamPhase::Warming(upstream.fall(limit, now)),
            UpstreamPhase::Warm(upstream) => UpstreamPhase::Warming(upstream.fall(limit, now)),
            other => other,
        });
    }

    fn warm_up(&mut self, now: Instant) {
        let slots = self.slots;
        self.change(now, |phase, now| match phase {
            UpstreamPhase::Cold(upstream) if slots > COLD_LIMIT => {
                UpstreamPhase::Warming(upstream.warm_up(COLD_LIMIT, now))
            }
            other => other,
        });
    }

    fn cool(&mut self, now: Instant) {
        self.change(now, |phase, now| match phase {
            UpstreamPhase::Warming(upstream) => UpstreamPhase::Cold(upstream.cool(now)),
            UpstreamPhase::Warm(upstream) => UpstreamPhase::Cold(upstream.cool(now)),
            other => other,
        });
    }

    /// Replaces the phase by its successor; the transitions consume the old state.
    fn change(&mut self, now: Instant, step: impl FnOnce(UpstreamPhase, Instant) -> UpstreamPhase) {
        let placeholder = UpstreamPhase::Cold(ColdUpstream::new(now));
        let phase = std::mem::replace(&mut self.phase, placeholder);
        self.phase = step(phase, now);
    }
}

fn advance(upstream: WarmingUpstream, slots: u32) -> UpstreamPhase {
    match upstream.complete(slots) {
        WarmingStep::Warming(upstream) => UpstreamPhase::Warming(upstream),
        WarmingStep::Warm(upstream) => UpstreamPhase::Warm(upstream),
    }
}
