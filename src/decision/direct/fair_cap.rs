//! Bound on the demand of a single team that engines are ordered for.

use super::team_usage::{TeamDemand, max_min_level};

/// Work per second up to which a team's demand counts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct FairCap(f64);

impl FairCap {
    /// Computes the cap from the demand of all teams, in work per second.
    ///
    /// It is the max-min fair level of the work rate that the teams divide. A team whose demand is
    /// within an equal part of what the maximum of engines does (`maximum_rate`) is not limited
    /// either: if all teams ask for more than the work rate, engines are ordered for all of them.
    /// Without a known work rate no team is limited.
    pub(super) fn new(totals: &[f64], work_rate: Option<f64>, maximum_rate: Option<f64>) -> Self {
        let Some(work_rate) = work_rate else { return Self(f64::INFINITY) };
        let demands: Vec<TeamDemand> =
            totals.iter().map(|total| TeamDemand { usage: *total, refused: 0.0 }).collect();
        let active = totals.iter().filter(|total| **total > 0.0).count();
        let equal_part = maximum_rate.unwrap_or_default() / active.max(1) as f64;
        Self(max_min_level(&demands, work_rate).max(equal_part))
    }

    /// Returns the fraction of a team's demand that counts.
    pub(super) fn owed_fraction(self, total: f64) -> f64 {
        if total <= self.0 { 1.0 } else { self.0 / total }
    }
}
