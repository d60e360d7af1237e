//! Rate limiter for the calls of one router to a cold upstream.

use std::time::{Duration, Instant};

use super::window::SlidingCounter;

/// Window of the rate limit for a cold upstream. It is longer than the second that the limit is
/// stated for, so that varying transit times don't move a call into the next second.
const COLD_WINDOW: Duration = Duration::from_millis(1150);

/// Rate limiter for the calls of one router to a cold upstream.
#[derive(Clone, Debug)]
pub struct ColdLimiter {
    until: Option<Instant>,
    sent: SlidingCounter,
}

impl Default for ColdLimiter {
    fn default() -> Self {
        Self { until: None, sent: SlidingCounter::new(COLD_WINDOW) }
    }
}

impl ColdLimiter {
    /// Marks the upstream as cold until `until`, or longer if it already is.
    pub fn mark_cold_until(&mut self, until: Instant) {
        self.until = Some(self.until.map_or(until, |current| current.max(until)));
    }

    /// Returns whether the upstream is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns whether another call fits within `share` calls per window.
    pub fn allows(&mut self, share: u32, now: Instant) -> bool {
        !self.is_cold(now) || self.sent.count(now) < share as usize
    }

    /// Counts a call that was sent.
    pub fn record(&mut self, now: Instant) {
        self.sent.record(now);
    }
}
