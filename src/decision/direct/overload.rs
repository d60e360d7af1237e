//! Admission control of one router: a rate limiter on calls and the detection of overload.

use std::time::{Duration, Instant};

/// Processor time of a call and its answer on one core at the machines' reference speed; see
/// `docs/CAPACITY.md`.
const CALL_COST: Duration = Duration::from_micros(400);

/// Processor time of a call that is refused at once.
const REFUSAL_COST: Duration = Duration::from_micros(100);

/// Length of a burst, at the sustainable rate, that the limiter lets through.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Smallest burst of any router, in calls.
const MIN_BURST_CALLS: f64 = 8.0;

/// Averaged timer lateness above which the process counts as overloaded. It exceeds the delays of
/// up to 100 ms that a processor quota alone causes on single timers.
const MAX_LATENESS: Duration = Duration::from_millis(120);

/// Averaged timer lateness above which the process counts as overloaded while calls arrive faster
/// than the sustainable rate. High demand tells a growing shortage from the pauses of a quota, so
/// this limit can be lower.
const MAX_LATENESS_ABOVE_CAPACITY: Duration = Duration::from_millis(15);

/// Averaged timer lateness below which the overload may end.
const RECOVERY_LATENESS: Duration = Duration::from_millis(30);

/// Weight of a new sample in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.3;

/// Fractions of the connections in use at which overload begins and may end.
const OVERLOADED_CONNECTIONS: f64 = 0.75;
const RECOVERED_CONNECTIONS: f64 = 0.5;

/// Demand at which overload begins and may end, as a fraction of the sustainable rate.
const OVERLOADED_DEMAND: f64 = 1.0;
const RECOVERED_DEMAND: f64 = 0.6;

/// Shortest and longest time for which callers are shed. It doubles on each relapse: a relapse
/// means that the balancer still gives the router more callers than it can serve.
const MIN_SHED_TIME: Duration = Duration::from_secs(2);
const MAX_SHED_TIME: Duration = Duration::from_secs(16);

/// Overload that begins within this time of the last one counts as a relapse.
const RELAPSE_WINDOW: Duration = Duration::from_secs(10);

/// Returns the calls per second that a fraction of a processor core can serve.
fn sustainable_rate(processor_share: f64) -> f64 {
    processor_share / CALL_COST.as_secs_f64()
}

/// Limits the rate of calls to what the router's processor can serve.
///
/// A token bucket of processor seconds. A call that finds too little is refused at once, so that
/// its caller still has time to try another router. Refusals use processor time and are charged
/// too.
#[derive(Debug)]
pub struct CallLimiter {
    processor_share: f64,
    burst: f64,
    budget: f64,
    refilled: Instant,
}

impl CallLimiter {
    /// Creates a full bucket for a router with a fraction of a processor core.
    pub fn new(processor_share: f64, now: Instant) -> Self {
        let min_burst = MIN_BURST_CALLS * CALL_COST.as_secs_f64();
        let burst = (processor_share * BURST_TIME.as_secs_f64()).max(min_burst);
        Self { processor_share, burst, budget: burst, refilled: now }
    }

    /// Charges a call, or its refusal; returns whether the call is admitted.
    pub fn try_admit(&mut self, now: Instant) -> bool {
        let has_budget = self.has_budget(now);
        let cost = if has_budget { CALL_COST } else { REFUSAL_COST };
        self.budget = (self.budget - cost.as_secs_f64()).max(0.0);
        has_budget
    }

    /// Refills the bucket and returns whether it holds the cost of another call.
    pub fn has_budget(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.budget = (self.budget + passed * self.processor_share).min(self.burst);
        self.refilled = now;
        self.budget >= CALL_COST.as_secs_f64()
    }
}

/// Load of the process since the last sample.
#[derive(Clone, Copy, Debug)]
pub struct LoadSample {
    /// Delay of the sample behind its schedule.
    pub lateness: Duration,
    /// Fraction of the connections in use.
    pub connections_used: f64,
    /// Calls that arrived.
    pub calls: u64,
    /// Time since the last sample.
    pub interval: Duration,
}

/// Decides when a router starts and stops shedding callers.
#[derive(Debug)]
pub struct OverloadDetector {
    sustainable_rate: f64,
    lateness: f64,
    demand: f64,
    overloaded: bool,
    since: Instant,
    shed_time: Duration,
}

impl OverloadDetector {
    /// Creates a detector that reports no overload.
    pub fn new(processor_share: f64, now: Instant) -> Self {
        Self {
            sustainable_rate: sustainable_rate(processor_share),
            lateness: 0.0,
            demand: 0.0,
            overloaded: false,
            since: now,
            shed_time: MIN_SHED_TIME,
        }
    }

    /// Moving average of the timers' lateness.
    pub fn lateness(&self) -> Duration {
        Duration::from_secs_f64(self.lateness)
    }

    /// Moving average of the call rate, as a fraction of the sustainable rate.
    pub fn demand(&self) -> f64 {
        self.demand
    }

    /// Returns whether the [`CallLimiter`] is to be enforced.
    pub fn limits_calls(&self) -> bool {
        self.demand > RECOVERED_DEMAND && self.lateness > MAX_LATENESS_ABOVE_CAPACITY.as_secs_f64()
    }

    /// Adds a sample; returns the new state when the overload begins or ends.
    pub fn record(&mut self, sample: LoadSample, now: Instant) -> Option<bool> {
        let rate = sample.calls as f64 / sample.interval.as_secs_f64().max(f64::EPSILON);
        self.lateness += SAMPLE_WEIGHT * (sample.lateness.as_secs_f64() - self.lateness);
        self.demand +=
            SAMPLE_WEIGHT * (rate / self.sustainable_rate.max(f64::EPSILON) - self.demand);
        let time_in_state = now.saturating_duration_since(self.since);
        if self.overloaded {
            let has_recovered = self.lateness < RECOVERY_LATENESS.as_secs_f64()
                && sample.connections_used < RECOVERED_CONNECTIONS
                && self.demand < RECOVERED_DEMAND;
            if !has_recovered || time_in_state < self.shed_time {
                return None;
            }
        } else {
            let is_overloaded = self.lateness > MAX_LATENESS.as_secs_f64()
                || sample.connections_used > OVERLOADED_CONNECTIONS
                || (self.demand > OVERLOADED_DEMAND && self.limits_calls());
            if !is_overloaded {
                return None;
            }
            self.shed_time = if time_in_state < RELAPSE_WINDOW {
                (self.shed_time * 2).min(MAX_SHED_TIME)
            } else {
                MIN_SHED_TIME
            };
        }
        self.overloaded = !self.overloaded;
        self.since = now;
        Some(self.overloaded)
    }
}
