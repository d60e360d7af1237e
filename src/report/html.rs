//! Renders the report as a self-contained HTML file.

use std::fmt::Write;

use super::document::{BurnEntry, BurnReport, LatencyCounts, ObjectiveReport};
use crate::decision::burn_rate::{
    BurnState, EventCount, FAST_BURN_RATE, HISTORY_BUCKETS, SLOW_BURN_RATE,
};

/// Maximum number of entries with plots; the table lists all entries.
const MAX_PLOTTED_ENTRIES: usize = 20;

/// Width of a plot in pixels.
const PLOT_WIDTH: f64 = 430.0;
/// Height of a plot in pixels.
const PLOT_HEIGHT: f64 = 130.0;

/// Margin for the axis labels of a plot in pixels.
const LABEL_MARGIN: f64 = 34.0;

/// Style sheet of the page.
const STYLE: &str = "body{font:14px sans-serif;margin:2em;color:#222}\
table{border-collapse:collapse}td,th{padding:.25em .7em;text-align:right;border-bottom:1px solid #ddd}\
td.name,th.name{text-align:left}.fast-burn{background:#f8d0cc}.slow-burn{background:#fbeac2}\
section{margin-top:1.5em}svg{margin-right:1em}text{font:10px sans-serif;fill:#555}";

/// Renders the page.
pub fn render_html(report: &BurnReport) -> String {
    let mut page = String::new();
    // Writing to a string cannot fail.
    let _ = write_page(&mut page, report);
    page
}

fn write_page(page: &mut String, report: &BurnReport) -> std::fmt::Result {
    writeln!(page, "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">")?;
    writeln!(page, "<title>Service-level burn report</title><style>{STYLE}</style></head><body>")?;
    writeln!(page, "<h1>Service-level burn report</h1><p>Routers:")?;
    for router in &report.routers {
        writeln!(page, "{} (counts of {} s);", escape(&router.node), router.watched_s)?;
    }
    writeln!(
        page,
        "entries forgotten by routers: {}, not listed: {}.</p>",
        report.evicted, report.left_out
    )?;
    writeln!(page, "<table><tr><th class=\"name\">Team</th><th class=\"name\">Service</th>")?;
    writeln!(page, "<th class=\"name\">Route</th><th class=\"name\">Objective</th>")?;
    writeln!(page, "<th>Target</th><th>Limit</th><th>State</th><th>Burn 1 h</th>")?;
    writeln!(page, "<th>Burn 6 h</th><th>Budget left</th><th>Events 1 h</th></tr>")?;
    for entry in &report.entries {
        for objective in &entry.objectives {
            write_row(page, entry, objective)?;
        }
    }
    writeln!(page, "</table>")?;
    for entry in report.entries.iter().take(MAX_PLOTTED_ENTRIES) {
        write_plots(page, entry)?;
    }
    writeln!(page, "</body></html>")
}

fn write_row(
    page: &mut String,
    entry: &BurnEntry,
    objective: &ObjectiveReport,
) -> std::fmt::Result {
    writeln!(
        page,
        "<tr class=\"{}\"><td class=\"name\">{}</td><td class=\"name\">{}</td>\
         <td class=\"name\">{}</td><td class=\"name\">{}</td><td>{:.2}%</td><td>{}</td>\
         <td>{}</td><td>{:.1}</td><td>{:.1}</td><td>{:.0}%</td><td>{}</td></tr>",
        objective.state,
        escape(&entry.team),
        escape(&entry.service),
        escape(&entry.route),
        objective.objective,
        objective.target * 100.0,
        objective.limit_ms.map_or("-".to_owned(), |limit| format!("{limit:.0} ms")),
        objective.state,
        objective.burn_rate_hour,
        objective.burn_rate_six_hours,
        objective.budget_left * 100.0,
        objective.windows.hour.total,
    )
}

fn write_plots(page: &mut String, entry: &BurnEntry) -> std::fmt::Result {
    let (team, service) = (escape(&entry.team), escape(&entry.service));
    writeln!(page, "<section><h2>{team}: {service}{}</h2>", escape(&entry.route))?;
    if let Some(worst) = entry.worst_objective() {
        write_history(page, worst)?;
    }
    write_distribution(page, "time to the first token", &entry.first_token)?;
    write_distribution(page, "time between tokens", &entry.between_tokens)?;
    writeln!(page, "</section>")
}

/// Writes a bar chart of the burn rate in intervals of 5 minutes, oldest first, with the alert
/// thresholds as lines.
fn write_history(page: &mut String, objective: &ObjectiveReport) -> std::fmt::Result {
    let rate = |count: &EventCount| count.burn_rate(objective.target);
    let highest = objective.history.iter().map(rate).fold(FAST_BURN_RATE * 1.2, f64::max);
    begin_plot(page, &format!("burn rate of {}, last 6 h", objective.objective))?;
    let (width, height) = (PLOT_WIDTH - LABEL_MARGIN, PLOT_HEIGHT - LABEL_MARGIN);
    let step = width / HISTORY_BUCKETS as f64;
    for (age, count) in objective.history.iter().enumerate().filter(|(_, count)| count.total > 0) {
        let bar = (height * rate(count) / highest).max(0.5);
        writeln!(
            page,
            "<rect x=\"{:.1}\" y=\"{:.1}\" width=\"{:.1}\" height=\"{bar:.1}\" fill=\"#4878a8\"/>",
            PLOT_WIDTH - step * (age + 1) as f64,
            LABEL_MARGIN / 2.0 + height - bar,
            step * 0.9,
        )?;
    }
    for (level, name) in
        [(FAST_BURN_RATE, BurnState::FastBurn), (SLOW_BURN_RATE, BurnState::SlowBurn)]
    {
        let y = LABEL_MARGIN / 2.0 + height * (1.0 - level / highest);
        writeln!(
            page,
            "<line x1=\"{LABEL_MARGIN}\" x2=\"{PLOT_WIDTH}\" y1=\"{y:.1}\" y2=\"{y:.1}\" \
             stroke=\"#c04030\" stroke-dasharray=\"4 3\"><title>{name}</title></line>\
             <text x=\"2\" y=\"{:.1}\">{level}</text>",
            y + 3.0,
        )?;
    }
    writeln!(page, "</svg>")
}

/// Writes the cumulative distribution of a latency, on a logarithmic axis.
fn write_distribution(page: &mut String, title: &str, latency: &LatencyCounts) -> std::fmt::Result {
    /// Decades of the axis, from 1 ms to 100 s.
    const DECADES: f64 = 5.0;
    let total: u64 = latency.counts.iter().map(|(_, count)| count).sum();
    if total == 0 {
        return Ok(());
    }
    let quantile = |share| latency.quantile(share).unwrap_or_default();
    let title = format!("{title}: p50 {} ms, p95 {} ms, n {total}", quantile(0.5), quantile(0.95));
    begin_plot(page, &title)?;
    let (width, height) = (PLOT_WIDTH - LABEL_MARGIN, PLOT_HEIGHT - LABEL_MARGIN);
    let x = |ms: u64| LABEL_MARGIN + width * (ms.max(1) as f64).log10() / DECADES;
    let y = |share: f64| LABEL_MARGIN / 2.0 + height * (1.0 - share);
    let mut points = format!("{LABEL_MARGIN:.1},{:.1}", y(0.0));
    let mut cumulative = 0;
    for (ms, count) in &latency.counts {
        let before = cumulative as f64 / total as f64;
        cumulative += count;
        write!(points, " {:.1},{:.1}", x(*ms), y(before))?;
        write!(points, " {:.1},{:.1}", x(*ms), y(cumulative as f64 / total as f64))?;
    }
    writeln!(page, "<polyline points=\"{points}\" fill=\"none\" stroke=\"#4878a8\"/>")?;
    for (ms, label) in [(1, "1 ms"), (10, "10"), (100, "100"), (1000, "1 s"), (10_000, "10 s")] {
        let place = x(ms);
        writeln!(page, "<text x=\"{place:.1}\" y=\"{:.1}\">{label}</text>", PLOT_HEIGHT - 5.0)?;
    }
    writeln!(page, "</svg>")
}

/// Writes the opening tag and the title of a plot.
fn begin_plot(page: &mut String, title: &str) -> std::fmt::Result {
    let title = escape(title);
    writeln!(
        page,
        "<svg width=\"{PLOT_WIDTH}\" height=\"{PLOT_HEIGHT}\" role=\"img\" aria-label=\"{title}\">\
         <text x=\"{LABEL_MARGIN}\" y=\"10\">{title}</text>"
    )
}

/// Escapes text for use in HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
