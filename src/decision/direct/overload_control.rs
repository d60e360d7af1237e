//! Overload control of one router: which calls its processor bears, and when it sheds callers.

use std::time::{Duration, Instant};

use super::overload::{CallLimiter, LoadSample, OverloadDetector};

/// Limits the calls of a router by what its own samples say.
#[derive(Debug)]
pub struct OverloadControl {
    limiter: CallLimiter,
    detector: OverloadDetector,
    arrivals: u64,
}

impl OverloadControl {
    /// Creates the control of a router with a fraction of a processor core.
    pub fn new(processor_share: f64, now: Instant) -> Self {
        Self {
            limiter: CallLimiter::new(processor_share, now),
            detector: OverloadDetector::new(processor_share, now),
            arrivals: 0,
        }
    }

    /// Returns the detector.
    pub fn detector(&self) -> &OverloadDetector {
        &self.detector
    }

    /// Counts a call and returns whether it is admitted; the rate is limited only under overload.
    pub fn try_admit(&mut self, now: Instant) -> bool {
        self.arrivals += 1;
        let is_within_rate = self.limiter.try_admit(now);
        is_within_rate || !self.detector.limits_calls()
    }

    /// Returns whether a new connection may be served; only limited under overload.
    pub fn can_accept_connection(&mut self, now: Instant) -> bool {
        !self.detector.limits_calls() || self.limiter.has_budget(now)
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
        let calls = std::mem::take(&mut self.arrivals);
        let sample = LoadSample { lateness, connections_used, calls, interval };
        self.detector.record(sample, now)
    }
}
