//! Scenarios that measure fair shares and limits.
//!
//! Each scenario runs the same load with the same faults under each policy. Utilisation is
//! compared with that of engines that callers load directly.

mod faults;
mod idle;
mod policy_result;
mod setup;
mod usage;

use std::sync::Arc;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use eyre::ensure;
use serde_json::json;

use super::options::BenchOptions;
use super::plot::{PlotChart, PlotLine};
use super::progress::ProgressLine;
use super::report::{BenchReport, ReportTable};
use super::sampler::ServiceSampler;
use crate::fleet::{CheckedCall, RunningFleet};
use crate::load::{CallTarget, ClosedLoad, LoadReport};
use faults::FaultSchedule;
use idle::IdleSampler;
use policy_result::{PolicyResult, RunObservations};
use setup::FairnessSetup;
use usage::ControlUsage;

/// Time before the measurement, so that every team is backlogged and the engines are warm by then.
const WARM_UP: Duration = Duration::from_secs(4);

/// Longest measurement of directly loaded engines, whose utilisation is steady soon.
const MAX_IDEAL_DURATION: Duration = Duration::from_secs(8);

/// Fault or load pattern of a scenario.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FairnessKind {
    /// One team floods through one router.
    Flood,
    /// Teams reach disjoint routers.
    Uneven,
    /// Engines become cold without warning.
    Cold,
    /// A data centre is cut off for 20 s.
    Partition,
    /// A router and an account parent are restarted during a flood.
    Restart,
}

impl FairnessKind {
    fn name(self) -> &'static str {
        match self {
            Self::Flood => "flood",
            Self::Uneven => "uneven",
            Self::Cold => "cold",
            Self::Partition => "partition",
            Self::Restart => "restart",
        }
    }
}

/// Options of the fairness scenarios.
#[derive(Clone, Debug, Bpaf)]
pub struct FairnessScenario {
    /// Engines
    #[bpaf(long, argument("N"), fallback(20), display_fallback)]
    pub(super) engines: usize,
    /// Slots of each engine
    #[bpaf(long, argument("N"), fallback(4), display_fallback)]
    pub(super) slots: u64,
    /// Largest number of tokens in a completion
    #[bpaf(long, argument("N"), fallback(64), display_fallback)]
    pub(super) max_tokens: u64,
    /// Tokens per second of one slot
    #[bpaf(long, argument("N"), fallback(50.0), display_fallback)]
    pub(super) tokens_per_second: f64,
    /// Callers of the flooding team
    #[bpaf(long, argument("N"), fallback(200), display_fallback)]
    pub(super) flood_callers: u64,
    /// Policies to compare, separated by commas
    #[bpaf(long, argument("POLICIES"), fallback("fleet,local,fifo".to_owned()), display_fallback)]
    pub(super) policies: String,
}

/// Runs a scenario under each policy.
pub(super) async fn run(
    kind: FairnessKind,
    scenario: &FairnessScenario,
    options: &BenchOptions,
) -> eyre::Result<BenchReport> {
    ensure!(scenario.engines >= 3, "--engines: at least one for each of the 3 data centres");
    let setup = FairnessSetup::new(kind, scenario.clone());
    let mut progress = ProgressLine::default();
    let ideal = measure_ideal(&setup, options, &mut progress).await?;
    let mut runs = Vec::new();
    for policy in scenario.policies.split(',') {
        runs.push(run_policy(&setup, options, policy, ideal, &mut progress).await?);
    }
    progress.finish();
    Ok(report(kind, options, &runs))
}

/// Returns the utilisation of the slots when callers load the engines directly.
async fn measure_ideal(
    setup: &FairnessSetup,
    options: &BenchOptions,
    progress: &mut ProgressLine,
) -> eyre::Result<f64> {
    progress.update("engines alone");
    let fleet = RunningFleet::start(setup.plan(options, "fleet")?).await?;
    let mut loads = Vec::new();
    for engine in setup.engines() {
        let target = CallTarget::Upstream(fleet.upstream_address(&engine)?);
        let (seed, tokens) = (options.seed, setup.scenario.max_tokens);
        let source = Arc::new(move |number| {
            CheckedCall::completion("ideal", &format!("{seed} {engine} {number}"), tokens)
        });
        loads.push(ClosedLoad::start(target, setup.scenario.slots, source));
    }
    tokio::time::sleep(WARM_UP).await;
    let sampler = ServiceSampler::start(&fleet, &setup.engines())?;
    tokio::time::sleep(options.load_duration().min(MAX_IDEAL_DURATION)).await;
    let series = sampler.close().await?;
    loads.into_iter().for_each(ClosedLoad::abort);
    fleet.close().await?;
    Ok(series.utilisation(setup.slots()))
}

async fn run_policy(
    setup: &FairnessSetup,
    options: &BenchOptions,
    policy: &str,
    ideal: f64,
    progress: &mut ProgressLine,
) -> eyre::Result<PolicyResult> {
    progress.update(&format!("{}: policy {policy} starts", setup.kind.name()));
    let mut fleet = RunningFleet::start(setup.plan(options, policy)?).await?;
    let mut loads = setup.start_loads(&fleet, options)?;
    tokio::time::sleep(WARM_UP).await;
    let usage = ControlUsage::read(&fleet).await?;
    let sampler = ServiceSampler::start(&fleet, &setup.engines())?;
    let idle = IdleSampler::start(&fleet, setup)?;
    let mut faults = FaultSchedule::new(setup.kind, options.load_duration());
    let started = Instant::now();
    while started.elapsed() < options.load_duration() {
        let second = started.elapsed().as_secs();
        progress.update(&format!("{}: policy {policy}, {second} s", setup.kind.name()));
        if faults.inject_due(&mut fleet, setup, started.elapsed()).await? {
            // A restarted router has a new address, so the callers are started anew.
            loads.into_iter().for_each(ClosedLoad::abort);
            loads = setup.start_loads(&fleet, options)?;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let idle = idle.close().await?;
    let series = sampler.close().await?;
    let usage = ControlUsage::read(&fleet).await?.since(&usage);
    let mut calls = LoadReport::default();
    for load in loads {
        calls.merge(load.cancel().await);
    }
    let engines = setup.read_engines(&fleet).await?;
    fleet.close().await?;
    let observations = RunObservations { disturbed: faults.disturbed(), ideal, idle, usage };
    Ok(PolicyResult::new(policy, setup, &series, observations, engines, calls))
}

fn report(kind: FairnessKind, options: &BenchOptions, runs: &[PolicyResult]) -> BenchReport {
    let columns = [
        "policy",
        "gap",
        "bound",
        "gap in last third",
        "least portion",
        "utilisation",
        "of ideal",
        "longest idle ms",
        "bytes/s most",
        "control CPU most",
        "over cold",
        "answered",
        "refused",
        "failed",
    ];
    let title = "Gap and bound in largest requests per share";
    let mut table = ReportTable::new(title, &columns);
    for run in runs {
        table.add_row(run.cells());
    }
    let line = |run: &PolicyResult| PlotLine { name: run.policy.clone(), points: run.gaps.clone() };
    BenchReport {
        scenario: kind.name().to_owned(),
        seed: options.seed,
        seconds: options.seconds,
        figures: json!({ "runs": runs.iter().map(PolicyResult::to_json).collect::<Vec<_>>() }),
        tables: vec![table],
        chart: PlotChart {
            title: format!("Gap under {}", kind.name()),
            x_label: "s".to_owned(),
            y_label: "largest requests per share".to_owned(),
            lines: runs.iter().map(line).collect(),
        },
    }
}
