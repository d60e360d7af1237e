//! Calls that end the upstreams which run them.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::CallFingerprint;

/// Upstreams that a call may end before it is refused.
pub const CRASH_LIMIT: u32 = 3;

/// How long a crash is held against a call.
const CRASH_MEMORY: Duration = Duration::from_secs(60);

/// Suspects that a report to peers names at most; the most frequent go first.
const REPORTED_SUSPECTS: usize = 16;

/// Fingerprints of calls whose connections ended before their answers, with counts.
#[derive(Clone, Debug, Default)]
pub struct SuspectList {
    counts: IndexMap<CallFingerprint, (u32, Instant)>,
    cleared: IndexMap<CallFingerprint, Instant>,
}

impl SuspectList {
    /// Counts a connection that ended under a call.
    pub fn record(&mut self, fingerprint: CallFingerprint, now: Instant) {
        self.counts.retain(|_, (_, at)| now.duration_since(*at) < CRASH_MEMORY);
        self.cleared.swap_remove(&fingerprint);
        let entry = self.counts.entry(fingerprint).or_insert((0, now));
        *entry = (entry.0 + 1, now);
    }

    /// Notes that a suspect was answered: it does not end the upstreams that run it. Peers' counts
    /// of it are not believed for a while either.
    pub fn clear(&mut self, fingerprint: CallFingerprint, now: Instant) {
        self.counts.swap_remove(&fingerprint);
        self.cleared.retain(|_, at| now.duration_since(*at) < CRASH_MEMORY);
        self.cleared.insert(fingerprint, now);
    }

    /// Returns whether a suspect was answered a short time ago.
    pub fn is_cleared(&self, fingerprint: CallFingerprint) -> bool {
        self.cleared.contains_key(&fingerprint)
    }

    /// Number of connections that ended under a call.
    pub fn count(&self, fingerprint: CallFingerprint) -> u32 {
        self.counts.get(&fingerprint).map_or(0, |(count, _)| *count)
    }

    /// The most frequent suspects, for the report to peers.
    pub fn report(&self) -> Vec<(CallFingerprint, u32)> {
        let mut suspects: Vec<_> =
            self.counts.iter().map(|(fingerprint, (count, _))| (*fingerprint, *count)).collect();
        suspects.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        suspects.truncate(REPORTED_SUSPECTS);
        suspects
    }
}
