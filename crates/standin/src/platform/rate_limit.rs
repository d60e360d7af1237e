//! Token bucket for the platform's rate limits.

use std::time::{Duration, Instant};

/// A token bucket that holds the tokens of one second, and at least one.
#[derive(Clone, Debug)]
pub(super) struct RateLimit {
    per_second: f64,
    tokens: f64,
    refilled: Instant,
}

impl RateLimit {
    pub(super) fn new(per_second: f64, now: Instant) -> Self {
        Self { per_second, tokens: Self::burst(per_second), refilled: now }
    }

    fn burst(per_second: f64) -> f64 {
        per_second.max(1.0)
    }

    /// Takes one token, or returns the time until one is available.
    pub(super) fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let elapsed = now.saturating_duration_since(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_second).min(Self::burst(self.per_second));
        self.refilled = now;
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64((1.0 - self.tokens) / self.per_second))
    }
}
