//! Evidence of the whole fleet about parts of prompts under which upstreams crash.
//!
//! A crash speaks against every shared part of the calls that it broke, and most of these parts are
//! innocent. A part is cleared of all crashes before a call with it was answered. Of the parts that
//! are left, the one with the most crashes is the cause of all of its crashes, so these no longer
//! speak against other parts.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use crate::decision::quarantine::CrashId;
use crate::ids::PromptPartId;

/// Crashes at different moments after which a part counts as their cause, if no call with it has
/// been answered.
const CRASH_LIMIT: usize = 3;

/// The same for a part with which a call was answered earlier.
const KNOWN_PART_CRASH_LIMIT: usize = 5;

/// Least time between two crashes that count apart: upstreams that lose power together break the
/// same sound calls.
const CRASH_SPACING: Duration = Duration::from_millis(100);

/// A crash that broke a call with a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSighting {
    /// The crash.
    pub crash: CrashId,
    /// Time since the crash.
    pub age: Duration,
}

/// What a router knows of one part, as sent to its peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PartReport {
    /// The part.
    pub part: PromptPartId,
    /// Crashes that broke calls with the part.
    pub crashes: Vec<CrashSighting>,
    /// Time since a call with the part was last answered in full.
    pub answered: Option<Duration>,
}

/// A report of a peer and when it arrived.
#[derive(Clone, Copy, Debug)]
pub struct ReceivedPart<'a> {
    /// Arrival of the report.
    pub at: Instant,
    /// The report.
    pub report: &'a PartReport,
}

/// Crashes that broke calls with one part, and when such a call was last answered.
#[derive(Clone, Debug, Default)]
struct PartEvidence {
    crashes: IndexMap<CrashId, Instant>,
    answered: Option<Instant>,
}

/// A part that counts as the cause of crashes.
#[derive(Clone, Debug)]
pub(super) struct PoisonPart {
    /// Identifier of the part.
    pub(super) id: PromptPartId,
    /// Its crashes in order.
    pub(super) crashes: IndexMap<CrashId, Instant>,
    /// Parts that the evidence does not tell apart from this one.
    pub(super) rivals: Vec<PromptPartId>,
}

/// Evidence about all parts.
#[derive(Clone, Debug, Default)]
pub(super) struct FleetEvidence {
    parts: IndexMap<PromptPartId, PartEvidence>,
}

impl FleetEvidence {
    /// Adds a report; crashes that are older than `retention` are left out.
    pub(super) fn add(&mut self, received: ReceivedPart<'_>, retention: Duration, now: Instant) {
        let ReceivedPart { at, report } = received;
        let evidence = self.parts.entry(report.part).or_default();
        for sighting in &report.crashes {
            let Some(crashed_at) = at.checked_sub(sighting.age) else { continue };
            if now.saturating_duration_since(crashed_at) < retention {
                let earliest = evidence.crashes.entry(sighting.crash).or_insert(crashed_at);
                *earliest = crashed_at.min(*earliest);
            }
        }
        let answered = report.answered.and_then(|age| at.checked_sub(age));
        evidence.answered = answered.max(evidence.answered);
    }

    /// Adds when calls with the parts were last answered at this router.
    pub(super) fn add_answers(&mut self, answered: &IndexMap<PromptPartId, Instant>) {
        for (part, evidence) in &mut self.parts {
            evidence.answered = answered.get(part).copied().max(evidence.answered);
        }
    }

    /// Returns the number of crashes of each part, also of those that an answer cleared.
    pub(super) fn crash_counts(&self) -> IndexMap<PromptPartId, usize> {
        self.parts
            .iter()
            .map(|(part, evidence)| (*part, evidence.crashes.len()))
            .filter(|(_, crashes)| *crashes > 0)
            .collect()
    }

    /// Returns whether a call with the part was answered after `crashed_at`.
    pub(super) fn is_cleared(&self, part: PromptPartId, crashed_at: Instant) -> bool {
        let answered = self.parts.get(&part).and_then(|evidence| evidence.answered);
        answered.is_some_and(|answered| answered >= crashed_at)
    }

    /// Returns the parts that count as the cause of crashes, the one with the most crashes first.
    pub(super) fn poison_parts(&self) -> Vec<PoisonPart> {
        let mut explained: IndexSet<CrashId> = IndexSet::new();
        let mut parts: Vec<PoisonPart> = Vec::new();
        loop {
            let next = self.most_suspect(&explained);
            if next.is_empty() {
                return parts;
            }
            explained.extend(next.iter().flat_map(|part| part.crashes.keys()));
            parts.extend(next);
        }
    }

    /// Returns the parts with the most crashes that no other part explains, if these are enough. Of
    /// two with as many, one with which no call was answered lately is more suspect; parts that the
    /// evidence does not tell apart are returned together.
    fn most_suspect(&self, explained: &IndexSet<CrashId>) -> Vec<PoisonPart> {
        let ranked: Vec<(SuspicionRank, PromptPartId, &PartEvidence)> = self
            .parts
            .iter()
            .map(|(part, evidence)| (evidence.rank(explained), *part, evidence))
            .filter(|(rank, _, evidence)| rank.moments >= evidence.crash_limit())
            .collect();
        let highest = ranked.iter().map(|(rank, ..)| *rank).max();
        let is_highest = |rank: &SuspicionRank| Some(*rank) == highest;
        let group: Vec<PromptPartId> =
            ranked.iter().filter(|(rank, ..)| is_highest(rank)).map(|(_, part, _)| *part).collect();
        ranked
            .into_iter()
            .filter(|(rank, ..)| is_highest(rank))
            .map(|(_, part, evidence)| evidence.poison_part(part, &group))
            .collect()
    }
}

/// How suspect a part is; the greatest value is the most suspect one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SuspicionRank {
    moments: usize,
    crashes: usize,
    is_unanswered: bool,
}

impl PartEvidence {
    fn crash_limit(&self) -> usize {
        if self.answered.is_none() { CRASH_LIMIT } else { KNOWN_PART_CRASH_LIMIT }
    }

    fn rank(&self, explained: &IndexSet<CrashId>) -> SuspicionRank {
        SuspicionRank {
            moments: self.moments(explained),
            crashes: self.open_crashes().count(),
            is_unanswered: self.answered.is_none(),
        }
    }

    /// Returns the part with its crashes; `group` are the parts with the same rank.
    fn poison_part(&self, id: PromptPartId, group: &[PromptPartId]) -> PoisonPart {
        let mut crashes: IndexMap<CrashId, Instant> = self.open_crashes().collect();
        crashes.sort_by(|_, left, _, right| left.cmp(right));
        let rivals = group.iter().copied().filter(|rival| *rival != id).collect();
        PoisonPart { id, crashes, rivals }
    }

    /// Returns the crashes since the last answer.
    fn open_crashes(&self) -> impl Iterator<Item = (CrashId, Instant)> {
        self.crashes
            .iter()
            .map(|(crash, at)| (*crash, *at))
            .filter(|(_, at)| self.answered.is_none_or(|answered| *at > answered))
    }

    /// Counts the moments of crashes since the last answer, without those that are explained.
    fn moments(&self, explained: &IndexSet<CrashId>) -> usize {
        let mut times: Vec<Instant> = self
            .open_crashes()
            .filter(|(crash, _)| !explained.contains(crash))
            .map(|(_, at)| at)
            .collect();
        times.sort_unstable();
        let mut last: Option<Instant> = None;
        times.retain(|at| {
            let is_apart = last.is_none_or(|last| at.duration_since(last) >= CRASH_SPACING);
            if is_apart {
                last = Some(*at);
            }
            is_apart
        });
        times.len()
    }
}
