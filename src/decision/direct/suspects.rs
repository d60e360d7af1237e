//! Detects calls that crash the upstreams which run them.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::CallFingerprint;

/// Crashes after which calls with the same fingerprint are refused.
pub const CRASH_LIMIT: u32 = 3;

/// Time for which a crash counts against a fingerprint.
const CRASH_RETENTION: Duration = Duration::from_secs(60);

/// Most suspects that a report to peers names; those with the most crashes come first.
const REPORTED_SUSPECTS: usize = 16;

/// Fingerprints of calls whose connections ended before their answers, with counts.
#[derive(Clone, Debug, Default)]
pub struct SuspectList {
    counts: IndexMap<CallFingerprint, (u32, Instant)>,
    cleared: IndexMap<CallFingerprint, Instant>,
}

impl SuspectList {
    /// Counts a connection that ended while it ran a call.
    pub fn record(&mut self, fingerprint: CallFingerprint, now: Instant) {
        self.counts.retain(|_, (_, at)| now.duration_since(*at) < CRASH_RETENTION);
        self.cleared.swap_remove(&fingerprint);
        let entry = self.counts.entry(fingerprint).or_insert((0, now));
        *entry = (entry.0 + 1, now);
    }

    /// Clears a suspect that was answered, since it does not crash every upstream. For a while, the
    /// counts of peers are ignored too, as they may lag.
    pub fn clear(&mut self, fingerprint: CallFingerprint, now: Instant) {
        self.counts.swap_remove(&fingerprint);
        self.cleared.retain(|_, at| now.duration_since(*at) < CRASH_RETENTION);
        self.cleared.insert(fingerprint, now);
    }

    /// Returns whether a suspect was answered recently.
    pub fn is_cleared(&self, fingerprint: CallFingerprint) -> bool {
        self.cleared.contains_key(&fingerprint)
    }

    /// Returns how many connections ended while they ran calls with this fingerprint.
    pub fn count(&self, fingerprint: CallFingerprint) -> u32 {
        self.counts.get(&fingerprint).map_or(0, |(count, _)| *count)
    }

    /// Returns the suspects with the most crashes, for the report to peers.
    pub fn report(&self) -> Vec<(CallFingerprint, u32)> {
        let mut suspects: Vec<_> =
            self.counts.iter().map(|(fingerprint, (count, _))| (*fingerprint, *count)).collect();
        suspects.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        suspects.truncate(REPORTED_SUSPECTS);
        suspects
    }
}
