//! Estimate of the call rate that a router's processor sustains.

use std::time::Duration;

/// Processor time of a call and its answer on one core at the machines' reference speed: the most
/// that is assumed, and what is assumed before anything is measured; see `docs/CAPACITY.md`.
const MAX_CALL_COST: Duration = Duration::from_micros(400);
const INITIAL_CALL_COST: Duration = Duration::from_micros(250);

/// Averaged lateness of timers above which the present rate is not sustained.
pub(super) const MAX_LATENESS: Duration = Duration::from_millis(15);

/// Factors of the estimate per sample, while timers are late and while calls are refused with
/// timers in time.
const DECREASE: f64 = 0.9;
const INCREASE: f64 = 1.05;

/// Rate that the processor sustains, in calls per second.
///
/// What a call costs depends on the kind of calls and on the machine. A rate that is served in time
/// is sustained, and one that makes timers late is not, so the estimate follows the samples: it
/// rises to every rate that is served in time, and falls while timers are late.
#[derive(Clone, Copy, Debug)]
pub(super) struct SustainableRate {
    min: f64,
    rate: f64,
}

impl SustainableRate {
    /// Creates the estimate for a fraction of a processor core.
    pub(super) fn new(processor_share: f64) -> Self {
        Self {
            min: processor_share / MAX_CALL_COST.as_secs_f64(),
            rate: processor_share / INITIAL_CALL_COST.as_secs_f64(),
        }
    }

    /// Returns the lowest estimate.
    pub(super) fn min_per_second(&self) -> f64 {
        self.min
    }

    /// Returns the estimate.
    pub(super) fn per_second(&self) -> f64 {
        self.rate
    }

    /// Raises the estimate to a rate that is being served.
    pub(super) fn raise_to(&mut self, served: f64) {
        self.rate = self.rate.max(served);
    }

    /// Updates the estimate with the averages of the served rate and of the timers' lateness.
    pub(super) fn record(&mut self, served: f64, is_limiting: bool, lateness: Duration) {
        if lateness > MAX_LATENESS {
            self.rate = (self.rate * DECREASE).max(self.min);
            return;
        }
        self.raise_to(served);
        if is_limiting {
            self.rate *= INCREASE;
        }
    }
}
