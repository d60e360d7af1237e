//! Event counts over a sliding window, and the retry budget.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Counter of the events in the last `window`.
#[derive(Clone, Debug)]
pub struct SlidingCounter {
    window: Duration,
    events: VecDeque<Instant>,
}

impl SlidingCounter {
    /// Creates an empty counter.
    pub fn new(window: Duration) -> Self {
        Self { window, events: VecDeque::new() }
    }

    /// Counts an event.
    pub fn record(&mut self, now: Instant) {
        self.expire(now);
        self.events.push_back(now);
    }

    /// Returns the number of events within the window that ends at `now`.
    pub fn count(&mut self, now: Instant) -> usize {
        self.expire(now);
        self.events.len()
    }

    fn expire(&mut self, now: Instant) {
        while self.events.front().is_some_and(|oldest| now.duration_since(*oldest) >= self.window) {
            self.events.pop_front();
        }
    }
}

/// Fraction of the fleet's bound that the routers' shares add up to; the rest covers calls in
/// progress while the number of routers changes.
const USED_FRACTION: f64 = 0.75;

/// One router's share of a service's retry budget.
///
/// In each window, the fleet may retry `ratio` of its calls and `slack` more. A router counts its
/// own first sends for the ratio and gets an equal part of the slack, so the shares of all routers
/// never exceed the bound.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    first_sends: SlidingCounter,
    retries: SlidingCounter,
}

impl RetryBudget {
    /// Creates a budget over `window`.
    pub fn new(window: Duration) -> Self {
        Self { first_sends: SlidingCounter::new(window), retries: SlidingCounter::new(window) }
    }

    /// Counts the first send of a call.
    pub fn record_first(&mut self, now: Instant) {
        self.first_sends.record(now);
    }

    /// Uses one retry of the budget; returns `false` when none is left.
    pub fn try_retry(&mut self, ratio: f64, slack: f64, routers: u32, now: Instant) -> bool {
        let first_sends = self.first_sends.count(now) as f64;
        let allowed = USED_FRACTION * (ratio * first_sends + slack / f64::from(routers.max(1)));
        if (self.retries.count(now) as f64) + 1.0 > allowed {
            return false;
        }
        self.retries.record(now);
        true
    }
}
