//! Admission control of one router: a rate limiter on calls and the detection of overload.

use std::time::{Duration, Instant};

use super::sustainable_rate::{self, SustainableRate};

/// Processor time of a call that is refused at once, relative to that of a call with eight writes.
pub(super) const REFUSAL_COST: f64 = 0.25;

/// Length of a burst, at the sustainable rate, that the limiter lets through.
const BURST_TIME: Duration = Duration::from_millis(75);

/// Smallest burst of any router, in calls.
const MIN_BURST_CALLS: f64 = 8.0;

/// Averaged timer lateness above which the process counts as overloaded. It exceeds the delays of
/// up to 100 ms that a processor quota alone causes on single timers.
const MAX_LATENESS: Duration = Duration::from_millis(120);

/// Averaged timer lateness below which the overload may end.
const RECOVERY_LATENESS: Duration = Duration::from_millis(30);

/// Weight of a new sample in the moving averages.
pub(super) const SAMPLE_WEIGHT: f64 = 0.3;

/// Fractions of the connections in use at which overload begins and may end.
const OVERLOADED_CONNECTIONS: f64 = 0.75;
const RECOVERED_CONNECTIONS: f64 = 0.5;

/// Demand at which overload begins and may end, as a fraction of the sustainable rate.
const OVERLOADED_DEMAND: f64 = 1.1;
const RECOVERED_DEMAND: f64 = 0.6;

/// Shortest and longest time for which callers are shed. It doubles on each relapse: a relapse
/// means that the balancer still gives the router more callers than it can serve.
const MIN_SHED_TIME: Duration = Duration::from_secs(2);
const MAX_SHED_TIME: Duration = Duration::from_secs(16);

/// Overload that begins within this time of the last one counts as a relapse.
const RELAPSE_WINDOW: Duration = Duration::from_secs(10);

/// Limits the calls to what the router's processor sustains.
///
/// A token bucket of processor time, in calls with eight writes. A call that finds too little is
/// refused at once, so that its caller still has time to try another router. Calls that cost less
/// find enough sooner, so that the processor does the most work. Refusals use processor time and
/// are charged too.
#[derive(Debug)]
pub struct CallLimiter {
    rate: f64,
    budget: f64,
    refilled: Instant,
}

impl CallLimiter {
    /// Creates a full bucket for a router with a fraction of a processor core.
    pub fn new(processor_share: f64, now: Instant) -> Self {
        let rate = SustainableRate::new(processor_share).min_per_second();
        Self { rate, budget: burst(rate), refilled: now }
    }

    /// Sets the rate to which calls are limited, in calls per second.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Charges a call with this cost, or its refusal; returns whether the call is admitted.
    pub fn try_admit(&mut self, cost: f64, now: Instant) -> bool {
        let has_budget = self.has_budget(cost, now);
        if has_budget {
            self.charge(cost);
        } else if self.budget > 0.0 {
            self.budget = (self.budget - REFUSAL_COST).max(0.0);
        }
        has_budget
    }

    /// Charges work with this cost, whatever the budget. A debt of more than a burst is forgotten.
    pub fn charge(&mut self, cost: f64) {
        let burst = burst(self.rate);
        self.budget = (self.budget - cost).clamp(-burst, burst);
    }

    /// Refills the bucket and returns whether it holds a call with this cost. A full bucket holds
    /// any call.
    pub fn has_budget(&mut self, cost: f64, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.refilled).as_secs_f64();
        let burst = burst(self.rate);
        self.budget = (self.budget + passed * self.rate).min(burst);
        self.refilled = now;
        self.budget >= cost.min(burst)
    }
}

/// Returns the largest burst at a rate, in calls.
fn burst(rate: f64) -> f64 {
    (rate * BURST_TIME.as_secs_f64()).max(MIN_BURST_CALLS)
}

/// Load of the process since the last sample.
#[derive(Clone, Copy, Debug)]
pub struct LoadSample {
    /// Delay of the sample behind its schedule.
    pub lateness: Duration,
    /// Fraction of the connections in use.
    pub connections_used: f64,
    /// Calls that arrived, as a multiple of the cost of a call with eight writes.
    pub calls: f64,
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
            sustainable_rate: SustainableRate::new(processor_share).min_per_second(),
            lateness: 0.0,
            demand: 0.0,
            overloaded: false,
            since: now,
            shed_time: MIN_SHED_TIME,
        }
    }

    /// Sets the rate that the demand is compared with, in calls per second.
    pub fn set_sustainable_rate(&mut self, rate: f64) {
        self.sustainable_rate = rate;
    }

    /// Moving average of the timers' lateness.
    pub fn lateness(&self) -> Duration {
        Duration::from_secs_f64(self.lateness)
    }

    /// Moving average of the call rate, as a fraction of the sustainable rate.
    pub fn demand(&self) -> f64 {
        self.demand
    }

    /// Returns whether callers are shed.
    pub fn is_overloaded(&self) -> bool {
        self.overloaded
    }

    /// Returns whether timers are late while the demand is high. High demand tells a shortage of
    /// processor time from the pauses of a processor quota, so the limit on lateness can be low.
    pub fn is_short_of_time(&self) -> bool {
        self.demand > RECOVERED_DEMAND && self.lateness() > sustainable_rate::MAX_LATENESS
    }

    /// Returns whether the demand is low enough for all calls to be admitted.
    pub fn has_spare_time(&self) -> bool {
        self.demand < RECOVERED_DEMAND
    }

    /// Adds a sample; returns the new state when the overload begins or ends.
    pub fn record(&mut self, sample: LoadSample, now: Instant) -> Option<bool> {
        let rate = sample.calls / sample.interval.as_secs_f64().max(f64::EPSILON);
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
                || (self.demand > OVERLOADED_DEMAND && self.is_short_of_time());
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
