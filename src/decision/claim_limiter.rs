//! Rate limiter and circuit breaker for the claims of an agent.
//!
//! The table service allows a number of writes per second for the whole fleet, and agents do not
//! know how much the others use. Each agent therefore starts at a configured rate, halves it when
//! the service throttles a write, and increases it again slowly (additive increase, multiplicative
//! decrease). A claim above the rate is refused before anything is written, so the request has
//! certainly not run.

use std::time::{Duration, Instant};

/// Number of writes per claim: the claim and its outcome.
pub const WRITES_PER_CLAIM: u32 = 2;

/// Minimum rate in claims per second.
const MIN_RATE: f64 = 2.0;

/// Increase of the rate per second, in claims per second.
const RATE_INCREASE: f64 = 5.0;

/// Minimum time between two reductions of the rate. Concurrent claims are throttled together, which
/// shows only once that the rate is too high.
const REDUCTION_INTERVAL: Duration = Duration::from_millis(500);

/// Period over which unused tokens accumulate.
const BURST_PERIOD: Duration = Duration::from_millis(500);

/// Maximum time that a claim waits for a token. A burst is spread over this time and the rest of it
/// is refused, so that no slot of the upstream is kept idle for longer.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// Interval between probes of a store that is down. Claims are refused immediately meanwhile,
/// because otherwise callers would wait for the timeout of a table operation.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Retry delay that callers are given while the store is down.
pub const STORE_DOWN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Decision on whether a claim may be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimAdmission {
    /// The claim may be written after this delay.
    Admit(Duration),
    /// The rate is exceeded; retry after this delay.
    RateExceeded(Duration),
    /// The store does not answer; retry after this delay.
    StoreDown(Duration),
}

/// Token bucket for claims, and whether the store is down.
#[derive(Debug)]
pub struct ClaimLimiter {
    max_rate: f64,
    rate: f64,
    tokens: f64,
    refilled_at: Instant,
    store_down: bool,
    last_reduction: Option<Instant>,
}

impl ClaimLimiter {
    /// Creates a limiter with a maximum rate of `claims_per_second`.
    pub fn new(claims_per_second: u32, now: Instant) -> Self {
        let max_rate = f64::from(claims_per_second).max(MIN_RATE);
        let tokens = (max_rate * BURST_PERIOD.as_secs_f64()).max(1.0);
        Self {
            max_rate,
            rate: max_rate,
            tokens,
            refilled_at: now,
            store_down: false,
            last_reduction: None,
        }
    }

    /// Decides on one claim, and takes a token if it is admitted.
    pub fn admit(&mut self, now: Instant) -> ClaimAdmission {
        self.refill(now);
        if self.store_down {
            return ClaimAdmission::StoreDown(STORE_DOWN_RETRY_AFTER);
        }
        let wait = Duration::from_secs_f64((1.0 - self.tokens).max(0.0) / self.rate);
        if wait > MAX_WAIT {
            return ClaimAdmission::RateExceeded(wait);
        }
        self.tokens -= 1.0;
        ClaimAdmission::Admit(wait)
    }

    /// Records that the store answered.
    pub fn record_store_answer(&mut self) {
        self.store_down = false;
    }

    /// Records that the store did not answer, and returns whether the caller must start to probe
    /// it.
    pub fn record_store_failure(&mut self) -> bool {
        !std::mem::replace(&mut self.store_down, true)
    }

    /// Records that the store throttled a write.
    pub fn record_throttling(&mut self, now: Instant) {
        self.refill(now);
        let recent = |at: Instant| now.saturating_duration_since(at) < REDUCTION_INTERVAL;
        if self.last_reduction.is_some_and(recent) {
            return;
        }
        self.last_reduction = Some(now);
        self.rate = (self.rate / 2.0).max(MIN_RATE);
        self.tokens = self.tokens.min(self.burst());
    }

    /// Current rate in claims per second.
    pub fn rate(&self) -> f64 {
        self.rate
    }

    fn burst(&self) -> f64 {
        (self.rate * BURST_PERIOD.as_secs_f64()).max(1.0)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.rate = (self.rate + RATE_INCREASE * elapsed).min(self.max_rate);
        self.tokens = (self.tokens + self.rate * elapsed).min(self.burst());
    }
}
