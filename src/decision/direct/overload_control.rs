//! Overload control of one router: which calls its processor bears, and when it sheds callers.

use std::time::{Duration, Instant};

use super::call::PromptShape;
use super::call_cost::CostEstimate;
use super::overload::{CallLimiter, LoadSample, OverloadDetector, REFUSAL_COST, SAMPLE_WEIGHT};
use super::sustainable_rate::SustainableRate;

/// Cost that is charged for the first call of a connection before it is read: that of a call of
/// mean cost.
const CONNECTION_COST: f64 = 1.0;

/// Processor time of a connection that is handed over, relative to that of a call with eight writes.
const HANDOFF_COST: f64 = 0.35;

/// Fraction of the sustainable rate up to which a router serves the callers of others.
const OFFERED_FRACTION: f64 = 0.5;

/// Averaged lateness of timers and fraction of the connections in use up to which it does.
const MAX_OFFER_LATENESS: Duration = Duration::from_millis(10);
const MAX_OFFER_CONNECTIONS: f64 = 0.5;

/// Decision about a new connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionAdmission {
    /// It is served, and its first call is charged when it is read.
    Unlimited,
    /// It is served, and its first call is charged already.
    Charged,
    /// The processor has no time for it.
    Refused,
}

/// Limits the calls of a router to what its own samples show that it sustains.
#[derive(Debug)]
pub struct OverloadControl {
    limiter: CallLimiter,
    detector: OverloadDetector,
    rate: SustainableRate,
    costs: CostEstimate,
    limiting: bool,
    /// Cost of the calls that were admitted since the last sample.
    admitted: f64,
    /// Cost that the calls which were refused since then would have had, and their number.
    refused: f64,
    refusals: u32,
    /// Connections that were handed over since then.
    handoffs: u32,
    served: f64,
    connections_used: f64,
}

impl OverloadControl {
    /// Creates the control of a router with a fraction of a processor core.
    pub fn new(processor_share: f64, now: Instant) -> Self {
        let mut control = Self {
            limiter: CallLimiter::new(processor_share, now),
            detector: OverloadDetector::new(processor_share, now),
            rate: SustainableRate::new(processor_share),
            costs: CostEstimate::default(),
            limiting: false,
            admitted: 0.0,
            refused: 0.0,
            refusals: 0,
            handoffs: 0,
            served: 0.0,
            connections_used: 0.0,
        };
        control.apply_rate();
        control
    }

    /// Returns the rate that the processor sustains, in calls with eight writes per second.
    pub fn sustainable_rate(&self) -> f64 {
        self.rate.per_second()
    }

    /// Returns the detector.
    pub fn detector(&self) -> &OverloadDetector {
        &self.detector
    }

    /// Returns the cost of a call, relative to that of a call with eight writes.
    pub fn cost_of(&self, prompt: Option<&PromptShape>) -> f64 {
        self.costs.cost_of(prompt)
    }

    /// Records that a stream with this limit of output tokens ended after so many writes.
    pub fn record_stream(&mut self, tokens_out: u32, writes: u32) {
        self.costs.record_stream(tokens_out, writes);
    }

    /// Counts a call with this cost and returns whether it is admitted; the rate is limited only
    /// under overload.
    pub fn try_admit(&mut self, cost: f64, now: Instant) -> bool {
        let is_admitted = self.limiter.try_admit(cost, now) || !self.limiting;
        if is_admitted {
            self.admitted += cost;
        } else {
            self.refused += cost;
            self.refusals += 1;
        }
        is_admitted
    }

    /// Decides about a new connection. Under overload its first call is charged at once: until it
    /// is read, many more connections would find the same budget.
    pub fn try_admit_connection(&mut self, now: Instant) -> ConnectionAdmission {
        if !self.limiting {
            return ConnectionAdmission::Unlimited;
        }
        if !self.limiter.has_budget(CONNECTION_COST, now) {
            return ConnectionAdmission::Refused;
        }
        self.limiter.charge(CONNECTION_COST);
        ConnectionAdmission::Charged
    }

    /// Counts a call with this cost, whose connection was charged for it.
    pub fn admit_charged(&mut self, cost: f64) {
        self.limiter.charge(cost - CONNECTION_COST);
        self.admitted += cost;
    }

    /// Records that a connection is handed over to another router.
    pub fn record_handoff(&mut self) {
        self.limiter.charge(HANDOFF_COST);
        self.handoffs += 1;
    }

    /// Returns whether calls are limited.
    pub fn is_limiting(&self) -> bool {
        self.limiting
    }

    /// Returns the calls per second that the router has time for, besides those that it serves.
    pub fn spare_rate(&self) -> f64 {
        let is_busy = self.limiting
            || self.detector.is_overloaded()
            || self.detector.lateness() > MAX_OFFER_LATENESS
            || self.connections_used > MAX_OFFER_CONNECTIONS;
        if is_busy {
            return 0.0;
        }
        (self.rate.per_second() * OFFERED_FRACTION - self.served).max(0.0)
    }

    /// Records how late a timer fired `interval` after the last one, and the fraction of the
    /// connections in use; returns the new state when the overload begins or ends.
    pub fn record(
        &mut self,
        lateness: Duration,
        connections_used: f64,
        interval: Duration,
        now: Instant,
    ) -> Option<bool> {
        let admitted = std::mem::take(&mut self.admitted);
        let refused = std::mem::take(&mut self.refused);
        let refusals = f64::from(std::mem::take(&mut self.refusals));
        let handoffs = f64::from(std::mem::take(&mut self.handoffs));
        let calls = admitted + refused + handoffs;
        self.connections_used = connections_used;
        let sample = LoadSample { lateness, connections_used, calls, interval };
        let change = self.detector.record(sample, now);
        let served = admitted + REFUSAL_COST * refusals + HANDOFF_COST * handoffs;
        let served = served / interval.as_secs_f64().max(f64::EPSILON);
        self.served += SAMPLE_WEIGHT * (served - self.served);
        self.update_rate();
        change
    }

    fn update_rate(&mut self) {
        self.rate.record(self.served, self.limiting, self.detector.lateness());
        if self.limiting {
            self.limiting = !self.detector.has_spare_time();
        } else if self.detector.is_short_of_time() {
            self.limiting = true;
            self.rate.raise_to(self.served);
        }
        self.apply_rate();
    }

    fn apply_rate(&mut self) {
        let rate = self.rate.per_second();
        self.limiter.set_rate(rate);
        self.detector.set_sustainable_rate(rate);
    }
}
