//! Measures the cost of control at one point of the grid.

use std::time::Duration;

use eyre::OptionExt;
use indexmap::IndexMap;
use serde::Serialize;
use serde_json::Value;
use tokio::time::Instant;

use super::grid::CapacityPoint;
use super::load::{LoadCounts, run_load};
use super::process_reading::ProcessReading;
use super::statsd::{MetricReceiver, MetricTotals};
use crate::fleet::{FleetPlan, FleetPrograms, NodeKind, RunningFleet};

/// Time before the measurement, in which connections are opened and the limits and the account
/// tree settle.
const WARM_UP: Duration = Duration::from_secs(3);

/// Messages whose rate is proportional to the requests; all others count as control messages.
const REQUEST_MESSAGES: [&str; 7] = [
    "/peer/offer",
    "/peer/withdraw",
    "/peer/fetch",
    "/peer/answer",
    "/peer/acknowledge",
    "/peer/cancel",
    "/peer/notice",
];

/// Results of one role; all values but the number of processes are means for one process.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct RoleResult {
    /// Number of processes.
    pub processes: usize,
    /// Processor time of the control thread, in percent of a core.
    pub control_percent: f64,
    /// Processor time of the busiest control thread, in percent of a core.
    pub control_percent_most: f64,
    /// Processor time of the whole process, in percent of a core.
    pub process_percent: f64,
    /// Resident memory in MB at the end of the measurement.
    pub resident_mb: f64,
    /// Messages sent per second, by message.
    pub calls: IndexMap<String, f64>,
    /// Bytes per second of these messages and their replies, by message.
    pub bytes: IndexMap<String, f64>,
    /// Bytes per second of the control messages that the process sends, with their replies. On
    /// average over all processes, it receives as many again.
    pub control_bytes: f64,
}

/// Result of one point.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct PointResult {
    /// Size of the fleet and its load.
    pub point: CapacityPoint,
    /// Requests of the load, including those of the warm-up.
    pub load: LoadCounts,
    /// Results of the routers.
    pub router: RoleResult,
    /// Results of the agents.
    pub agent: RoleResult,
    /// Reads from the table service per second, by first segment of the key.
    pub platform_reads: IndexMap<String, f64>,
    /// Writes to the table service per second, by first segment of the key.
    pub platform_writes: IndexMap<String, f64>,
}

/// Starts the fleet of a point, loads it and measures for `duration` after the warm-up.
pub async fn measure_point(
    programs: &FleetPrograms,
    point: CapacityPoint,
    duration: Duration,
    seed: u64,
) -> eyre::Result<PointResult> {
    let receiver = MetricReceiver::start().await?;
    let metrics = format!("[metrics]\nstatsd = \"{}\"\n", receiver.address());
    let teams: Vec<String> = (1..=point.teams).map(|number| format!("team-{number}")).collect();
    let plan = FleetPlan {
        routers: point.routers,
        engines: point.upstreams,
        plain_services: 0,
        teams: teams.iter().map(|team| (team.clone(), 1.0)).collect(),
        engine_arguments: ["--tokens-per-second", "1000"].map(str::to_owned).to_vec(),
        router_settings: metrics.clone(),
        agent_settings: metrics,
        ..FleetPlan::new("capacity", programs.clone())
    };
    let fleet = RunningFleet::start(plan).await?;
    let load = run_load(fleet.caller_addresses()?, teams, point.rate, WARM_UP + duration, seed);
    let load = tokio::spawn(load);
    tokio::time::sleep(WARM_UP).await;
    let (started, before) = (Instant::now(), read_processes(&fleet)?);
    let store_before = read_store(&fleet).await?;
    receiver.take();
    tokio::time::sleep(duration).await;
    let (elapsed, after) = (started.elapsed(), read_processes(&fleet)?);
    let totals = receiver.take();
    let store_after = read_store(&fleet).await?;
    let load = load.await?;
    let role = |router: bool| {
        let selected = |node: &&crate::fleet::FleetNode| (node.kind == NodeKind::Router) == router;
        let names: Vec<String> = fleet.nodes().filter(selected).map(|n| n.name.clone()).collect();
        role_result(&names, &before, &after, &totals, elapsed)
    };
    let result = PointResult {
        point,
        load,
        router: role(true),
        agent: role(false),
        platform_reads: store_rates(&store_before, &store_after, &["reads", "scans"], elapsed),
        platform_writes: store_rates(&store_before, &store_after, &["writes"], elapsed),
    };
    fleet.close().await?;
    Ok(result)
}

type ReadingsByNode = IndexMap<String, ProcessReading>;

fn read_processes(fleet: &RunningFleet) -> eyre::Result<ReadingsByNode> {
    fleet
        .nodes()
        .map(|node| {
            let id = node.process.id().ok_or_eyre(format!("{} has exited", node.name))?;
            Ok((node.name.clone(), ProcessReading::read(id)?))
        })
        .collect()
}

async fn read_store(fleet: &RunningFleet) -> eyre::Result<Value> {
    fleet.client().get_json(fleet.platform_address()?, "/control/counters").await
}

fn role_result(
    names: &[String],
    before: &ReadingsByNode,
    after: &ReadingsByNode,
    totals: &MetricTotals,
    elapsed: Duration,
) -> RoleResult {
    let count = names.len().max(1) as f64;
    let seconds = elapsed.as_secs_f64();
    let used = |name: &String, pick: fn(&ProcessReading) -> Duration| {
        let read = |readings: &ReadingsByNode| readings.get(name).map(pick).unwrap_or_default();
        read(after).saturating_sub(read(before)).as_secs_f64() / seconds * 100.0
    };
    let mean = |values: &[f64]| values.iter().sum::<f64>() / count;
    let control: Vec<f64> = names.iter().map(|name| used(name, |r| r.control)).collect();
    let process: Vec<f64> = names.iter().map(|name| used(name, |r| r.process)).collect();
    let resident = |name: &String| after.get(name).map_or(0.0, |r| r.resident as f64 / 1e6);
    let resident: Vec<f64> = names.iter().map(resident).collect();
    let by_message = |sums: &IndexMap<(String, String), u64>| {
        let mut rates: IndexMap<String, f64> = IndexMap::new();
        for ((node, message), sum) in sums {
            if names.contains(node) {
                *rates.entry(message.clone()).or_default() += *sum as f64 / seconds / count;
            }
        }
        rates.sort_unstable_keys();
        rates
    };
    let bytes = by_message(&totals.bytes);
    let control_messages =
        bytes.iter().filter(|(message, _)| !REQUEST_MESSAGES.contains(&message.as_str()));
    RoleResult {
        processes: names.len(),
        control_percent: mean(&control),
        control_percent_most: control.iter().copied().fold(0.0, f64::max),
        process_percent: mean(&process),
        resident_mb: mean(&resident),
        calls: by_message(&totals.calls),
        control_bytes: control_messages.fold(0.0, |sum, (_, rate)| sum + rate),
        bytes,
    }
}

fn store_rates(
    before: &Value,
    after: &Value,
    kinds: &[&str],
    elapsed: Duration,
) -> IndexMap<String, f64> {
    let sum = |counters: &Value, prefix: &str| -> f64 {
        let counts = &counters["by-prefix"][prefix];
        kinds.iter().filter_map(|kind| counts[*kind].as_f64()).sum()
    };
    let prefixes = after["by-prefix"].as_object().into_iter().flatten();
    let rates = prefixes.map(|(prefix, _)| {
        let rate = (sum(after, prefix) - sum(before, prefix)) / elapsed.as_secs_f64();
        (prefix.clone(), rate)
    });
    rates.filter(|(_, rate)| *rate > 0.0).collect()
}
