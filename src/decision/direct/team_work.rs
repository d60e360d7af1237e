//! Work that each team asked this router for, and what became of it.

use derive_more::AddAssign;
use indexmap::IndexMap;

use super::call::{BudgetCharge, CallDecision, PendingCall};
use crate::ids::TeamId;

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
}

impl WorkCount {
    /// Returns the work of all calls.
    pub fn asked(&self) -> f64 {
        self.sent + self.refused + self.shed
    }

    /// Returns the work of the calls that were not sent.
    pub fn turned_away(&self) -> f64 {
        self.refused + self.shed
    }
}

/// Work by team since it was last taken.
#[derive(Clone, Debug, Default)]
pub struct TeamWork {
    counts: IndexMap<TeamId, WorkCount>,
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
        self.add(team, count);
    }

    /// Counts work, by team, of calls that were refused before they reached the dispatcher.
    pub fn record_shed(&mut self, shed: &IndexMap<TeamId, f64>) {
        for (team, work) in shed {
            self.add(team, WorkCount { shed: *work, ..WorkCount::default() });
        }
    }

    fn add(&mut self, team: &TeamId, count: WorkCount) {
        *self.counts.entry(TeamId::clone(team)).or_default() += count;
    }

    /// Returns the counts of all teams and starts anew.
    pub fn take(&mut self) -> IndexMap<TeamId, WorkCount> {
        std::mem::take(&mut self.counts)
    }
}
