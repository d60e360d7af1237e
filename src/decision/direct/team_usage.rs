//! Recent usage of the fleet by each team, and the max-min fair level between them.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::TeamId;

/// Half-life of the recorded usage.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Usage below which a team is no longer tracked, in tokens.
const MIN_TRACKED_USAGE: f64 = 1.0;

/// Total decayed usage of all teams when they receive `work_rate` tokens per second continuously.
fn steady_usage(work_rate: f64) -> f64 {
    work_rate * HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2
}

/// What a team got lately and what it asked for, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TeamDemand {
    /// Recent usage.
    pub usage: f64,
    /// Recent work of its calls for which no upstream had capacity in time.
    pub refused: f64,
}

impl TeamDemand {
    fn total(self) -> f64 {
        self.usage + self.refused
    }
}

/// Max-min fair level of the teams' usage, and the mean usage above it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FairLevel {
    /// Usage up to which every team gets all the service that it asks for.
    pub level: f64,
    /// Mean usage of the teams above the level.
    pub mean_above: f64,
}

impl Default for FairLevel {
    /// Without a known work rate, no team is limited.
    fn default() -> Self {
        Self { level: f64::INFINITY, mean_above: f64::INFINITY }
    }
}

impl FairLevel {
    /// Computes the max-min fair division of `work_rate` tokens per second among teams.
    ///
    /// For some seconds after the teams' calls begin, their recent usage is less than the steady
    /// usage at `work_rate`. If calls are refused then, the upstreams do not bear more, and it is
    /// the recent usage that is divided.
    pub fn new(demands: &[TeamDemand], work_rate: f64) -> Self {
        let used: f64 = demands.iter().map(|demand| demand.usage).sum();
        let refused: f64 = demands.iter().map(|demand| demand.refused).sum();
        let steady = steady_usage(work_rate);
        let level = max_min_level(demands, if refused > 0.0 { used.min(steady) } else { steady });
        let above: Vec<f64> =
            demands.iter().map(|demand| demand.usage).filter(|usage| *usage > level).collect();
        if above.is_empty() {
            return Self::default();
        }
        Self { level, mean_above: above.iter().sum::<f64>() / above.len() as f64 }
    }

    /// Factor for a team's thresholds: 1 up to the level. Above it, the factor falls with the
    /// team's usage relative to the level and to the mean of the other teams above it.
    pub fn fair_fraction(&self, team_usage: f64) -> f64 {
        if team_usage <= self.level {
            return 1.0;
        }
        (self.level / team_usage).sqrt() * (self.mean_above / team_usage).min(1.0)
    }
}

/// Returns the max-min fair level of a division of `total` tokens.
pub(super) fn max_min_level(demands: &[TeamDemand], total: f64) -> f64 {
    let mut demands: Vec<f64> = demands.iter().map(|demand| demand.total()).collect();
    demands.sort_by(f64::total_cmp);
    let mut left = total;
    let mut teams = demands.len();
    for demand in demands {
        let share = left / teams as f64;
        if demand > share {
            return share;
        }
        left -= demand;
        teams -= 1;
    }
    f64::INFINITY
}

/// Exponentially decaying usage by team, so that teams are compared over the last seconds.
#[derive(Clone, Debug, Default)]
pub struct TeamUsage {
    usages: IndexMap<TeamId, DecayingUsage>,
}

#[derive(Clone, Copy, Debug)]
struct DecayingUsage {
    tokens: f64,
    at: Instant,
}

impl DecayingUsage {
    fn decayed(&self, now: Instant) -> f64 {
        let age = now.duration_since(self.at).as_secs_f64();
        self.tokens * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}

impl TeamUsage {
    /// Adds work, in tokens, to a team's usage.
    pub fn record(&mut self, team: &TeamId, tokens: f64, now: Instant) {
        let usage = self.usages.get(team).map_or(0.0, |usage| usage.decayed(now));
        self.usages.insert(TeamId::clone(team), DecayingUsage { tokens: usage + tokens, at: now });
    }

    /// Returns the recent usage of a team in tokens.
    pub fn usage_of(&self, team: &str, now: Instant) -> f64 {
        self.usages.get(team).map_or(0.0, |usage| usage.decayed(now))
    }

    /// Returns the teams with recent usage and drops the others.
    pub fn recent(&mut self, now: Instant) -> Vec<(TeamId, f64)> {
        self.usages.retain(|_, usage| usage.decayed(now) >= MIN_TRACKED_USAGE);
        self.usages.iter().map(|(team, usage)| (TeamId::clone(team), usage.decayed(now))).collect()
    }

    /// Names of the tracked teams.
    pub fn names(&self) -> impl Iterator<Item = &TeamId> {
        self.usages.keys()
    }

    /// Returns the usages that a peer reported at `now`.
    pub fn reported(usages: &[(TeamId, f64)], now: Instant) -> Self {
        let usages = usages
            .iter()
            .map(|(team, tokens)| (TeamId::clone(team), DecayingUsage { tokens: *tokens, at: now }))
            .collect();
        Self { usages }
    }
}
