//! Work of teams: counts of one router and the list in its log line.

use godwitcrank::decision::direct::{ShedCall, TeamWork, WorkCount};
use godwitcrank::report::TeamTotals;
use googletest::prelude::*;

fn count(sent: f64, refused: f64, shed: f64, repeated: f64) -> WorkCount {
    WorkCount { sent, refused, shed, repeated }
}

/// Guards against names of teams that break the format, and against a line without a bound: teams
/// beyond the limit are summed.
#[gtest]
fn format_totals_bounded() {
    let mut totals = TeamTotals::default();
    totals.add(&"a:b,c".into(), count(1e6, 0.0, 0.0, 0.0));
    for index in 0..200 {
        totals.add(&format!("team-{index}").into(), count(2.0, 1.0, 0.0, 0.0));
    }
    let read = TeamTotals::try_from(totals.to_string().as_str()).expect("the list can be read");
    expect_that!(read.teams().len(), eq(129));
    expect_that!(read.teams().get("a_b_c"), some(eq(&count(1e6, 0.0, 0.0, 0.0))));
    expect_that!(read.teams().get("*"), some(eq(&count(146.0, 73.0, 0.0, 0.0))));
}

/// Guards against counting the retry of a call as new demand, and against taking the same call for
/// a retry long after.
#[gtest]
fn record_shed_call_again() {
    let call = ShedCall { team: "cuno630".into(), fingerprint: 7, work: 50.0 };
    let mut work = TeamWork::default();
    work.record_shed(&[call.clone(), call.clone()]);
    let counts = work.take();
    expect_that!(counts["cuno630"], eq(count(0.0, 0.0, 100.0, 50.0)));
    expect_that!(counts["cuno630"].asked_first(), eq(50.0));
    for _ in 0..6 {
        work.take();
    }
    work.record_shed(&[call]);
    expect_that!(work.take()["cuno630"], eq(count(0.0, 0.0, 50.0, 0.0)));
}
