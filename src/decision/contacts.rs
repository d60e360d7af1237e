//! Log of a node's contacts with the store and its peers, from which it detects partitions.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::isolation::{CONTACT_WINDOW, IsolationState, IsolationView, classify_isolation};
use super::isolation::{IsolationTimer, reaches_majority};
use crate::ids::NodeId;

/// Time for which a peer counts as tried after an attempt. In a large fleet, each node tries only a
/// few peers in rotation, and the majority of these stands for the majority of all.
const ATTEMPT_WINDOW: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug, Default)]
struct ContactRecord {
    succeeded: Option<Instant>,
    attempted: Option<Instant>,
    reaches_store: bool,
}

impl ContactRecord {
    fn is_recent(&self, now: Instant) -> bool {
        is_within(self.succeeded, CONTACT_WINDOW, now)
    }
}

/// Outcomes of recent contacts with the store and with peers.
#[derive(Clone, Debug)]
pub struct ContactLog {
    peers: IndexMap<NodeId, ContactRecord>,
    store: ContactRecord,
    timer: IsolationTimer,
}

impl ContactLog {
    /// Creates an empty log. The node counts as connected at `now`.
    pub fn new(now: Instant) -> Self {
        let (peers, store) = (IndexMap::new(), ContactRecord::default());
        Self { peers, store, timer: IsolationTimer::new(now) }
    }

    /// Records the outcome of a call to the store.
    pub fn record_store(&mut self, reached: bool, now: Instant) {
        self.store.attempted = Some(now);
        if reached {
            self.store.succeeded = Some(now);
        }
    }

    /// Records that a peer answered, and whether it reaches the store.
    pub fn record_answer(&mut self, peer: &NodeId, reaches_store: bool, now: Instant) {
        let record = ContactRecord { succeeded: Some(now), attempted: Some(now), reaches_store };
        self.peers.insert(peer.clone(), record);
    }

    /// Records that a peer did not answer.
    pub fn record_failure(&mut self, peer: &NodeId, now: Instant) {
        self.peers.entry(peer.clone()).or_default().attempted = Some(now);
    }

    /// Removes peers that are no longer members.
    pub fn retain(&mut self, is_member: impl Fn(&str) -> bool) {
        self.peers.retain(|peer, _| is_member(peer));
    }

    /// Returns whether this node has reached the store within [`CONTACT_WINDOW`].
    pub fn reaches_store(&self, now: Instant) -> bool {
        self.store.is_recent(now)
    }

    /// Returns whether this node has called the store, but not reached it recently.
    pub fn store_fails(&self, now: Instant) -> bool {
        self.store.attempted.is_some() && !self.store.is_recent(now)
    }

    /// Returns whether a majority of the peers that were tried has answered recently.
    pub fn reaches_peer_majority(&self, now: Instant) -> bool {
        let tried: Vec<&ContactRecord> = self.tried(now).collect();
        let reachable = tried.iter().filter(|record| record.is_recent(now)).count();
        reaches_majority(reachable, tried.len())
    }

    fn tried(&self, now: Instant) -> impl Iterator<Item = &ContactRecord> {
        self.peers.values().filter(move |record| is_within(record.attempted, ATTEMPT_WINDOW, now))
    }

    /// Determines whether the node is isolated, and whether it accepts new work.
    pub fn assess(&mut self, now: Instant) -> (IsolationState, bool) {
        let mut recent = self.peers.values().filter(|record| record.is_recent(now));
        let store_reachable = self.reaches_store(now);
        let majority_reachable = self.reaches_peer_majority(now);
        let view = IsolationView {
            store_reachable,
            majority_reachable,
            peer_reaches_store: Some(recent.any(|record| record.reaches_store)),
        };
        let state = classify_isolation(view);
        let takes_work = self.timer.observe(state, self.last_majority_contact(now), now);
        (state, takes_work)
    }

    /// Returns the later of the last contacts with the store and with the median peer. Until then,
    /// either the store or a majority of peers was reachable.
    fn last_majority_contact(&self, now: Instant) -> Option<Instant> {
        let mut times: Vec<Option<Instant>> =
            self.tried(now).map(|record| record.succeeded).collect();
        times.sort_unstable();
        let median = times.get(times.len().saturating_sub(1) / 2).copied().flatten();
        median.max(self.store.succeeded)
    }
}

fn is_within(time: Option<Instant>, window: Duration, now: Instant) -> bool {
    time.is_some_and(|time| now.saturating_duration_since(time) < window)
}
