//! Work that each team asked this router for, and what became of it.

use derive_more::AddAssign;
use indexmap::{IndexMap, IndexSet};

use super::call::{BudgetCharge, CallDecision, PendingCall};
use crate::ids::{CallFingerprint, TeamId};

/// Number of updates after which the calls of before are forgotten; callers that retry come back
/// within a few seconds.
const UPDATES_PER_GENERATION: u32 = 3;

/// Work of one team's calls, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, AddAssign)]
pub struct WorkCount {
    /// Calls that were sent to an upstream.
    pub sent: f64,
    /// Calls that were refused because no upstream had capacity in time, or for another reason of
    /// the dispatcher.
    pub refused: f64,
    /// Calls that were refused before they reached the dispatcher, because the router was
    /// overloaded.
    pub shed: f64,
    /// Calls among all of these that were retries of calls at this router.
    pub repeated: f64,
}

impl WorkCount {
    /// Returns the work of all calls.
    pub fn asked(&self) -> f64 {
        self.sent + self.refused + self.shed
    }

    /// Returns the work of the calls that were no retries, as far as this router can tell.
    pub fn asked_first(&self) -> f64 {
        self.asked() - self.repeated
    }

    /// Returns the work of the calls that were not sent.
    pub fn turned_away(&self) -> f64 {
        self.refused + self.shed
    }
}

/// A call that was refused because of overload.
#[derive(Clone, Debug, PartialEq)]
pub struct ShedCall {
    /// The caller's team.
    pub team: TeamId,
    /// Hash of path, key and body.
    pub fingerprint: CallFingerprint,
    /// Work of the call, in tokens.
    pub work: f64,
}

/// Work by team since it was last taken.
#[derive(Clone, Debug, Default)]
pub struct TeamWork {
    counts: IndexMap<TeamId, WorkCount>,
    recent: RecentCalls,
    largest: f64,
}

impl TeamWork {
    /// Counts a call by the first decision about it.
    pub(super) fn record_decision(&mut self, call: &PendingCall, decision: &CallDecision) {
        let (Some(team), BudgetCharge::First) = (&call.team, call.charge) else { return };
        let work = call.work();
        let count = match decision {
            CallDecision::Send(_) => WorkCount { sent: work, ..WorkCount::default() },
            CallDecision::Refuse { .. } => WorkCount { refused: work, ..WorkCount::default() },
        };
        self.add(team, call.fingerprint, count);
    }

    /// Counts calls that were refused before they reached the dispatcher.
    pub fn record_shed(&mut self, calls: &[ShedCall]) {
        for call in calls {
            let count = WorkCount { shed: call.work, ..WorkCount::default() };
            self.add(&call.team, call.fingerprint, count);
        }
    }

    fn add(&mut self, team: &TeamId, fingerprint: CallFingerprint, mut count: WorkCount) {
        self.largest = self.largest.max(count.asked());
        if !self.recent.insert(fingerprint) {
            count.repeated = count.asked();
        }
        *self.counts.entry(TeamId::clone(team)).or_default() += count;
    }

    /// Returns the work of the largest call so far, in tokens.
    pub fn largest(&self) -> f64 {
        self.largest
    }

    /// Returns the counts of all teams and starts anew; called once a second.
    pub fn take(&mut self) -> IndexMap<TeamId, WorkCount> {
        self.recent.age();
        std::mem::take(&mut self.counts)
    }
}

/// Fingerprints of the calls of the last seconds, in two generations.
#[derive(Clone, Debug, Default)]
struct RecentCalls {
    current: IndexSet<CallFingerprint>,
    previous: IndexSet<CallFingerprint>,
    updates: u32,
}

impl RecentCalls {
    /// Adds a call; returns whether it is new.
    fn insert(&mut self, fingerprint: CallFingerprint) -> bool {
        !self.previous.contains(&fingerprint) && self.current.insert(fingerprint)
    }

    /// Forgets the older generation after some updates.
    fn age(&mut self) {
        self.updates += 1;
        if self.updates >= UPDATES_PER_GENERATION {
            self.updates = 0;
            self.previous = std::mem::take(&mut self.current);
        }
    }
}
