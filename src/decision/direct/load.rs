//! State of one upstream as a router sees it: load, prefix cache, cold start and health.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::call::CallOutcome;
use super::cold_limiter::ColdLimiter;
use super::peers::PeerLoad;
use super::prefix_cache::PrefixCache;
use super::read_rate::ReadRate;
use super::stated_load::LastStatement;
use crate::ids::{PromptPartId, UpstreamId};
use crate::routing::UpstreamEntry;

/// Time from the arrival of a call at an idle engine to its first event, besides reading the
/// prompt.
const BASE_FIRST_EVENT_TIME: Duration = Duration::from_millis(40);

/// Fewest prompt tokens for which a first event gives a usable measurement of the rate.
const MIN_MEASURED_TOKENS: u64 = 3_000;

/// Fraction of an engine's memory, in tokens, that its prefix cache is assumed to use.
const CACHED_FRACTION: f64 = 0.5;

/// Consecutive failures after which an upstream gets no calls for a backoff.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;

/// First backoff of an upstream that cannot be reached; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Backoff of an upstream that declined a call.
const DECLINED_BACKOFF: Duration = Duration::from_millis(60);

/// Weight of one answer in the moving average of failures.
const FAILURE_WEIGHT: f64 = 0.1;

/// One upstream as a router sees it.
#[derive(Clone, Debug)]
pub struct UpstreamLoad {
    /// Entry that the upstream published.
    pub entry: UpstreamEntry,
    /// Load from this router.
    pub own: PeerLoad,
    /// Part of the own waiting tokens whose first events have probably arrived unread.
    pub unread_tokens: u64,
    /// Load from all other routers, as last reported.
    pub peers: PeerLoad,
    /// Mean time at which the peers' reports were received.
    pub peers_at: Option<Instant>,
    /// Load that the upstream states itself.
    pub stated: LastStatement,
    /// Estimate of its prefix cache.
    pub cache: PrefixCache,
    /// Rate limiter while it is cold.
    pub cold: ColdLimiter,
    /// Rate at which it usually reads prompts.
    pub read_rate: ReadRate,
    /// When the entry disappeared, while the upstream is kept in case the entry only expired during
    /// an outage of the store.
    pub expired_at: Option<Instant>,
    id_hash: u64,
    consecutive_failures: u32,
    failure_share: f64,
    backoff_until: Option<Instant>,
}

impl UpstreamLoad {
    /// Creates the state of an upstream without load.
    pub fn new(id: &UpstreamId, entry: UpstreamEntry) -> Self {
        Self {
            entry,
            own: PeerLoad::default(),
            unread_tokens: 0,
            peers: PeerLoad::default(),
            peers_at: None,
            stated: LastStatement::default(),
            cache: PrefixCache::default(),
            cold: ColdLimiter::default(),
            read_rate: ReadRate::default(),
            expired_at: None,
            id_hash: xxh3_64(id.as_bytes()),
            consecutive_failures: 0,
            failure_share: 0.0,
            backoff_until: None,
        }
    }

    /// Returns the rendezvous hashing weight for a prompt part; all routers prefer the highest.
    pub fn affinity(&self, part: PromptPartId) -> u64 {
        xxh3_64_with_seed(&part.to_le_bytes(), self.id_hash)
    }

    /// Returns the calls in progress from all routers.
    pub fn running(&self, now: Instant) -> u32 {
        let report_age = self.peers_at.map(|at| now.saturating_duration_since(at));
        self.own.running + self.stated.combine(self.peers.running, report_age, now)
    }

    /// Returns the load from this router without the calls that probably no longer wait.
    pub fn report(&self) -> PeerLoad {
        let waiting_tokens = self.own.waiting_tokens.saturating_sub(self.unread_tokens);
        PeerLoad { waiting_tokens, ..self.own }
    }

    /// Returns the prompt tokens of all routers' calls that probably wait.
    pub fn waiting_tokens(&self) -> u64 {
        self.report().waiting_tokens + self.peers.waiting_tokens
    }

    /// Records that a call no longer waits; `is_unread` when it was counted as such.
    pub fn end_wait(&mut self, tokens: u64, is_unread: bool) {
        self.own.waiting_tokens = self.own.waiting_tokens.saturating_sub(tokens);
        if is_unread {
            self.unread_tokens = self.unread_tokens.saturating_sub(tokens);
        }
    }

    /// Returns the expected time to the first event of a call with `uncached` prompt tokens.
    pub fn expected_wait(&self, uncached: u64, now: Instant) -> Duration {
        let base = BASE_FIRST_EVENT_TIME.mul_f64(self.stated.slowdown_factor(now));
        base + self.read_time(self.waiting_tokens() + uncached, now)
    }

    /// Returns the time that the upstream takes to read prompt tokens at its present speed.
    pub fn read_time(&self, tokens: u64, now: Instant) -> Duration {
        let usual = tokens as f64 / self.read_rate.tokens_per_ms() / 1000.0;
        Duration::from_secs_f64(usual * self.stated.slowdown_factor(now))
    }

    /// Returns the tokens that all calls in progress hold in the upstream's memory.
    pub fn held_tokens(&self) -> u64 {
        self.own.held_tokens + self.peers.held_tokens
    }

    /// Returns the assumed size of the prefix cache, in tokens.
    pub fn cache_capacity(memory_tokens: u64) -> u64 {
        (memory_tokens as f64 * CACHED_FRACTION) as u64
    }

    /// Updates the read rate from a first event that came `waited` after the call was sent, with
    /// `queued` prompt tokens to read before it. The time counts as it would have been at the usual
    /// speed, so that a slow spell is not learned as a slow engine.
    pub fn record_first_event(&mut self, queued: u64, waited: Duration, now: Instant) {
        if queued < MIN_MEASURED_TOKENS {
            return;
        }
        let usual = waited.div_f64(self.stated.slowdown_factor(now));
        let reading = usual.saturating_sub(BASE_FIRST_EVENT_TIME).max(Duration::from_millis(1));
        self.read_rate.record(queued as f64 / (reading.as_secs_f64() * 1000.0));
    }

    /// Returns the rate at which the upstream usually reads prompts, in tokens per millisecond.
    pub fn read_rate(&self) -> f64 {
        self.read_rate.tokens_per_ms()
    }

    /// Returns the moving average of its failures, from 0 to 1.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Returns whether the upstream gets no calls after failures.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// Returns whether the upstream has not answered since its backoff, so that a single call must
    /// probe it first.
    pub fn needs_probe(&self) -> bool {
        self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
    }

    /// Records the end of a call; returns whether the upstream probably went down.
    pub fn record_outcome(&mut self, outcome: CallOutcome, now: Instant) -> bool {
        match outcome {
            CallOutcome::Completed => {
                self.consecutive_failures = 0;
                self.failure_share *= 1.0 - FAILURE_WEIGHT;
                self.backoff_until = None;
                false
            }
            CallOutcome::Failed => {
                self.consecutive_failures = 0;
                self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share);
                false
            }
            CallOutcome::Declined => {
                self.back_off(DECLINED_BACKOFF, now);
                false
            }
            CallOutcome::Unreachable | CallOutcome::Silent => {
                self.consecutive_failures =
                    self.consecutive_failures.max(MAX_CONSECUTIVE_FAILURES - 1) + 1;
                self.back_off_after_failures(now);
                true
            }
            CallOutcome::Broken => {
                self.consecutive_failures += 1;
                self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share);
                if self.consecutive_failures < MAX_CONSECUTIVE_FAILURES {
                    return false;
                }
                self.back_off_after_failures(now);
                true
            }
            CallOutcome::Misdirected => {
                self.back_off(MAX_BACKOFF, now);
                false
            }
            CallOutcome::Unsent | CallOutcome::Abandoned => false,
        }
    }

    fn back_off_after_failures(&mut self, now: Instant) {
        let doublings = (self.consecutive_failures - MAX_CONSECUTIVE_FAILURES).min(4);
        self.back_off((INITIAL_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF), now);
    }

    fn back_off(&mut self, time: Duration, now: Instant) {
        let until = now + time;
        self.backoff_until = Some(self.backoff_until.map_or(until, |current| current.max(until)));
    }
}
