//! Report of the margin of fair shares: lines of teams' work, sums by second and the command.

use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use godwitcrank::decision::direct::WorkCount;
use godwitcrank::report::{FairMargins, FleetWork, TeamTotals, WorkLine, WorkLineError};
use googletest::prelude::*;

/// A line as a router writes it.
const LINE: &str = "2026-01-01T00:00:10.500Z INFO godwitcrank::gateway::work_log work of all teams \
                    node=front-1 share=0.09 processor_ms=120 connections=7 closed=1 largest=9000 \
                    teams=cuno630:3000:2000:1000:500,seny332:10:0:0:0";

fn count(sent: f64, refused: f64, shed: f64, repeated: f64) -> WorkCount {
    WorkCount { sent, refused, shed, repeated }
}

/// Returns a line of `node` at a second of the day, which has used a tenth of the time.
fn work_line(node: &str, second: f64, teams: &[(&str, WorkCount)]) -> WorkLine {
    let mut totals = TeamTotals::default();
    for (team, count) in teams {
        totals.add(&(*team).into(), *count);
    }
    WorkLine {
        node: node.into(),
        time: Duration::from_secs_f64(second),
        processor_share: 0.5,
        processor_time: Some(Duration::from_secs_f64(second / 10.0)),
        largest: 100.0,
        totals,
    }
}

/// Guards against values under the wrong key and a shifted time.
#[gtest]
fn read_line_of_router() {
    let line = WorkLine::read(LINE).expect("it is a line of work").expect("it is valid");
    let expected = TeamTotals::try_from("cuno630:3000:2000:1000:500,seny332:10:0:0:0");
    expect_that!(&*line.node, eq("front-1"));
    expect_that!(line.time.as_millis() % 60_000, eq(10_500));
    expect_that!(line.processor_share, eq(0.09));
    expect_that!(line.processor_time, some(eq(Duration::from_millis(120))));
    expect_that!(line.largest, eq(9000.0));
    expect_that!(Ok(line.totals), eq(&expected));
}

/// Guards against failing at lines that the bench puts its own time and machine before, and at
/// routers that have no work yet or do not know their processor time.
#[gtest]
fn read_line_with_prefix() {
    let text = LINE.replace("processor_ms=120", "processor_ms=-1");
    let (text, _) = text.split_once("cuno630").expect("the line lists teams");
    let line = WorkLine::read(&format!("  -8.4251 front-1 {text}\"\"")).expect("a line of work");
    let line = line.expect("it is valid");
    expect_that!(line.time.as_millis() % 60_000, eq(10_500));
    expect_that!(line.processor_time, none());
    expect_that!(line.totals, eq(&TeamTotals::default()));
}

/// Guards against counting torn lines and other lines.
#[gtest]
fn read_line_torn_or_other() {
    let (torn, _) = LINE.split_once(":1000:").expect("the line lists teams");
    expect_that!(WorkLine::read(torn), some(err(anything())));
    let without_teams = LINE.split_once(" teams=").expect("the line lists teams").0;
    let missing = WorkLineError::InvalidKey { key: "teams" };
    expect_that!(WorkLine::read(without_teams), some(err(eq(&missing))));
    expect_that!(WorkLine::read("2026-01-01T00:00:10.500Z INFO work_log team turned away"), none());
}

/// Guards against losing the work of a second whose line is missing, against sums of one router
/// only, and against negative work after a restart.
#[gtest]
fn sum_routers_missing_line_and_restart() {
    let sent = |tokens: f64| [("cuno630", count(tokens, 0.0, 0.0, 0.0))];
    let work = FleetWork::new([
        work_line("front-1", 10.0, &sent(0.0)),
        work_line("front-1", 11.0, &sent(100.0)),
        work_line("front-1", 13.0, &sent(300.0)),
        work_line("front-2", 10.0, &sent(0.0)),
        work_line("front-2", 12.0, &sent(1000.0)),
        work_line("front-2", 13.0, &sent(40.0)),
    ]);
    expect_that!(work.teams["cuno630"].got, elements_are![eq(&600.0), eq(&600.0), eq(&140.0)]);
    expect_that!(work.routers["front-1"].processor_time[0], eq(Duration::from_millis(100)));
    expect_that!(work.seconds, eq(3));
}

/// Guards against a margin that differs from the rule: half of the demand, or of the best served
/// team's work, less three of the largest calls of 100 tokens.
#[gtest]
fn margin_starved_team_is_least() {
    let lines = (0..=8).map(|second| {
        let passed = f64::from(second);
        let starved = count(200.0 * passed, 600.0 * passed, 400.0 * passed, 200.0 * passed);
        let best = count(2000.0 * passed, 0.0, 0.0, 0.0);
        work_line("front-1", 10.0 + passed, &[("starved", starved), ("best", best)])
    });
    let margins = FairMargins::from(&FleetWork::new(lines));
    let least = margins.least().expect("there are whole windows");
    expect_that!(&*least.team, eq("starved"));
    expect_that!(least.window.asked, near(6000.0, 1e-6));
    expect_that!(least.window.got, near(1200.0, 1e-6));
    expect_that!(least.window.due, near(3000.0, 1e-6));
    expect_that!(least.window.margin, near(-0.5, 1e-9));
    expect_that!(margins.teams["best"][0].margin, ge(1.0));
}

/// Guards against a margin from fewer seconds than the rule's window.
#[gtest]
fn margin_short_log_has_no_window() {
    let lines = (0..=4).map(|second| {
        let sent = count(100.0 * f64::from(second), 0.0, 0.0, 0.0);
        work_line("front-1", 10.0 + f64::from(second), &[("cuno630", sent)])
    });
    expect_that!(FairMargins::from(&FleetWork::new(lines)).least(), none());
}

fn write_log(case: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("margin-{case}.log"));
    std::fs::write(&path, text).expect("the log can be written");
    path
}

fn run_report(log: &PathBuf) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_godwitcrank"))
        .args(["report", "margin"])
        .arg(log)
        .output()
        .expect("the command runs");
    (output.status.code(), String::from_utf8_lossy(&output.stdout).into_owned())
}

/// Guards against a command that does not print the least margin and the processor time.
#[gtest]
fn report_log_of_bench() {
    let lines: String = (0..9)
        .map(|second| {
            let (asked, used) = (1_000_000 * second, 45 * second);
            format!(
                "   {second}.0140 front-1 2026-01-01T00:00:0{second}.000Z INFO work_log work of \
                 all teams node=front-1 share=0.09 processor_ms={used} connections=1 closed=0 \
                 largest=1 teams=best:{asked}:0:0:0,starved:0:{asked}:0:0\n"
            )
        })
        .collect();
    let (code, text) = run_report(&write_log("bench", &lines));
    expect_that!(code, some(eq(0)));
    let least = "least margin -1.000: team starved, from 0 s in 6 s: asked 6.00, got 0.00, half of \
                 the demand 3.00 million tokens";
    expect_that!(text.as_str(), contains_substring(least));
    expect_that!(text.as_str(), contains_substring("front-1          of  90:   45   45"));
}

/// Guards against reporting success for logs of another kind.
#[gtest]
fn report_log_without_work_fails() {
    let log = write_log("other", "2026-01-01T00:00:00.000Z INFO gateway started\n");
    expect_that!(run_report(&log), eq(&(Some(1), String::new())));
}
