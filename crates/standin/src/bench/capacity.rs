//! Scenario `capacity`: cost of the control work by role, and its growth with each factor.

use bpaf::Bpaf;
use eyre::WrapErr;
use serde::Serialize;
use serde_json::json;

use super::options::BenchOptions;
use super::plot::{PlotChart, PlotLine};
use super::progress::ProgressLine;
use super::report::{BenchReport, ReportTable};
use crate::capacity::{
    CapacityFactor, LineFit, PointResult, RoleResult, capacity_grid, fit_line, measure_point,
};

/// Factors in the order of the report's tables.
const FACTORS: [CapacityFactor; 4] = [
    CapacityFactor::Teams,
    CapacityFactor::Upstreams,
    CapacityFactor::Routers,
    CapacityFactor::Rate,
];

/// Options of the scenario; the duration of the load applies to each point.
#[derive(Clone, Debug, Bpaf)]
pub struct CapacityScenario {
    /// Number of runs over all points
    #[bpaf(long, argument("N"), fallback(3), display_fallback)]
    runs: u64,
}

/// Result of one grid point in one run.
#[derive(Clone, Debug, Serialize)]
struct CapacityRow {
    run: u64,
    factor: CapacityFactor,
    #[serde(flatten)]
    result: PointResult,
}

/// Name of a value that is fitted against the factors, and how to read it from a result.
type FittedValue = (&'static str, fn(&PointResult) -> f64);

const FITTED_VALUES: [FittedValue; 8] = [
    ("router control, % of a core", |result| result.router.control_percent),
    ("router process, % of a core", |result| result.router.process_percent),
    ("router memory, MB", |result| result.router.resident_mb),
    ("router control messages sent, B/s", |result| result.router.control_bytes),
    ("agent control, % of a core", |result| result.agent.control_percent),
    ("agent process, % of a core", |result| result.agent.process_percent),
    ("agent memory, MB", |result| result.agent.resident_mb),
    ("agent control messages sent, B/s", |result| result.agent.control_bytes),
];

/// Runs the scenario.
pub(super) async fn run(
    scenario: &CapacityScenario,
    options: &BenchOptions,
) -> eyre::Result<BenchReport> {
    let programs = options.find_programs()?;
    let mut progress = ProgressLine::default();
    let mut rows = Vec::new();
    for run in 1..=scenario.runs {
        for (factor, point) in capacity_grid() {
            progress.update(&format!("run {run}: {factor} {}", point.value(factor)));
            let seed = options.seed + run;
            let result = measure_point(&programs, point, options.load_duration(), seed).await;
            let result = result.wrap_err_with(|| format!("run {run}, {point:?}"))?;
            rows.push(CapacityRow { run, factor, result });
        }
    }
    progress.finish();
    Ok(BenchReport {
        scenario: "capacity".to_owned(),
        seed: options.seed,
        seconds: options.seconds,
        figures: json!(rows),
        tables: vec![point_table(&rows), message_table(&rows), line_table(&rows)],
        chart: chart(&rows),
    })
}

/// Lists the median, smallest and largest value over the runs of each point.
fn point_table(rows: &[CapacityRow]) -> ReportTable {
    let mut columns = vec!["factor", "value", "answered", "failed"];
    columns.extend(FITTED_VALUES.map(|(name, _)| name));
    let mut table = ReportTable::new("Points: median (smallest to largest run)", &columns);
    for (factor, point) in capacity_grid() {
        let same = |row: &&CapacityRow| row.factor == factor && row.result.point == point;
        let runs: Vec<&PointResult> = rows.iter().filter(same).map(|row| &row.result).collect();
        let sum = |pick: fn(&PointResult) -> u64| {
            runs.iter().map(|result| pick(result)).sum::<u64>().to_string()
        };
        let spread = FITTED_VALUES.map(|(_, pick)| {
            let mut values: Vec<f64> = runs.iter().map(|result| pick(result)).collect();
            values.sort_unstable_by(f64::total_cmp);
            let value = |index: usize| values.get(index).copied().unwrap_or(f64::NAN);
            let last = values.len().saturating_sub(1);
            format!("{:.2} ({:.2} to {:.2})", value(last / 2), value(0), value(last))
        });
        let head = [
            factor.to_string(),
            point.value(factor).to_string(),
            sum(|result| result.load.answered),
            sum(|result| result.load.failed),
        ];
        table.add_row(head.into_iter().chain(spread));
    }
    table
}

/// Lists the message rates of the first run.
fn message_table(rows: &[CapacityRow]) -> ReportTable {
    let columns = ["factor", "value", "role", "message", "calls/s", "B/s"];
    let mut table = ReportTable::new("Messages that one process sends, first run", &columns);
    for row in rows.iter().filter(|row| row.run == 1) {
        let value = row.result.point.value(row.factor).to_string();
        let mut add = |role: &str, result: &RoleResult| {
            for (message, calls) in &result.calls {
                let bytes = result.bytes.get(message).copied().unwrap_or_default();
                let (calls, bytes) = (format!("{calls:.2}"), format!("{bytes:.0}"));
                let head = [row.factor.to_string(), value.clone(), role.to_owned()];
                table.add_row(head.into_iter().chain([message.clone(), calls, bytes]));
            }
        };
        add("router", &row.result.router);
        add("agent", &row.result.agent);
        for (prefix, reads) in &row.result.platform_reads {
            let writes = row.result.platform_writes.get(prefix).copied().unwrap_or_default();
            let (reads, writes) = (format!("reads {reads:.2}"), format!("writes {writes:.2}"));
            let head = [row.factor.to_string(), value.clone(), "platform".to_owned()];
            table.add_row(head.into_iter().chain([prefix.clone(), reads, writes]));
        }
    }
    table
}

/// Lists the fitted lines of each run separately, so that their spread is visible.
fn line_table(rows: &[CapacityRow]) -> ReportTable {
    let columns = ["value", "factor", "at 0", "for each unit", "explained"];
    let mut table = ReportTable::new("Lines, one for each run", &columns);
    let runs = rows.iter().map(|row| row.run).max().unwrap_or_default();
    for (name, pick) in FITTED_VALUES {
        for factor in FACTORS {
            let fits: Vec<LineFit> = (1..=runs)
                .filter_map(|run| fit_line(&fit_points(rows, run, factor, pick)))
                .collect();
            let join = |pick: fn(&LineFit) -> f64| {
                let texts = fits.iter().map(|fit| format!("{:.4}", pick(fit)));
                texts.collect::<Vec<_>>().join(" / ")
            };
            table.add_row([
                name.to_owned(),
                factor.to_string(),
                join(|fit| fit.base),
                join(|fit| fit.slope),
                join(|fit| fit.explained),
            ]);
        }
    }
    table
}

fn fit_points(
    rows: &[CapacityRow],
    run: u64,
    factor: CapacityFactor,
    pick: fn(&PointResult) -> f64,
) -> Vec<(f64, f64)> {
    let selected = rows.iter().filter(|row| row.run == run && row.factor == factor);
    selected.map(|row| (row.result.point.value(factor), pick(&row.result))).collect()
}

fn chart(rows: &[CapacityRow]) -> PlotChart {
    let line = |role: &str, pick: fn(&PointResult) -> f64| PlotLine {
        name: format!("{role}, control thread"),
        points: fit_points(rows, 1, CapacityFactor::Rate, pick),
    };
    PlotChart {
        title: "Processor time by rate, first run".to_owned(),
        x_label: "requests a second".to_owned(),
        y_label: "% of a core".to_owned(),
        lines: vec![
            line("router", |result| result.router.control_percent),
            line("agent", |result| result.agent.control_percent),
        ],
    }
}
