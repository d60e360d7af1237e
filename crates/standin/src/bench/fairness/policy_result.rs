//! Results of a fairness scenario under one policy.

use std::time::Duration;

use serde_json::{Value, json};

use super::setup::FairnessSetup;
use super::usage::UsageRates;
use crate::bench::service::ServiceSeries;
use crate::load::LoadReport;

/// Length of the windows over which a team's portion is measured.
const PORTION_WINDOW: Duration = Duration::from_secs(10);

/// Observations other than the service of the teams.
pub(super) struct RunObservations {
    /// Time from a fault to the end of its recovery, in which the gap may exceed its bound.
    pub(super) disturbed: Option<(Duration, Duration)>,
    /// Utilisation of the slots when callers load the engines directly.
    pub(super) ideal: f64,
    /// Longest time for which an engine had an idle slot.
    pub(super) idle: Duration,
    /// Traffic and processor time of the control threads.
    pub(super) usage: UsageRates,
}

/// Results of one policy; gaps are in largest requests per share.
pub(super) struct PolicyResult {
    pub(super) policy: String,
    pub(super) gaps: Vec<(f64, f64)>,
    fairness_gap: f64,
    disturbed_gap: f64,
    late_gap: f64,
    gap_bound: f64,
    lowest_portion: Option<f64>,
    utilisation: f64,
    over_cold: u64,
    crashes: u64,
    observations: RunObservations,
    calls: LoadReport,
}

impl PolicyResult {
    pub(super) fn new(
        policy: &str,
        setup: &FairnessSetup,
        series: &ServiceSeries,
        observations: RunObservations,
        engines: Vec<Value>,
        calls: LoadReport,
    ) -> Self {
        let requests = setup.largest_request();
        let gaps: Vec<(Duration, f64)> =
            series.gaps(&setup.shares).into_iter().map(|(at, gap)| (at, gap / requests)).collect();
        let disturbed = |at: Duration| {
            observations.disturbed.is_some_and(|(from, until)| at >= from && at < until)
        };
        let largest_gap = |selected: &dyn Fn(Duration) -> bool| {
            gaps.iter().filter(|(at, _)| selected(*at)).map(|(_, gap)| *gap).fold(0.0, f64::max)
        };
        let late = series.duration() * 2 / 3;
        let count = |name: &str| engines.iter().filter_map(|engine| engine[name].as_u64()).sum();
        Self {
            policy: policy.to_owned(),
            fairness_gap: largest_gap(&|at| !disturbed(at)),
            disturbed_gap: largest_gap(&disturbed),
            late_gap: largest_gap(&|at| at >= late),
            gap_bound: setup.gap_bound(),
            lowest_portion: lowest_portion(setup, series, observations.disturbed),
            utilisation: series.utilisation(setup.slots()),
            over_cold: count("over-cold-events"),
            crashes: count("crashes"),
            gaps: gaps.into_iter().map(|(at, gap)| (at.as_secs_f64(), gap)).collect(),
            observations,
            calls,
        }
    }

    pub(super) fn to_json(&self) -> Value {
        let usage = self.observations.usage;
        json!({
            "policy": self.policy,
            "fairness_gap": self.fairness_gap,
            "disturbed_gap": self.disturbed_gap,
            "late_gap": self.late_gap,
            "gap_bound": self.gap_bound,
            "least_portion": self.lowest_portion,
            "utilisation": self.utilisation,
            "utilisation_of_ideal": self.utilisation / self.observations.ideal,
            "longest_idle_ms": self.observations.idle.as_millis() as u64,
            "control_bytes_per_second": { "mean": usage.mean_bytes, "most": usage.max_bytes },
            "control_cpu_share": { "mean": usage.mean_cpu, "most": usage.max_cpu },
            "over_cold_events": self.over_cold,
            "crashes": self.crashes,
            "answered": self.calls.answered,
            "refused": self.calls.refused,
            "failed": self.calls.failed,
            "examples": self.calls.examples.iter().take(5).collect::<Vec<_>>(),
        })
    }

    pub(super) fn cells(&self) -> Vec<String> {
        let usage = self.observations.usage;
        let portion = self.lowest_portion;
        vec![
            self.policy.clone(),
            format!("{:.1}", self.fairness_gap),
            format!("{:.0}", self.gap_bound),
            format!("{:.1}", self.late_gap),
            portion.map_or("not measured".to_owned(), |portion| format!("{portion:.3}")),
            format!("{:.3}", self.utilisation),
            format!("{:.3}", self.utilisation / self.observations.ideal),
            self.observations.idle.as_millis().to_string(),
            format!("{:.0}", usage.max_bytes),
            format!("{:.4}", usage.max_cpu),
            self.over_cold.to_string(),
            self.calls.answered.to_string(),
            self.calls.refused.to_string(),
            self.calls.failed.to_string(),
        ]
    }
}

/// Returns the lowest portion of a team in any 10 s outside of the disturbed time.
fn lowest_portion(
    setup: &FairnessSetup,
    series: &ServiceSeries,
    disturbed: Option<(Duration, Duration)>,
) -> Option<f64> {
    let parts = match disturbed {
        None => vec![series.clone()],
        Some((from, until)) => {
            vec![series.between(Duration::ZERO, from), series.between(until, Duration::MAX)]
        }
    };
    let portions =
        parts.iter().filter_map(|part| part.lowest_portion(&setup.shares, PORTION_WINDOW));
    portions.reduce(f64::min)
}
