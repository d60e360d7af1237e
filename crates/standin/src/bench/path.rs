//! Scenario `path`: latency that the router and the agent add to calls of an upstream.

use std::sync::Arc;
use std::time::Duration;

use bpaf::Bpaf;
use eyre::ensure;
use serde_json::{Value, json};

use super::options::BenchOptions;
use super::plot::{PlotChart, PlotLine};
use super::progress::ProgressLine;
use super::report::{BenchReport, ReportTable};
use crate::client::HttpClient;
use crate::fleet::{CheckedCall, FleetPlan, RunningFleet};
use crate::load::{CallSource, CallTarget, LoadReport, OpenLoad};

/// Length of the alternating blocks of direct calls and calls through the fleet. Alternating
/// exposes both to the same noise of the machine.
const BLOCK_LENGTH: Duration = Duration::from_secs(1);

/// Duration of unmeasured calls before the first block, so that connections are open and caches
/// are filled on both paths.
const WARM_UP: Duration = Duration::from_secs(1);

/// Body size of the calls with an idempotency key.
const BODY_BYTES: usize = 4096;

/// Reported quantiles; the lowest shows the cost that is least affected by other work on the
/// machine.
const QUANTILES: [f64; 3] = [0.1, 0.5, 0.99];

/// Options of the scenario.
#[derive(Clone, Debug, Bpaf)]
pub struct PathScenario {
    /// Calls per second
    #[bpaf(long, argument("N"), fallback(200.0), display_fallback)]
    rate: f64,
    /// Repetitions, each with a new fleet
    #[bpaf(long, argument("N"), fallback(3), display_fallback)]
    repetitions: u64,
    /// Traffic threads of routers and agents; their default if left out
    #[bpaf(long, argument("N"))]
    traffic_threads: Option<u32>,
}

/// A kind of call whose latency is measured.
struct CallKind {
    name: &'static str,
    upstream: &'static str,
    source: CallSource,
}

/// Latencies of one kind of call in one repetition.
struct CallLatencies {
    kind: &'static str,
    repetition: u64,
    direct: LoadReport,
    through: LoadReport,
}

impl CallLatencies {
    /// Returns the latency of direct calls, of calls through the fleet, and their difference, at a
    /// quantile and in milliseconds.
    fn latencies(&self, quantile: f64) -> [f64; 3] {
        let [direct, through] = [&self.direct, &self.through]
            .map(|report| report.latency(quantile).as_secs_f64() * 1000.0);
        [direct, through, through - direct]
    }

    fn to_json(&self) -> Value {
        let [p10, p50, p99] = QUANTILES.map(|quantile| {
            let [direct, through, added] = self.latencies(quantile);
            json!({ "direct-ms": direct, "through-ms": through, "added-ms": added })
        });
        json!({
            "kind": self.kind, "repetition": self.repetition, "p10": p10, "p50": p50, "p99": p99,
            "calls": self.through.answered, "refused": self.through.refused,
            "failed": self.through.failed,
        })
    }
}

fn call_kinds(seed: u64) -> Vec<CallKind> {
    let body = "x".repeat(BODY_BYTES);
    vec![
        CallKind {
            name: "GET, 1 kB answer",
            upstream: "plain-1",
            source: Arc::new(|_| CheckedCall::blob("team-1", 1000)),
        },
        CallKind {
            name: "POST with key, 4 kB body",
            upstream: "plain-1",
            source: Arc::new(move |number| {
                CheckedCall::keyed("team-1", "/reserve", &format!("{seed}-{number}"), &body)
            }),
        },
        CallKind {
            name: "completion, 1 to 16 tokens",
            upstream: "engine-1",
            source: Arc::new(move |number| {
                CheckedCall::completion("team-1", &format!("{seed} {number}"), 16)
            }),
        },
    ]
}

/// Runs the scenario.
pub(super) async fn run(
    scenario: &PathScenario,
    options: &BenchOptions,
) -> eyre::Result<BenchReport> {
    ensure!(scenario.rate > 0.0 && scenario.rate <= 10_000.0, "--rate: must be 1 to 10000");
    let mut progress = ProgressLine::default();
    let mut results = Vec::new();
    for repetition in 1..=scenario.repetitions {
        let fleet = RunningFleet::start(path_plan(scenario, options)?).await?;
        for kind in call_kinds(options.seed) {
            progress.update(&format!("repetition {repetition}: {}", kind.name));
            results.push(measure_kind(scenario, options, &fleet, kind, repetition).await?);
        }
        fleet.close().await?;
    }
    progress.finish();
    Ok(report(scenario, options, &results))
}

fn path_plan(scenario: &PathScenario, options: &BenchOptions) -> eyre::Result<FleetPlan> {
    let threads = scenario.traffic_threads;
    let settings = threads.map_or(String::new(), |count| format!("[threads]\ntraffic = {count}"));
    // Each call with a key is a claim, which takes two writes to the table service. Both rate
    // limits are set above the load, so that neither affects the measured latency.
    let claims = (scenario.rate * 1.25).ceil() as u32;
    let agent_settings = format!("{settings}\n[limits]\nclaims-per-second = {claims}");
    let writes = (claims * 4).to_string();
    // More slots than concurrent calls, because waiting for a slot is not part of the latency that
    // is measured here.
    Ok(FleetPlan {
        engine_slots: 256,
        plain_slots: 256,
        platform_arguments: vec!["--writes-per-second".to_owned(), writes],
        router_settings: settings,
        agent_settings,
        engine_arguments: vec!["--tokens-per-second".to_owned(), "1000".to_owned()],
        ..FleetPlan::new("bench-path", options.find_programs()?)
    })
}

async fn measure_kind(
    scenario: &PathScenario,
    options: &BenchOptions,
    fleet: &RunningFleet,
    kind: CallKind,
    repetition: u64,
) -> eyre::Result<CallLatencies> {
    let load = |target| OpenLoad {
        target,
        client: HttpClient::default(),
        rate: scenario.rate,
        source: Arc::clone(&kind.source),
    };
    let direct_load = load(CallTarget::Upstream(fleet.upstream_address(kind.upstream)?));
    let through_load = load(CallTarget::Routers(Arc::new(fleet.balancer()?)));
    let (mut direct, mut through) = (LoadReport::default(), LoadReport::default());
    let mut next = 0;
    let block_calls = (BLOCK_LENGTH.max(WARM_UP).as_secs_f64() * scenario.rate).ceil() as u64;
    let mut run = async |load: &OpenLoad, duration| {
        let block = load.run(next, duration).await;
        next += block_calls;
        block
    };
    run(&direct_load, WARM_UP).await;
    run(&through_load, WARM_UP).await;
    for _ in 0..options.load_duration().as_secs() {
        direct.merge(run(&direct_load, BLOCK_LENGTH).await);
        through.merge(run(&through_load, BLOCK_LENGTH).await);
    }
    Ok(CallLatencies { kind: kind.name, repetition, direct, through })
}

fn report(
    scenario: &PathScenario,
    options: &BenchOptions,
    results: &[CallLatencies],
) -> BenchReport {
    let title = format!(
        "Latency in ms at {} calls a second, {} s on each way in blocks of 1 s",
        scenario.rate,
        options.load_duration().as_secs()
    );
    let columns = [
        "call",
        "run",
        "direct p10",
        "through p10",
        "added p10",
        "direct p50",
        "through p50",
        "added p50",
        "direct p99",
        "through p99",
        "added p99",
        "calls",
        "refused",
        "failed",
    ];
    let mut table = ReportTable::new(&title, &columns);
    for result in results {
        let latencies = QUANTILES.map(|quantile| result.latencies(quantile)).concat();
        let through = &result.through;
        let counts = [through.answered, through.refused, through.failed];
        let cells = [result.kind.to_owned(), result.repetition.to_string()]
            .into_iter()
            .chain(latencies.iter().map(|latency| format!("{latency:.2}")))
            .chain(counts.iter().map(ToString::to_string));
        table.add_row(cells);
    }
    for example in results.iter().flat_map(|result| &result.through.examples).take(5) {
        log::warn!("not answered: {example}");
    }
    BenchReport {
        scenario: "path".to_owned(),
        seed: options.seed,
        seconds: options.seconds,
        figures: results.iter().map(CallLatencies::to_json).collect(),
        tables: vec![table],
        chart: chart(results),
    }
}

fn chart(results: &[CallLatencies]) -> PlotChart {
    let first = results.iter().filter(|result| result.repetition == 1);
    let line = |name: String, report: &LoadReport| {
        let points = (1..100).map(|percent| {
            let latency = report.latency(f64::from(percent) / 100.0);
            (f64::from(percent), latency.as_secs_f64() * 1000.0)
        });
        PlotLine { name, points: points.collect() }
    };
    let lines = first.flat_map(|result| {
        [
            line(format!("{}: direct", result.kind), &result.direct),
            line(format!("{}: through", result.kind), &result.through),
        ]
    });
    PlotChart {
        title: "Latency by percentile, first repetition".to_owned(),
        x_label: "percentile".to_owned(),
        y_label: "ms".to_owned(),
        lines: lines.collect(),
    }
}
