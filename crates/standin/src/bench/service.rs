//! Service that teams received over time.

use std::time::Duration;

use indexmap::IndexMap;
use serde_json::Value;

use crate::ids::TeamName;

/// Cumulative service of all teams since the start of the upstreams, at one time.
#[derive(Clone, Debug, Default)]
pub struct ServiceSample {
    /// Time since the start of the sampling.
    pub at: Duration,
    /// Tokens of engines (prompts and completions) or slot milliseconds of plain services.
    pub service: IndexMap<TeamName, f64>,
    /// Time for which slots of engines were in use, in milliseconds, summed over the slots.
    pub busy_slot_ms: f64,
}

impl ServiceSample {
    /// Adds up the counters of several upstreams.
    pub fn from_counters(at: Duration, counters: &[Value]) -> Self {
        let mut sample = Self { at, ..Self::default() };
        for upstream in counters {
            sample.busy_slot_ms += upstream["busy-slot-ms"].as_f64().unwrap_or(0.0);
            for (team, counts) in upstream["by-team"].as_object().into_iter().flatten() {
                let fields = ["prompt-tokens", "completion-tokens", "slot-ms"];
                let service: f64 = fields.iter().filter_map(|field| counts[field].as_f64()).sum();
                *sample.service.entry(team.as_str().into()).or_default() += service;
            }
        }
        sample
    }

    fn team_service(&self, team: &str) -> f64 {
        self.service.get(team).copied().unwrap_or(0.0)
    }
}

/// Service samples in the order in which they were taken.
#[derive(Clone, Debug, Default)]
pub struct ServiceSeries {
    samples: Vec<ServiceSample>,
}

impl ServiceSeries {
    /// Appends a sample that is later than all others.
    pub fn push(&mut self, sample: ServiceSample) {
        self.samples.push(sample);
    }

    /// Returns the samples that were taken from `from` to `to`, both included.
    pub fn between(&self, from: Duration, to: Duration) -> Self {
        let within = |sample: &&ServiceSample| sample.at >= from && sample.at <= to;
        Self { samples: self.samples.iter().filter(within).cloned().collect() }
    }

    /// Returns all samples.
    pub fn samples(&self) -> &[ServiceSample] {
        &self.samples
    }

    /// Returns the time between the first and the last sample.
    pub fn duration(&self) -> Duration {
        match (self.samples.first(), self.samples.last()) {
            (Some(first), Some(last)) => last.at.saturating_sub(first.at),
            _ => Duration::ZERO,
        }
    }

    /// Returns the service that a team received between the first and the last sample.
    pub fn service(&self, team: &str) -> f64 {
        match (self.samples.first(), self.samples.last()) {
            (Some(first), Some(last)) => last.team_service(team) - first.team_service(team),
            _ => 0.0,
        }
    }

    /// Returns the share of `slots` that was in use between the first and the last sample.
    pub fn utilisation(&self, slots: u64) -> f64 {
        match (self.samples.first(), self.samples.last()) {
            (Some(first), Some(last)) if last.at > first.at => {
                let available = self.duration().as_secs_f64() * 1000.0 * slots as f64;
                (last.busy_slot_ms - first.busy_slot_ms) / available
            }
            _ => 0.0,
        }
    }

    /// Returns, for each sample, the largest difference between two teams in service per share
    /// since the first sample. Only meaningful for teams that are backlogged throughout.
    pub fn gaps(&self, shares: &IndexMap<String, f64>) -> Vec<(Duration, f64)> {
        let Some(first) = self.samples.first() else { return Vec::new() };
        let gap = |sample: &ServiceSample| {
            let normalised = || {
                shares.iter().map(|(team, share)| {
                    (sample.team_service(team) - first.team_service(team)) / share
                })
            };
            let highest = normalised().fold(f64::NEG_INFINITY, f64::max);
            let lowest = normalised().fold(f64::INFINITY, f64::min);
            (sample.at, (highest - lowest).max(0.0))
        };
        self.samples.iter().map(gap).collect()
    }

    /// Returns the lowest ratio, over all teams and all windows of length `window`, of the service
    /// that a team received to its fair portion of the total; 1 is exactly fair. Only meaningful
    /// for teams that are backlogged throughout. `None` when the samples cover no whole window.
    pub fn lowest_portion(&self, shares: &IndexMap<String, f64>, window: Duration) -> Option<f64> {
        let total_share: f64 = shares.values().sum();
        let mut lowest: Option<f64> = None;
        for (index, first) in self.samples.iter().enumerate() {
            let later = &self.samples[index..];
            let Some(last) = later.iter().find(|last| last.at >= first.at + window) else { break };
            let total: f64 =
                shares.keys().map(|team| last.team_service(team) - first.team_service(team)).sum();
            for (team, share) in shares {
                let fair = total * share / total_share;
                let portion = (last.team_service(team) - first.team_service(team)) / fair;
                lowest = Some(lowest.map_or(portion, |lowest| lowest.min(portion)));
            }
        }
        lowest
    }
}
