//! Overload control of one router: which calls its processor bears, and when it sheds callers.

use std::time::{Duration, Instant};

use super::overload::{CallLimiter, LoadSample, OverloadDetector, REFUSAL_COST, SAMPLE_WEIGHT};
use super::sustainable_rate::SustainableRate;

/// Limits the calls of a router to what its own samples show that it sustains.
#[derive(Debug)]
pub struct OverloadControl {
    limiter: CallLimiter,
    detector: OverloadDetector,
    rate: SustainableRate,
    limiting: bool,
    admitted: u64,
    refused: u64,
    served: f64,
}

impl OverloadControl {
    /// Creates the control of a router with a fraction of a processor core.
    pub fn new(processor_share: f64, now: Instant) -> Self {
        let mut control = Self {
            limiter: CallLimiter::new(processor_share, now),
            detector: OverloadDetector::new(processor_share, now),
            rate: SustainableRate::new(processor_share),
            limiting: false,
            admitted: 0,
            refused: 0,
            served: 0.0,
        };
        control.apply_rate();
        control
    }

    /// Returns the rate that the processor sustains, in calls per second.
    pub fn sustainable_rate(&self) -> f64 {
        self.rate.per_second()
    }

    /// Returns the detector.
    pub fn detector(&self) -> &OverloadDetector {
        &self.detector
    }

    /// Counts a call and returns whether it is admitted; the rate is limited only under overload.
    pub fn try_admit(&mut self, now: Instant) -> bool {
        let is_admitted = self.limiter.try_admit(now) || !self.limiting;
        if is_admitted {
            self.admitted += 1;
        } else {
            self.refused += 1;
        }
        is_admitted
    }

    /// Returns whether a new connection may be served; only limited under overload.
    pub fn can_accept_connection(&mut self, now: Instant) -> bool {
        !self.limiting || self.limiter.has_budget(now)
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
        let calls = admitted + refused;
        let sample = LoadSample { lateness, connections_used, calls, interval };
        let change = self.detector.record(sample, now);
        let served = admitted as f64 + REFUSAL_COST * refused as f64;
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
