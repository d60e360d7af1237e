//! Summary that the demo prints at its end.

use std::fmt;
use std::sync::atomic::Ordering;

use serde::Serialize;

use super::fleet::{DemoFleet, ENGINE_SLOTS, TOKENS_PER_SECOND};
use super::load::{LoadReport, MAX_REQUEST_TOKENS};

/// Results of one team.
#[derive(Debug, Serialize)]
struct TeamSummary {
    team: String,
    share: f64,
    tokens: u64,
    tokens_per_share: f64,
    answers: u64,
    refusals: u64,
    failures: u64,
}

/// Results of the demo.
#[derive(Debug, Serialize)]
pub struct DemoSummary {
    seconds: f64,
    teams: Vec<TeamSummary>,
    /// Largest difference in tokens per share between two teams, in multiples of the largest
    /// request.
    fairness_gap: f64,
    /// Part of the engines' token rate that reached callers.
    utilisation: f64,
    refusals: u64,
    failures: u64,
    /// Bytes per second that the busiest daemon spends on the account exchange.
    control_bytes_per_second: f64,
}

impl DemoSummary {
    /// Computes the summary. `exchange_bytes` are the bytes that the busiest daemon spent on the
    /// account exchange during the load.
    pub fn new(fleet: &DemoFleet, report: &LoadReport, exchange_bytes: u64) -> Self {
        let seconds = report.elapsed.as_secs_f64();
        let teams: Vec<TeamSummary> = report
            .teams
            .iter()
            .zip(&report.tokens)
            .map(|(team, tokens)| TeamSummary {
                team: team.id.clone(),
                share: team.share,
                tokens: *tokens,
                tokens_per_share: *tokens as f64 / team.share,
                answers: team.counters.answers.load(Ordering::Relaxed),
                refusals: team.counters.refusals.load(Ordering::Relaxed),
                failures: team.counters.failures.load(Ordering::Relaxed),
            })
            .collect();
        let per_share = teams.iter().map(|team| team.tokens_per_share);
        let highest = per_share.clone().fold(f64::MIN, f64::max);
        let lowest = per_share.fold(f64::MAX, f64::min);
        let capacity = fleet.engine_count as f64 * ENGINE_SLOTS as f64 * TOKENS_PER_SECOND;
        let tokens: u64 = report.tokens.iter().sum();
        Self {
            seconds,
            fairness_gap: (highest - lowest) / MAX_REQUEST_TOKENS as f64,
            utilisation: tokens as f64 / (capacity * seconds),
            refusals: teams.iter().map(|team| team.refusals).sum(),
            failures: teams.iter().map(|team| team.failures).sum(),
            control_bytes_per_second: exchange_bytes as f64 / seconds,
            teams,
        }
    }
}

impl fmt::Display for DemoSummary {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter)?;
        writeln!(
            formatter,
            "{:<24}{:>7}{:>10}{:>14}{:>9}{:>10}{:>10}",
            "team", "share", "tokens", "tokens/share", "answers", "refusals", "failures"
        )?;
        for team in &self.teams {
            writeln!(
                formatter,
                "{:<24}{:>7}{:>10}{:>14.0}{:>9}{:>10}{:>10}",
                team.team,
                team.share,
                team.tokens,
                team.tokens_per_share,
                team.answers,
                team.refusals,
                team.failures
            )?;
        }
        writeln!(formatter)?;
        writeln!(formatter, "fairness gap     {:.1} largest requests", self.fairness_gap)?;
        writeln!(formatter, "utilisation      {:.1} %", self.utilisation * 100.0)?;
        writeln!(formatter, "refusals         {}", self.refusals)?;
        writeln!(formatter, "failures         {}", self.failures)?;
        let control = self.control_bytes_per_second;
        write!(formatter, "control traffic  {control:.0} B/s at the busiest daemon")
    }
}
