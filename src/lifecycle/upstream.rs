//! Life cycle of an upstream, as its agent observes it.
//!
//! [`ColdUpstream`] → [`WarmingUpstream`] → [`WarmUpstream`] → [`DrainingUpstream`] →
//! [`StoppedUpstream`]. A new boot id, a lost connection, consecutive failures or a report that the
//! upstream is cold lead back to [`ColdUpstream`].

use std::time::{Duration, Instant};

/// An upstream that has just started or was not observed yet.
#[derive(Debug)]
pub struct ColdUpstream {
    since: Instant,
}

/// An upstream whose concurrency limit grows with successful completions.
#[derive(Debug)]
pub struct WarmingUpstream {
    since: Instant,
    limit: u32,
    successes: u32,
}

/// An upstream whose limit has reached its number of slots.
#[derive(Debug)]
pub struct WarmUpstream {
    slots: u32,
}

/// An upstream that finishes its running requests and gets no new ones.
#[derive(Debug)]
pub struct DrainingUpstream {
    since: Instant,
}

/// An upstream that has finished all its requests.
#[derive(Debug)]
pub struct StoppedUpstream {
    drained_in: Duration,
}

/// State of a warming upstream after a completion.
#[derive(Debug)]
pub enum WarmingStep {
    /// The limit is still below the number of slots.
    Warming(WarmingUpstream),
    /// The limit has reached the number of slots.
    Warm(WarmUpstream),
}

impl ColdUpstream {
    /// Starts the life cycle.
    pub fn new(since: Instant) -> Self {
        Self { since }
    }

    /// Time at which the upstream became cold.
    pub fn since(&self) -> Instant {
        self.since
    }

    /// Starts the ramp at `limit`.
    pub fn warm_up(self, limit: u32, now: Instant) -> WarmingUpstream {
        WarmingUpstream { since: now, limit: limit.max(1), successes: 0 }
    }

    /// Stops accepting new work.
    pub fn drain(self, now: Instant) -> DrainingUpstream {
        DrainingUpstream { since: now }
    }
}

impl WarmingUpstream {
    /// Number of requests that may run at once.
    pub fn limit(&self) -> u32 {
        self.limit
    }

    /// Time at which this ramp began.
    pub fn since(&self) -> Instant {
        self.since
    }

    /// Counts a successful completion. After as many as the limit, the limit grows by one, so that
    /// each step has been run at full load before the next.
    pub fn record_success(mut self, slots: u32) -> WarmingStep {
        self.successes += 1;
        if self.successes >= self.limit {
            self.successes = 0;
            self.limit += 1;
        }
        if self.limit >= slots {
            return WarmingStep::Warm(WarmUpstream { slots });
        }
        WarmingStep::Warming(self)
    }

    /// Lowers the limit.
    pub fn lower_limit(self, limit: u32, now: Instant) -> WarmingUpstream {
        WarmingUpstream { since: now, limit: limit.max(1), successes: 0 }
    }

    /// Restarts the life cycle from cold.
    pub fn reset_to_cold(self, now: Instant) -> ColdUpstream {
        ColdUpstream::new(now)
    }

    /// Stops accepting new work.
    pub fn drain(self, now: Instant) -> DrainingUpstream {
        DrainingUpstream { since: now }
    }
}

impl WarmUpstream {
    /// Number of requests that may run at once.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Lowers the limit and starts to ramp it up again from there.
    pub fn lower_limit(self, limit: u32, now: Instant) -> WarmingUpstream {
        WarmingUpstream { since: now, limit: limit.max(1), successes: 0 }
    }

    /// Restarts the life cycle from cold.
    pub fn reset_to_cold(self, now: Instant) -> ColdUpstream {
        ColdUpstream::new(now)
    }

    /// Stops accepting new work.
    pub fn drain(self, now: Instant) -> DrainingUpstream {
        DrainingUpstream { since: now }
    }
}

impl DrainingUpstream {
    /// Ends the life cycle once no request is running.
    pub fn close(self, now: Instant) -> StoppedUpstream {
        StoppedUpstream { drained_in: now.duration_since(self.since) }
    }
}

impl StoppedUpstream {
    /// Time between the start of the drain and the end of the last request.
    pub fn drained_in(&self) -> Duration {
        self.drained_in
    }
}
