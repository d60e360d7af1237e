//! Quarantine of requests that crash their upstream.
//!
//! Requests are identified by a fingerprint, so that a repeat by the caller is identified too. All
//! requests in flight at a crash become suspects, and the next run of a suspect is alone on its
//! upstream. If that run ends without a crash, the request is excused of the crashes so far. If the
//! request is in flight at a second crash, it is refused for [`QUARANTINE_PERIOD`]. Records are
//! sets that only grow until they expire, so merging them is commutative and idempotent.

use std::time::{Duration, SystemTime};

use indexmap::{IndexMap, IndexSet};
use sha2::{Digest, Sha256};

/// Time for which a request is refused after its second crash.
pub const QUARANTINE_PERIOD: Duration = Duration::from_secs(600);

/// Time for which a crash counts against its suspects.
pub const SUSPECT_PERIOD: Duration = Duration::from_secs(600);

/// Number of crashes after which a request is refused.
const MAX_CRASHES: usize = 2;

/// Maximum number of suspects in one process. The oldest are removed first.
pub const MAX_SUSPECTS: usize = 4096;

/// Identifies what a request does: a hash over service, route and body.
pub type RequestFingerprint = u128;

/// Identifies one crash: a hash over the upstream and the boot that ended.
pub type CrashId = u64;

/// Computes the fingerprint of a request. It is a SHA-256 hash so that a team cannot construct a
/// request with the same fingerprint as another team's.
pub fn request_fingerprint(service: &str, route: &str, body: &[u8]) -> RequestFingerprint {
    let hash = hash_parts(&[service.as_bytes(), route.as_bytes(), body]);
    u128::from_le_bytes(std::array::from_fn(|index| hash[index]))
}

/// Computes the id of a crash.
pub fn crash_id(upstream: &str, boot: &str) -> CrashId {
    let hash = hash_parts(&[upstream.as_bytes(), boot.as_bytes()]);
    u64::from_le_bytes(std::array::from_fn(|index| hash[index]))
}

fn hash_parts(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// Crashes recorded for a fingerprint.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectRecord {
    /// Crashes at which the request was in flight, with their times.
    pub crashes: IndexMap<CrashId, SystemTime>,
    /// Crashes that the request did not cause.
    pub excused: IndexSet<CrashId>,
}

/// Whether and how a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineState {
    /// The request runs like any other.
    Normal,
    /// The request runs only while no other is running on the same upstream.
    Alone,
    /// The request is refused.
    Refused {
        /// End of the quarantine.
        until: SystemTime,
    },
}

impl SuspectRecord {
    /// Merges another record into this one.
    pub fn merge(&mut self, other: &Self) {
        for (crash, at) in &other.crashes {
            let earliest = self.crashes.entry(*crash).or_insert(*at);
            // The clocks of observers differ. The earliest time is kept, so that the result does
            // not depend on the order of merges.
            *earliest = (*earliest).min(*at);
        }
        self.excused.extend(other.excused.iter().copied());
    }

    /// Returns whether and how the request may run at `now`.
    pub fn state(&self, now: SystemTime) -> QuarantineState {
        let mut times: Vec<SystemTime> =
            self.counted_crashes().filter(|at| is_recent(*at, now)).collect();
        times.sort_unstable();
        match times.last() {
            None => QuarantineState::Normal,
            Some(last) if times.len() >= MAX_CRASHES => {
                QuarantineState::Refused { until: *last + QUARANTINE_PERIOD }
            }
            Some(_) => QuarantineState::Alone,
        }
    }

    fn counted_crashes(&self) -> impl Iterator<Item = SystemTime> {
        let counted = self.crashes.iter().filter(|(crash, _)| !self.excused.contains(*crash));
        counted.map(|(_, at)| *at)
    }

    fn is_expired(&self, now: SystemTime) -> bool {
        self.crashes.values().all(|at| !is_recent(*at, now))
    }
}

fn is_recent(at: SystemTime, now: SystemTime) -> bool {
    now.duration_since(at).unwrap_or_default() < SUSPECT_PERIOD
}

/// Register of the suspects in one process.
#[derive(Clone, Debug, Default)]
pub struct QuarantineRegister {
    records: IndexMap<RequestFingerprint, SuspectRecord>,
}

impl QuarantineRegister {
    /// Records a crash for every request that was in flight, and returns the changed records, which
    /// are sent to the fleet.
    pub fn record_crash(
        &mut self,
        crash: CrashId,
        in_flight: &[RequestFingerprint],
        now: SystemTime,
    ) -> Vec<(RequestFingerprint, SuspectRecord)> {
        self.expire(now);
        let change =
            SuspectRecord { crashes: IndexMap::from([(crash, now)]), excused: IndexSet::new() };
        let suspects: IndexSet<RequestFingerprint> = in_flight.iter().copied().collect();
        suspects.into_iter().map(|suspect| (suspect, self.merge(suspect, &change))).collect()
    }

    /// Records that a request ran alone without a crash. Returns the changed record if the request
    /// was a suspect.
    pub fn record_completion(&mut self, fingerprint: RequestFingerprint) -> Option<SuspectRecord> {
        let record = self.records.get_mut(&fingerprint)?;
        let crashes: Vec<CrashId> = record.crashes.keys().copied().collect();
        record.excused.extend(crashes);
        Some(record.clone())
    }

    /// Merges a record from another process and returns the result.
    pub fn merge(
        &mut self,
        fingerprint: RequestFingerprint,
        record: &SuspectRecord,
    ) -> SuspectRecord {
        if !self.records.contains_key(&fingerprint) && self.records.len() >= MAX_SUSPECTS {
            self.records.shift_remove_index(0);
        }
        let merged = self.records.entry(fingerprint).or_default();
        merged.merge(record);
        merged.clone()
    }

    /// Returns whether and how a request may run at `now`.
    pub fn state(&self, fingerprint: RequestFingerprint, now: SystemTime) -> QuarantineState {
        let record = self.records.get(&fingerprint);
        record.map_or(QuarantineState::Normal, |record| record.state(now))
    }

    /// Returns the record of a fingerprint.
    pub fn record(&self, fingerprint: RequestFingerprint) -> Option<&SuspectRecord> {
        self.records.get(&fingerprint)
    }

    /// Iterates over all records.
    pub fn records(&self) -> impl Iterator<Item = (RequestFingerprint, &SuspectRecord)> {
        self.records.iter().map(|(fingerprint, record)| (*fingerprint, record))
    }

    /// Removes records whose crashes are all older than [`SUSPECT_PERIOD`].
    pub fn expire(&mut self, now: SystemTime) {
        self.records.retain(|_, record| !record.is_expired(now));
    }
}
