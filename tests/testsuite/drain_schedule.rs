//! Which calls are sent to upstreams during a graceful shutdown.

use std::time::{Duration, Instant};

use godwitcrank::decision::direct::{DrainSchedule, PlannedSend};
use godwitcrank::routing::CallKind;
use googletest::prelude::*;

/// Time between the stop signal and the kill of the process.
const GRACE: Duration = Duration::from_secs(8);

/// Guards against new streams late in a shutdown, and against that limit on other calls.
#[gtest]
fn allows_new_streams_early() {
    let started = Instant::now();
    let schedule = DrainSchedule::new(started, GRACE);
    let ends_by = started + Duration::from_secs(5);
    for (kind, is_first, after_ms, expected) in [
        (CallKind::Stream, true, 0, true),
        (CallKind::Stream, true, 2_499, true),
        (CallKind::Stream, true, 2_500, false),
        (CallKind::Stream, false, 2_500, true),
        (CallKind::AtMostOnce, true, 2_500, true),
        (CallKind::Repeatable, false, 2_500, true),
    ] {
        let send = PlannedSend { kind, is_first, ends_by };
        let now = started + Duration::from_millis(after_ms);
        expect_that!(schedule.allows(&send, now), eq(expected), "{send:?} after {after_ms} ms");
    }
}

/// Guards against calls that are cut because they last longer than the rest of the grace, and against
/// needless refusals of those that end in time.
#[gtest]
fn allows_calls_that_end_in_time() {
    let started = Instant::now();
    let schedule = DrainSchedule::new(started, GRACE);
    let answer_by = schedule.answer_by();
    let late = answer_by - Duration::from_millis(10);
    for (kind, is_first, now) in [
        (CallKind::AtMostOnce, true, started),
        (CallKind::AtMostOnce, false, late),
        (CallKind::Repeatable, true, late),
        (CallKind::Repeatable, false, started),
        (CallKind::Stream, true, started),
        (CallKind::Stream, false, late),
    ] {
        let in_time = PlannedSend { kind, is_first, ends_by: answer_by };
        expect_that!(schedule.allows(&in_time, now), eq(true), "{in_time:?}");
        let ends_by = answer_by + Duration::from_millis(1);
        let too_long = PlannedSend { kind, is_first, ends_by };
        expect_that!(schedule.allows(&too_long, now), eq(false), "{too_long:?}");
    }
}

/// Guards against a process that is killed before it has closed its connections.
#[gtest]
fn abandon_at_before_kill() {
    let started = Instant::now();
    for grace_ms in [0, 300, 2_000, 8_000] {
        let grace = Duration::from_millis(grace_ms);
        let schedule = DrainSchedule::new(started, grace);
        expect_that!(schedule.answer_by(), le(schedule.abandon_at()), "{grace_ms} ms");
        expect_that!(schedule.abandon_at(), le(started + grace), "{grace_ms} ms");
        expect_that!(schedule.accept_until(), le(schedule.abandon_at()), "{grace_ms} ms");
    }
}
