//! What the teams got and asked for lately at all routers, and the fair level between them.

use std::time::Instant;

use indexmap::{IndexMap, IndexSet};

use super::peers::{PeerReport, PeerTable};
use super::team_usage::{FairLevel, TeamDemand, TeamUsage};
use crate::ids::TeamId;

/// Recent demand of the teams, as far as one router knows it.
#[derive(Debug, Default)]
pub(super) struct FleetDemand {
    usage: TeamUsage,
    refused: TeamUsage,
    peers: IndexMap<TeamId, TeamDemand>,
    work_rate: Option<f64>,
    level: FairLevel,
}

impl FleetDemand {
    /// Sets the work that all upstreams are stated to do, in tokens per second.
    pub(super) fn set_work_rate(&mut self, work_rate: Option<f64>) {
        self.work_rate = work_rate;
    }

    /// Returns the work that all upstreams are stated to do, in tokens per second.
    pub(super) fn work_rate(&self) -> Option<f64> {
        self.work_rate
    }

    /// Adds work that this router sent to an upstream; negative for work that was not done.
    pub(super) fn record_sent(&mut self, team: &TeamId, tokens: f64, now: Instant) {
        self.usage.record(team, tokens, now);
    }

    /// Adds work that this router refused for lack of capacity.
    pub(super) fn record_refused(&mut self, team: &TeamId, tokens: f64, now: Instant) {
        self.refused.record(team, tokens, now);
    }

    /// Recomputes what depends on the age of the peers' reports.
    pub(super) fn refresh(&mut self, peers: &PeerTable, now: Instant) {
        self.peers = peers.team_demands(now);
        self.level = self
            .work_rate
            .map_or_else(FairLevel::default, |rate| FairLevel::new(&self.demands(now), rate));
    }

    /// Returns the max-min fair level of the teams' usage.
    pub(super) fn level(&self) -> FairLevel {
        self.level
    }

    /// Returns the recent usage of a team at all routers.
    pub(super) fn usage_of(&self, team: &str, now: Instant) -> f64 {
        let peers = self.peers.get(team).copied().unwrap_or_default();
        self.usage.usage_of(team, now) + peers.usage
    }

    /// Fills a report with the demand at this router.
    pub(super) fn fill_report(&mut self, report: &mut PeerReport, now: Instant) {
        report.teams = self.usage.recent(now);
        report.refused = self.refused.recent(now);
    }

    fn demands(&self, now: Instant) -> Vec<TeamDemand> {
        let own = self.usage.names().chain(self.refused.names());
        let names: IndexSet<&TeamId> = own.chain(self.peers.keys()).collect();
        names
            .into_iter()
            .map(|team| {
                let mut demand = self.peers.get(team).copied().unwrap_or_default();
                demand.usage += self.usage.usage_of(team, now);
                demand.refused += self.refused.usage_of(team, now);
                demand
            })
            .collect()
    }
}
