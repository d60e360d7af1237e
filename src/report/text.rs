//! Renders the report as a table for terminals.

use std::fmt::Write;

use super::document::{BurnEntry, BurnReport};

/// Renders one row per entry with its worst objective, in the order of the report.
pub fn render_text(report: &BurnReport) -> String {
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = write_report(&mut text, report);
    text
}

fn write_report(text: &mut String, report: &BurnReport) -> std::fmt::Result {
    let routers = report.routers.iter();
    let routers: Vec<String> =
        routers.map(|router| format!("{} ({} s)", router.node, router.watched_s)).collect();
    writeln!(text, "routers: {}", routers.join(", "))?;
    if report.evicted + report.left_out > 0 {
        let (evicted, left_out) = (report.evicted, report.left_out);
        writeln!(text, "entries forgotten by routers: {evicted}, not listed: {left_out}")?;
    }
    writeln!(
        text,
        "{:<10} {:<24} {:<12} {:<20} {:<14} {:>8} {:>8} {:>8} {:>8} {:>9} {:>9}",
        "state",
        "team",
        "service",
        "route",
        "objective",
        "burn 1h",
        "burn 6h",
        "budget",
        "events",
        "first p95",
        "token p95"
    )?;
    for entry in &report.entries {
        write_entry(text, entry)?;
    }
    Ok(())
}

fn write_entry(text: &mut String, entry: &BurnEntry) -> std::fmt::Result {
    let Some(worst) = entry.worst_objective() else { return Ok(()) };
    let route = if entry.route.is_empty() { "-" } else { &entry.route };
    let p95 = |quantile: Option<u64>| quantile.map_or("-".to_owned(), |ms| format!("{ms} ms"));
    writeln!(
        text,
        "{:<10} {:<24} {:<12} {:<20} {:<14} {:>8.1} {:>8.1} {:>7.0}% {:>8} {:>9} {:>9}",
        worst.state.to_string(),
        entry.team,
        entry.service,
        route,
        worst.objective.to_string(),
        worst.burn_rate_hour,
        worst.burn_rate_six_hours,
        worst.budget_left * 100.0,
        worst.windows.hour.total,
        p95(entry.first_token.quantile(0.95)),
        p95(entry.between_tokens.quantile(0.95)),
    )
}
