//! Scenario `steady`: backlogged teams share engines; service per team and utilisation.

use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use eyre::ensure;
use indexmap::IndexMap;
use serde_json::json;

use super::options::BenchOptions;
use super::plot::{PlotChart, PlotLine};
use super::progress::ProgressLine;
use super::report::{BenchReport, ReportTable};
use super::sampler::ServiceSampler;
use super::service::ServiceSeries;
use crate::fleet::{CheckedCall, FleetPlan, RunningFleet};
use crate::load::{CallTarget, ClosedLoad, LoadReport};

/// Time before the first sample, so that every team is backlogged by then.
const WARM_UP: Duration = Duration::from_secs(1);

/// Length of the windows over which a team's portion is measured.
const PORTION_WINDOW: Duration = Duration::from_secs(10);

/// Options of the scenario.
#[derive(Clone, Debug, Bpaf)]
pub struct SteadyScenario {
    /// Teams; team number n has the share n
    #[bpaf(long, argument("N"), fallback(2), display_fallback)]
    teams: u32,
    /// Callers of each team
    #[bpaf(long, argument("N"), fallback(32), display_fallback)]
    callers: u64,
    /// Routers
    #[bpaf(long, argument("N"), fallback(2), display_fallback)]
    routers: usize,
    /// Engines
    #[bpaf(long, argument("N"), fallback(3), display_fallback)]
    engines: usize,
    /// Slots of each engine
    #[bpaf(long, argument("N"), fallback(4), display_fallback)]
    slots: u64,
    /// Largest number of tokens in a completion
    #[bpaf(long, argument("N"), fallback(64), display_fallback)]
    max_tokens: u64,
}

/// Runs the scenario.
pub(super) async fn run(
    scenario: &SteadyScenario,
    options: &BenchOptions,
) -> eyre::Result<BenchReport> {
    ensure!(scenario.teams >= 1 && scenario.callers >= 1, "--teams, --callers: must be at least 1");
    let shares: IndexMap<String, f64> =
        (1..=scenario.teams).map(|team| (format!("team-{team}"), f64::from(team))).collect();
    let plan = FleetPlan {
        routers: scenario.routers,
        engines: scenario.engines,
        plain_services: 0,
        engine_slots: scenario.slots,
        teams: shares.clone(),
        engine_arguments: vec!["--seed".to_owned(), options.seed.to_string()],
        ..FleetPlan::new("bench-steady", options.find_programs()?)
    };
    let fleet = RunningFleet::start(plan).await?;
    let loads = start_loads(scenario, options, &fleet, &shares)?;
    let engines: Vec<String> = (1..=scenario.engines).map(|n| format!("engine-{n}")).collect();
    tokio::time::sleep(WARM_UP).await;
    let sampler = ServiceSampler::start(&fleet, &engines)?;
    let mut progress = ProgressLine::default();
    for second in 0..options.load_duration().as_secs() {
        let answered: u64 = loads.values().map(ClosedLoad::answered).sum();
        progress.update(&format!("{second} s: {answered} calls answered"));
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    progress.finish();
    let series = sampler.close().await?;
    let mut reports = IndexMap::new();
    for (team, load) in loads {
        reports.insert(team, load.close().await);
    }
    fleet.close().await?;
    Ok(report(scenario, options, &shares, &series, &reports))
}

fn start_loads(
    scenario: &SteadyScenario,
    options: &BenchOptions,
    fleet: &RunningFleet,
    shares: &IndexMap<String, f64>,
) -> eyre::Result<IndexMap<String, ClosedLoad>> {
    let balancer = Arc::new(fleet.balancer()?);
    let (seed, max_tokens) = (options.seed, scenario.max_tokens);
    let loads = shares.keys().map(|team| {
        let name = team.clone();
        let source = Arc::new(move |number| {
            CheckedCall::completion(&name, &format!("{seed} {name} {number}"), max_tokens)
        });
        let target = CallTarget::Routers(Arc::clone(&balancer));
        (team.clone(), ClosedLoad::start(target, scenario.callers, source))
    });
    Ok(loads.collect())
}

fn report(
    scenario: &SteadyScenario,
    options: &BenchOptions,
    shares: &IndexMap<String, f64>,
    series: &ServiceSeries,
    reports: &IndexMap<String, LoadReport>,
) -> BenchReport {
    let slots = scenario.engines as u64 * scenario.slots;
    let utilisation = series.utilisation(slots);
    let gaps = series.gaps(shares);
    let largest_gap = gaps.iter().map(|(_, gap)| *gap).fold(0.0, f64::max);
    let lowest_portion = series.lowest_portion(shares, PORTION_WINDOW);
    let mut table = ReportTable::new(
        "Service of each team (tokens)",
        &["team", "share", "service", "service per share", "answered", "refused", "failed"],
    );
    for (team, share) in shares {
        let service = series.service(team);
        let Some(load) = reports.get(team) else { continue };
        table.add_row([
            team.clone(),
            share.to_string(),
            format!("{service:.0}"),
            format!("{:.0}", service / share),
            load.answered.to_string(),
            load.refused.to_string(),
            load.failed.to_string(),
        ]);
    }
    let mut summary = ReportTable::new("Whole fleet", &["figure", "value"]);
    summary.add_row(["slots in use".to_owned(), format!("{:.1} %", utilisation * 100.0)]);
    summary.add_row(["largest gap in service per share".to_owned(), format!("{largest_gap:.0}")]);
    let portion = lowest_portion.map_or("not measured".to_owned(), |lowest| format!("{lowest:.3}"));
    summary.add_row(["lowest part of the fair portion in 10 s".to_owned(), portion]);
    BenchReport {
        scenario: "steady".to_owned(),
        seed: options.seed,
        seconds: options.seconds,
        figures: json!({
            "utilisation": utilisation,
            "largest-gap": largest_gap,
            "lowest-portion": lowest_portion,
            "service": shares.keys().map(|team| (team.clone(), json!(series.service(team))))
                .collect::<serde_json::Map<_, _>>(),
        }),
        tables: vec![table, summary],
        chart: chart(shares, series),
    }
}

fn chart(shares: &IndexMap<String, f64>, series: &ServiceSeries) -> PlotChart {
    let first = series.samples().first().cloned().unwrap_or_default();
    let lines = shares.iter().map(|(team, share)| {
        let points = series.samples().iter().map(|sample| {
            let service = |sample: &super::ServiceSample| {
                sample.service.get(team.as_str()).copied().unwrap_or(0.0)
            };
            (sample.at.as_secs_f64(), (service(sample) - service(&first)) / share)
        });
        PlotLine { name: team.clone(), points: points.collect() }
    });
    PlotChart {
        title: "Service per share".to_owned(),
        x_label: "s".to_owned(),
        y_label: "tokens per share".to_owned(),
        lines: lines.collect(),
    }
}
