//! Recent use of the fleet by each team.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::TeamId;

/// Time in which a team's recorded use falls to half.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Use below which a team is forgotten, in tokens.
const FORGOTTEN_USE: f64 = 1.0;

/// Use that teams may have together when they get `work_rate` tokens a second for long.
fn steady_use(work_rate: f64) -> f64 {
    work_rate * HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2
}

/// Use up to which teams are owed service, and the use of those beyond it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OwedLevel {
    /// Level of the max-min fair division of what all upstreams do, by the uses of all teams.
    pub level: f64,
    /// Mean use of the teams beyond the level.
    pub mean_beyond: f64,
}

impl Default for OwedLevel {
    /// Every team is owed all that it asks.
    fn default() -> Self {
        Self { level: f64::INFINITY, mean_beyond: f64::INFINITY }
    }
}

impl OwedLevel {
    /// Divides what all upstreams do in a second among teams with the given uses.
    pub fn new(uses: Vec<f64>, work_rate: f64) -> Self {
        let level = max_min_level(&uses, work_rate);
        let beyond: Vec<f64> = uses.into_iter().filter(|used| *used > level).collect();
        if beyond.is_empty() {
            return Self::default();
        }
        Self { level, mean_beyond: beyond.iter().sum::<f64>() / beyond.len() as f64 }
    }

    /// 1 for a team within the level, less the farther its use is beyond it and beyond the use of
    /// the other teams there.
    pub fn owed_part(&self, team_use: f64) -> f64 {
        if team_use <= self.level {
            return 1.0;
        }
        (self.level / team_use).sqrt() * (self.mean_beyond / team_use).min(1.0)
    }
}

fn max_min_level(uses: &[f64], work_rate: f64) -> f64 {
    let mut uses = uses.to_vec();
    uses.sort_by(f64::total_cmp);
    let mut left = steady_use(work_rate);
    let mut teams = uses.len();
    for used in uses {
        let part = left / teams as f64;
        if used > part {
            return part;
        }
        left -= used;
        teams -= 1;
    }
    f64::INFINITY
}

/// Use of each team that fades with time, so that teams are compared over the last seconds.
#[derive(Clone, Debug, Default)]
pub struct TeamUse {
    uses: IndexMap<TeamId, FadingUse>,
}

#[derive(Clone, Copy, Debug)]
struct FadingUse {
    tokens: f64,
    at: Instant,
}

impl FadingUse {
    fn faded(&self, now: Instant) -> f64 {
        let age = now.duration_since(self.at).as_secs_f64();
        self.tokens * 0.5_f64.powf(age / HALF_LIFE.as_secs_f64())
    }
}

impl TeamUse {
    /// Adds work to a team's use.
    pub fn add(&mut self, team: &TeamId, tokens: f64, now: Instant) {
        let held = self.uses.get(team).map_or(0.0, |held| held.faded(now));
        self.uses.insert(TeamId::clone(team), FadingUse { tokens: held + tokens, at: now });
    }

    /// Recent use of a team in tokens.
    pub fn of(&self, team: &str, now: Instant) -> f64 {
        self.uses.get(team).map_or(0.0, |held| held.faded(now))
    }

    /// Lists the teams with recent use, and forgets the others.
    pub fn list(&mut self, now: Instant) -> Vec<(TeamId, f64)> {
        self.uses.retain(|_, held| held.faded(now) >= FORGOTTEN_USE);
        self.uses.iter().map(|(team, held)| (TeamId::clone(team), held.faded(now))).collect()
    }

    /// Names of the teams with recorded use.
    pub fn names(&self) -> impl Iterator<Item = &TeamId> {
        self.uses.keys()
    }

    /// Replaces all uses, as received from a peer at `now`.
    pub fn replace(&mut self, uses: &[(TeamId, f64)], now: Instant) {
        self.uses = uses
            .iter()
            .map(|(team, tokens)| (TeamId::clone(team), FadingUse { tokens: *tokens, at: now }))
            .collect();
    }
}
