//! Work that each team asked this router for, and what became of it.

use derive_more::AddAssign;
use indexmap::IndexMap;

use crate::ids::TeamId;

/// Work of one team's calls, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, AddAssign)]
pub struct ServiceCount {
    /// Calls that were sent to an upstream.
    pub sent: f64,
    /// Calls that were refused because no upstream had capacity in time, or for another reason of
    /// the dispatcher.
    pub refused: f64,
    /// Calls that were refused before they reached the dispatcher, because the router was
    /// overloaded.
    pub shed: f64,
}

impl ServiceCount {
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
pub struct TeamService {
    counts: IndexMap<TeamId, ServiceCount>,
}

impl TeamService {
    /// Adds work to a team's count.
    pub fn add(&mut self, team: &TeamId, count: ServiceCount) {
        *self.counts.entry(TeamId::clone(team)).or_default() += count;
    }

    /// Returns the counts of all teams and starts anew.
    pub fn take(&mut self) -> IndexMap<TeamId, ServiceCount> {
        std::mem::take(&mut self.counts)
    }
}
