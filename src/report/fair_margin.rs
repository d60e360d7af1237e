//! Margin by which each team got its fair share.
//!
//! In any six seconds, a team is due half of what it asked for or of what the best served team got,
//! whichever is less second by second, less three of the largest calls.

use indexmap::IndexMap;

use super::fleet_work::{FleetWork, TeamSeconds};
use crate::ids::TeamId;

/// Length of the windows in which teams are compared, in seconds.
pub const WINDOW_SECONDS: usize = 6;

/// Fraction of the demand that a team is due.
const DUE_FRACTION: f64 = 0.5;

/// Number of calls that a team may be short of.
const SPARE_CALLS: f64 = 3.0;

/// What a team was due and got in the window that begins with one second, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WindowMargin {
    /// Work that the team asked for.
    pub asked: f64,
    /// Work that the team got.
    pub got: f64,
    /// Work that it was due before the spare calls are taken off.
    pub due: f64,
    /// What it got beyond its due, as a fraction of the due: negative when it got too little.
    pub margin: f64,
}

/// Margins of all teams by the first second of the window.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FairMargins {
    /// Margins by team, the team with the least margin first.
    pub teams: IndexMap<TeamId, Vec<WindowMargin>>,
}

/// The least margin of a play.
#[derive(Clone, Debug, PartialEq)]
pub struct LeastMargin {
    /// The team.
    pub team: TeamId,
    /// First second of the window.
    pub second: usize,
    /// The margin.
    pub window: WindowMargin,
}

impl From<&FleetWork> for FairMargins {
    fn from(work: &FleetWork) -> Self {
        let best = best_served(work);
        let spare = SPARE_CALLS * work.largest;
        let mut teams: IndexMap<TeamId, Vec<WindowMargin>> = work
            .teams
            .iter()
            .map(|(team, seconds)| (TeamId::clone(team), team_margins(seconds, &best, spare)))
            .collect();
        teams.sort_by(|_, left, _, right| least_of(left).total_cmp(&least_of(right)));
        Self { teams }
    }
}

impl FairMargins {
    /// Returns the least margin; `None` without a whole window.
    pub fn least(&self) -> Option<LeastMargin> {
        let (team, windows) = self.teams.first()?;
        let least = windows
            .iter()
            .enumerate()
            .min_by(|(_, left), (_, right)| left.margin.total_cmp(&right.margin));
        let (second, window) = least?;
        Some(LeastMargin { team: TeamId::clone(team), second, window: *window })
    }
}

/// Returns what the best served team got in each second.
fn best_served(work: &FleetWork) -> Vec<f64> {
    (0..work.seconds)
        .map(|second| work.teams.values().map(|team| team.got[second]).fold(0.0, f64::max))
        .collect()
}

fn team_margins(team: &TeamSeconds, best: &[f64], spare: f64) -> Vec<WindowMargin> {
    let windows = (best.len() + 1).saturating_sub(WINDOW_SECONDS);
    (0..windows).map(|first| window_margin(team, best, spare, first)).collect()
}

fn window_margin(team: &TeamSeconds, best: &[f64], spare: f64, first: usize) -> WindowMargin {
    let window = first..first + WINDOW_SECONDS;
    let demand: f64 = window.clone().map(|second| team.asked[second].min(best[second])).sum();
    let due = DUE_FRACTION * demand;
    let asked = team.asked[window.clone()].iter().sum();
    let got: f64 = team.got[window].iter().sum();
    WindowMargin { asked, got, due, margin: (got - (due - spare)) / due.max(1.0) }
}

fn least_of(windows: &[WindowMargin]) -> f64 {
    windows.iter().map(|window| window.margin).fold(f64::INFINITY, f64::min)
}
