//! What is known of one upstream: its load, its prompt memory, its pace while cold, its health.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::call::{CallOutcome, PromptShape};
use super::peers::PeerLoad;
use super::window::SlidingCount;
use crate::ids::{PromptPartId, UpstreamId};
use crate::routing::UpstreamEntry;

/// Window of the bound on calls to a cold upstream, longer than the second that the bound names
/// so that transit times do not push a call into a neighbour's second.
const COLD_WINDOW: Duration = Duration::from_millis(1150);

/// Prompt tokens that an engine reads in a millisecond before any was measured.
const INITIAL_READ_RATE: f64 = 70.0;

/// Bounds of the measured rate, in tokens a millisecond.
const READ_RATE_RANGE: (f64, f64) = (12.0, 130.0);

/// Weight of a new measurement of the rate.
const READ_RATE_WEIGHT: f64 = 0.08;

/// Time from the arrival of a call at an idle engine to its first event.
const FIRST_EVENT_TIME: Duration = Duration::from_millis(40);

/// Prompt tokens below which a measurement says little about the rate.
const MEASURED_TOKENS: u64 = 3_000;

/// Prompt parts that are remembered for an upstream, in tokens, as a part of its memory.
const CACHED_FRACTION: f64 = 0.5;

/// Failures in a row after which an upstream rests.
const FAILURE_LIMIT: u32 = 3;

/// First rest of an upstream that cannot be reached; doubles with each further failure.
const FIRST_REST: Duration = Duration::from_millis(250);

/// Longest rest.
const LONGEST_REST: Duration = Duration::from_secs(2);

/// Rest of an upstream that declines calls.
const DECLINED_REST: Duration = Duration::from_millis(60);

/// Weight of one answer in the share of failures.
const FAILURE_WEIGHT: f64 = 0.1;

/// The shared prompt parts that an upstream has probably kept.
#[derive(Clone, Debug, Default)]
pub struct PrefixCache {
    parts: IndexMap<PromptPartId, u32>,
    tokens: u64,
}

impl PrefixCache {
    /// Notes that the upstream reads the shared parts of a prompt.
    pub fn record(&mut self, prompt: &PromptShape, capacity: u64) {
        for part in prompt.shared_parts() {
            if let Some(tokens) = self.parts.shift_remove(&part.id) {
                self.tokens -= u64::from(tokens);
            }
            self.parts.insert(part.id, part.tokens);
            self.tokens += u64::from(part.tokens);
        }
        while self.tokens > capacity {
            let Some((_, tokens)) = self.parts.shift_remove_index(0) else { break };
            self.tokens -= u64::from(tokens);
        }
    }

    /// Tokens of a prompt that the upstream has to read: all after the first part it lacks.
    pub fn uncached_tokens(&self, prompt: &PromptShape) -> u64 {
        let kept: u64 = prompt
            .shared_parts()
            .iter()
            .take_while(|part| self.parts.contains_key(&part.id))
            .map(|part| u64::from(part.tokens))
            .sum();
        u64::from(prompt.tokens_in).saturating_sub(kept)
    }

    /// Forgets everything, as a restarted upstream has.
    pub fn clear(&mut self) {
        self.parts.clear();
        self.tokens = 0;
    }
}

/// Pace at which one router may send to a cold upstream.
#[derive(Clone, Debug)]
pub struct ColdPace {
    until: Option<Instant>,
    sent: SlidingCount,
}

impl Default for ColdPace {
    fn default() -> Self {
        Self { until: None, sent: SlidingCount::new(COLD_WINDOW) }
    }
}

impl ColdPace {
    /// Marks the upstream as cold until `until`, unless it already is for longer.
    pub fn mark(&mut self, until: Instant) {
        self.until = Some(self.until.map_or(until, |held| held.max(until)));
    }

    /// Returns whether the upstream is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns whether another call fits this router's share of the fleet's bound.
    pub fn allows(&mut self, share: u32, now: Instant) -> bool {
        !self.is_cold(now) || self.sent.count(now) < share as usize
    }

    /// Counts a call that is sent.
    pub fn record(&mut self, now: Instant) {
        self.sent.add(now);
    }
}

/// One upstream as a router sees it.
#[derive(Clone, Debug)]
pub struct UpstreamLoad {
    /// The upstream's own description.
    pub entry: UpstreamEntry,
    /// Calls of this router.
    pub own: PeerLoad,
    /// Calls of all other routers, as last reported.
    pub peers: PeerLoad,
    /// Shared prompt parts that it has probably kept.
    pub cache: PrefixCache,
    /// Pace while it is cold.
    pub cold: ColdPace,
    /// When the entry disappeared, while it is kept in case the entry only lapsed.
    pub lapsed: Option<Instant>,
    id_hash: u64,
    read_rate: f64,
    failures: u32,
    failure_share: f64,
    resting_until: Option<Instant>,
}

impl UpstreamLoad {
    /// Creates the record of an upstream without load.
    pub fn new(id: &UpstreamId, entry: UpstreamEntry) -> Self {
        Self {
            entry,
            own: PeerLoad::default(),
            peers: PeerLoad::default(),
            cache: PrefixCache::default(),
            cold: ColdPace::default(),
            lapsed: None,
            id_hash: xxh3_64(id.as_bytes()),
            read_rate: INITIAL_READ_RATE,
            failures: 0,
            failure_share: 0.0,
            resting_until: None,
        }
    }

    /// Weight for a prompt part by rendezvous hashing; all routers prefer the highest.
    pub fn affinity(&self, part: PromptPartId) -> u64 {
        xxh3_64_with_seed(&part.to_le_bytes(), self.id_hash)
    }

    /// Calls under way from all routers.
    pub fn running(&self) -> u32 {
        self.own.running + self.peers.running
    }

    /// Expected time to the first event of a call with `missing` prompt tokens to read.
    pub fn expected_wait(&self, uncached: u64) -> Duration {
        let tokens = self.own.waiting_tokens + self.peers.waiting_tokens + uncached;
        FIRST_EVENT_TIME + self.read_time(tokens)
    }

    /// Time that the upstream takes to read prompt tokens.
    pub fn read_time(&self, tokens: u64) -> Duration {
        Duration::from_secs_f64(tokens as f64 / self.read_rate / 1000.0)
    }

    /// Tokens of all calls under way in the upstream's memory.
    pub fn held_tokens(&self) -> u64 {
        self.own.held_tokens + self.peers.held_tokens
    }

    /// Tokens of prompt parts that are worth remembering.
    pub fn cache_capacity(memory_tokens: u64) -> u64 {
        (memory_tokens as f64 * CACHED_FRACTION) as u64
    }

    /// Learns the read rate from a first event that came `waited` after the call was sent, when
    /// `queued` prompt tokens were to be read.
    pub fn record_first_event(&mut self, queued: u64, waited: Duration) {
        if queued < MEASURED_TOKENS {
            return;
        }
        let reading = waited.saturating_sub(FIRST_EVENT_TIME).max(Duration::from_millis(1));
        let rate = queued as f64 / (reading.as_secs_f64() * 1000.0);
        let rate = rate.clamp(READ_RATE_RANGE.0, READ_RATE_RANGE.1);
        self.read_rate += READ_RATE_WEIGHT * (rate - self.read_rate);
    }

    /// Rate at which it reads prompts, in tokens a millisecond.
    pub fn read_rate(&self) -> f64 {
        self.read_rate
    }

    /// Share of its recent answers that were failures.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Returns whether it rests after failures.
    pub fn is_resting(&self, now: Instant) -> bool {
        self.resting_until.is_some_and(|until| now < until)
    }

    /// Returns whether it has failed and not answered since, so that one call must try it first.
    pub fn is_unproved(&self) -> bool {
        self.failures >= FAILURE_LIMIT
    }

    /// Takes the end of a call in; returns whether the upstream probably went down.
    pub fn record_outcome(&mut self, outcome: CallOutcome, now: Instant) -> bool {
        match outcome {
            CallOutcome::Completed => {
                self.failures = 0;
                self.failure_share *= 1.0 - FAILURE_WEIGHT;
                self.resting_until = None;
                false
            }
            CallOutcome::Failed => {
                self.failures = 0;
                self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share);
                false
            }
            CallOutcome::Declined => {
                self.rest(DECLINED_REST, now);
                false
            }
            CallOutcome::Unreachable | CallOutcome::Silent => {
                self.failures = self.failures.max(FAILURE_LIMIT - 1) + 1;
                self.rest_after_failures(now);
                true
            }
            CallOutcome::Broken => {
                self.failures += 1;
                self.failure_share += FAILURE_WEIGHT * (1.0 - self.failure_share);
                if self.failures < FAILURE_LIMIT {
                    return false;
                }
                self.rest_after_failures(now);
                true
            }
            CallOutcome::Misdirected => {
                self.rest(LONGEST_REST, now);
                false
            }
            CallOutcome::Unsent | CallOutcome::Abandoned => false,
        }
    }

    fn rest_after_failures(&mut self, now: Instant) {
        let doublings = (self.failures - FAILURE_LIMIT).min(4);
        self.rest((FIRST_REST * 2_u32.pow(doublings)).min(LONGEST_REST), now);
    }

    fn rest(&mut self, time: Duration, now: Instant) {
        let until = now + time;
        self.resting_until = Some(self.resting_until.map_or(until, |held| held.max(until)));
    }
}
