//! Limit on how often a supervisor restarts its children.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Limits the number of restarts within a sliding window.
#[derive(Clone, Debug)]
pub struct RestartBudget {
    limit: usize,
    window: Duration,
    restarts: VecDeque<Instant>,
}

impl RestartBudget {
    /// Allows at most `limit` restarts within any `window`.
    pub fn new(limit: usize, window: Duration) -> Self {
        Self { limit, window, restarts: VecDeque::with_capacity(limit) }
    }

    /// Returns whether the budget allows a restart at `now`, and records it if so.
    pub fn try_restart(&mut self, now: Instant) -> bool {
        while let Some(oldest) = self.restarts.front() {
            if now.duration_since(*oldest) < self.window {
                break;
            }
            self.restarts.pop_front();
        }
        if self.restarts.len() >= self.limit {
            return false;
        }
        self.restarts.push_back(now);
        true
    }
}

impl Default for RestartBudget {
    fn default() -> Self {
        Self::new(5, Duration::from_secs(10))
    }
}
