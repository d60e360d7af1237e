//! Tests of the admission limit: ramp, decrease and restart of the ramp.

use std::time::{Duration, Instant};

use godwitcrank::decision::admission::{AdmissionLimit, CompletionKind, HealthReport};
use googletest::prelude::*;

const SLOTS: u32 = 8;

fn success(milliseconds: u64) -> CompletionKind {
    CompletionKind::Success { ran_for: Duration::from_millis(milliseconds), units: 10 }
}

fn health(boot: &str, cold: Option<bool>) -> HealthReport {
    HealthReport { boot: boot.into(), slots: Some(SLOTS), cold }
}

fn warm_limit(now: Instant) -> AdmissionLimit {
    let mut limit = AdmissionLimit::new(SLOTS, now);
    limit.observe_health(&health("one", Some(false)), now);
    (0..64).for_each(|_| limit.observe_completion(success(100), now));
    limit
}

/// Guards against full load on an upstream that has just started.
#[gtest]
fn new_unknown_upstream() {
    expect_that!(AdmissionLimit::new(SLOTS, Instant::now()).limit(), eq(1));
}

/// Guards against a ramp that skips steps or never reaches the number of slots.
#[gtest]
fn observe_completion_while_warming() {
    let now = Instant::now();
    let mut limit = AdmissionLimit::new(SLOTS, now);
    let mut seen = vec![limit.limit()];
    for _ in 0..64 {
        limit.observe_completion(success(100), now);
        if seen.last() != Some(&limit.limit()) {
            seen.push(limit.limit());
        }
    }
    expect_that!(seen, container_eq([1, 2, 3, 4, 5, 6, 7, 8]));
}

/// Guards against a limit that grows while the upstream reports that it is cold.
#[gtest]
fn observe_completion_while_reported_cold() {
    let now = Instant::now();
    let mut limit = AdmissionLimit::new(SLOTS, now);
    limit.observe_health(&health("one", Some(true)), now);
    (0..64).for_each(|_| limit.observe_completion(success(100), now));
    expect_that!(limit.limit(), eq(1));
    limit.observe_health(&health("one", Some(false)), now);
    (0..64).for_each(|_| limit.observe_completion(success(100), now));
    expect_that!(limit.limit(), eq(SLOTS));
}

/// Guards against full load on an upstream that was restarted or has become cold again.
#[gtest]
fn observe_health_cold_again() {
    let now = Instant::now();
    for report in [health("two", Some(false)), health("one", Some(true)), health("two", None)] {
        let mut limit = warm_limit(now);
        expect_that!(limit.limit(), eq(SLOTS));
        limit.observe_health(&report, now);
        expect_that!(limit.limit(), eq(1), "after {report:?}");
    }
}

/// Guards against full load on an upstream whose connections break.
#[gtest]
fn observe_completion_lost() {
    let now = Instant::now();
    let mut limit = warm_limit(now);
    limit.observe_completion(CompletionKind::Lost, now);
    expect_that!(limit.limit(), eq(1));
}

/// Guards against a limit that stays the same when the upstream becomes slow.
#[gtest]
fn observe_completion_latency_jump() {
    let now = Instant::now();
    let mut limit = warm_limit(now);
    let mut slow = 0;
    while limit.limit() == SLOTS && slow < 8 {
        limit.observe_completion(success(500), now);
        slow += 1;
    }
    expect_that!(limit.limit(), eq(SLOTS / 2));
}

/// Guards against a limit that one error resets, and against one that does not react to consecutive
/// errors.
#[gtest]
fn observe_completion_errors() {
    let now = Instant::now();
    let mut limit = warm_limit(now);
    limit.observe_completion(CompletionKind::Error, now);
    expect_that!(limit.limit(), eq(SLOTS - 1));
    (0..3).for_each(|_| limit.observe_completion(CompletionKind::Error, now));
    expect_that!(limit.limit(), eq(1));
}

/// Guards against new work for a draining upstream.
#[gtest]
fn drain_warm_upstream() {
    let now = Instant::now();
    let mut limit = warm_limit(now);
    limit.drain(now);
    expect_that!(limit.limit(), eq(0));
    limit.observe_completion(success(100), now);
    limit.observe_health(&health("two", Some(false)), now);
    expect_that!(limit.limit(), eq(0));
    let drained = limit.close(now + Duration::from_secs(1));
    expect_that!(drained, some(eq(Duration::from_secs(1))));
}

/// Guards against sending requests to an upstream that refuses connections.
#[gtest]
fn mark_unreachable_until_answer() {
    let now = Instant::now();
    let mut limit = warm_limit(now);
    limit.mark_unreachable(now);
    expect_that!(limit.limit(), eq(0));
    limit.observe_health(&health("two", Some(true)), now);
    expect_that!(limit.limit(), eq(1));
}
