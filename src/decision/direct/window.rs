//! Counts over sliding windows, and the budget for retries.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of events in the last `window`.
#[derive(Clone, Debug)]
pub struct SlidingCount {
    window: Duration,
    events: VecDeque<Instant>,
}

impl SlidingCount {
    /// Creates an empty count.
    pub fn new(window: Duration) -> Self {
        Self { window, events: VecDeque::new() }
    }

    /// Counts an event.
    pub fn add(&mut self, now: Instant) {
        self.expire(now);
        self.events.push_back(now);
    }

    /// Returns the number of events in the window that ends at `now`.
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

/// Part of the fleet's bound that routers use together; the rest covers calls under way while
/// the number of routers changes.
const USED_FRACTION: f64 = 0.75;

/// One router's share of a service's budget for retries.
///
/// The fleet may repeat `ratio` of the calls in a window and `slack` more. A router counts its
/// own calls for the first term and takes its part of the slack, so the shares of all routers
/// never exceed the bound.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    first_sends: SlidingCount,
    retries: SlidingCount,
}

impl RetryBudget {
    /// Creates a budget over `window`.
    pub fn new(window: Duration) -> Self {
        Self { first_sends: SlidingCount::new(window), retries: SlidingCount::new(window) }
    }

    /// Counts a call that is sent for the first time.
    pub fn record_first(&mut self, now: Instant) {
        self.first_sends.add(now);
    }

    /// Takes a repeat from the budget when it allows one.
    pub fn try_retry(&mut self, ratio: f64, slack: f64, routers: u32, now: Instant) -> bool {
        let first_sends = self.first_sends.count(now) as f64;
        let allowed = USED_FRACTION * (ratio * first_sends + slack / f64::from(routers.max(1)));
        if (self.retries.count(now) as f64) + 1.0 > allowed {
            return false;
        }
        self.retries.add(now);
        true
    }
}
