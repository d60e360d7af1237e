//! Placement: chooses the agents that a request is offered to.
//!
//! A request starts with two offers, and the number doubles at intervals while it waits, up to all
//! eligible agents. Requests with the same prompt prefix prefer the same agents, unless these are
//! clearly more loaded than the others. Each team has only a few requests on offer at a time.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ids::{RequestId, ServiceId, TeamId, UpstreamId, VersionId};

/// Number of offers that a request starts with (power of two choices).
pub const INITIAL_OFFERS: usize = 2;

/// Interval after which the number of offers doubles. A request then reaches all 40 engines of a
/// service at the largest supported scale after 100 ms, the longest time that a slot may be idle
/// while requests wait.
pub const DOUBLING_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of requests of one team, service and version that a router has on offer. With a
/// window of one, an agent that takes the request would find no other of that team until the next
/// one is offered.
pub const OFFER_WINDOW: usize = 4;

/// Load of a preferred agent, as a multiple of the mean load, above which other agents go first
/// (consistent hashing with bounded loads).
const LOAD_BOUND: f64 = 1.25;

/// Length of the prompt prefix that is hashed for cache affinity. Shorter prompts have no prefix
/// worth caching.
pub const PREFIX_BYTES: usize = 512;

/// Returns the number of offers that a request should have after waiting for `waited`.
pub fn target_offers(waited: Duration, eligible: usize) -> usize {
    let steps = waited.as_millis() / DOUBLING_INTERVAL.as_millis();
    let doublings = u32::try_from(steps).unwrap_or(u32::MAX).min(usize::BITS / 2);
    (INITIAL_OFFERS << doublings).min(eligible)
}

/// Returns the affinity hash of a request body, or `None` if the body is too short.
pub fn prefix_hash(body: &[u8]) -> Option<u64> {
    body.get(..PREFIX_BYTES).map(|prefix| xxh3_64_with_seed(prefix, 0))
}

/// An agent that is eligible for an offer.
#[derive(Clone, Debug)]
pub struct AgentCandidate {
    /// Upstream of the agent.
    pub agent: UpstreamId,
    /// Number of requests that run or wait at the agent.
    pub busy: u32,
    /// Number of slots that the agent's admission limit allows.
    pub limit: u32,
}

impl AgentCandidate {
    fn load(&self) -> f64 {
        f64::from(self.busy) / f64::from(self.limit.max(1))
    }
}

/// Chooses up to `count` agents, in order of preference.
pub fn choose_agents(
    request: RequestId,
    prefix: Option<u64>,
    mut candidates: Vec<AgentCandidate>,
    count: usize,
) -> Vec<UpstreamId> {
    let mean =
        candidates.iter().map(AgentCandidate::load).sum::<f64>() / candidates.len().max(1) as f64;
    // The added request keeps the bound usable in an idle fleet, whose mean load is 0.
    let is_within_bound = |candidate: &AgentCandidate| {
        candidate.load() <= LOAD_BOUND * mean + 1.0 / f64::from(candidate.limit.max(1))
    };
    // Without a prefix, the request id spreads requests evenly over equally loaded agents.
    let seed = prefix.unwrap_or(request as u64);
    let score = |candidate: &AgentCandidate| xxh3_64_with_seed(candidate.agent.as_bytes(), seed);
    candidates.sort_by(|left, right| {
        let by_load = left.load().total_cmp(&right.load());
        let by_score = score(right).cmp(&score(left));
        match prefix {
            Some(_) => match (is_within_bound(left), is_within_bound(right)) {
                (true, true) => by_score,
                (true, false) => std::cmp::Ordering::Less,
                (false, true) => std::cmp::Ordering::Greater,
                (false, false) => by_load.then(by_score),
            },
            None => by_load.then(by_score),
        }
    });
    candidates.into_iter().take(count).map(|candidate| candidate.agent).collect()
}

/// Identifies the requests that share one offer window.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WindowKey {
    /// Team of the requests.
    pub team: TeamId,
    /// Service that they call.
    pub service: ServiceId,
    /// Version that a version move assigns them to. Each version has its own window, so that a
    /// version without free agents does not block requests for the other.
    pub version: Option<VersionId>,
}

/// Offer window: the number of requests on offer, and the requests held until one of those ends.
#[derive(Clone, Debug, Default)]
struct OfferWindow {
    offered: usize,
    held: IndexSet<RequestId>,
}

/// Offer windows of all teams.
#[derive(Debug, Default)]
pub struct OfferWindows {
    windows: IndexMap<WindowKey, OfferWindow>,
}

impl OfferWindows {
    /// Adds a new request and returns whether it may be offered now. Otherwise the window holds it.
    pub fn try_offer(&mut self, key: &WindowKey, request: RequestId) -> bool {
        let window = self.windows.entry(key.clone()).or_default();
        if window.offered < OFFER_WINDOW {
            window.offered += 1;
            return true;
        }
        window.held.insert(request);
        false
    }

    /// Counts a request as offered even if the window is full, because an agent asked for it or
    /// because it is retried after a failed run.
    pub fn force_offer(&mut self, key: &WindowKey, request: RequestId) {
        let window = self.windows.entry(key.clone()).or_default();
        window.held.shift_remove(&request);
        window.offered += 1;
    }

    /// Records that an offered request was granted or has ended, and returns the held request that
    /// may be offered instead.
    pub fn complete_offer(&mut self, key: &WindowKey) -> Option<RequestId> {
        let window = self.windows.get_mut(key)?;
        window.offered = window.offered.saturating_sub(1);
        let next =
            if window.offered < OFFER_WINDOW { window.held.shift_remove_index(0) } else { None };
        if next.is_some() {
            window.offered += 1;
        } else if window.offered == 0 {
            self.windows.swap_remove(key);
        }
        next
    }

    /// Removes a held request and returns whether the window held it.
    pub fn remove_held(&mut self, key: &WindowKey, request: RequestId) -> bool {
        self.windows.get_mut(key).is_some_and(|window| window.held.shift_remove(&request))
    }

    /// Returns whether a window holds a request that may not be offered yet.
    pub fn is_held(&self, key: &WindowKey, request: RequestId) -> bool {
        self.windows.get(key).is_some_and(|window| window.held.contains(&request))
    }

    /// Number of requests on offer in a window.
    pub fn offered(&self, key: &WindowKey) -> usize {
        self.windows.get(key).map_or(0, |window| window.offered)
    }
}
