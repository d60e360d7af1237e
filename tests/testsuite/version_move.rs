//! Tests of version moves: schedule, traffic split, sequential test and life cycle.

use std::time::{Duration, SystemTime};

use godwitcrank::decision::version_move::{
    CallCounts, FALSE_FAULT_RATE, MAX_MOVE_DURATION, MoveEvidence, MoveFault, MoveSchedule,
    SequentialTest, TOLERATED_ERROR_RATE, TestDecision, VersionSplit, choose_upstreams,
};
use godwitcrank::ids::{RouteId, UpstreamId};
use godwitcrank::lifecycle::version_move::{MoveState, PlannedMove};
use googletest::prelude::*;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

fn at(seconds: u64) -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(seconds)
}

proptest! {
    /// Guards against a schedule that ends after the deadline, starts with a large share or reduces
    /// the share.
    #[test]
    fn new_any_deadline(planned in 0u64..100_000, length in 1u64..100_000) {
        let deadline = at(planned + length);
        let schedule = MoveSchedule::new(at(planned), deadline);
        prop_assert!(schedule.done < deadline);
        prop_assert!(schedule.stages[0].starts >= at(planned));
        prop_assert!(schedule.stages[0].share <= 0.02);
        prop_assert!(schedule.stages.is_sorted_by(|a, b| a.starts < b.starts && a.share < b.share));
        prop_assert!((schedule.stages.last().expect("stages").share - 1.0).abs() < f64::EPSILON);
        prop_assert!(deadline.duration_since(schedule.stages[0].starts).expect("order") <= MAX_MOVE_DURATION);
    }

    /// Guards against upstreams that are replaced, instead of added, when the share increases.
    #[test]
    fn choose_upstreams_growing_share(total in 1usize..40, low in 0.0f64..1.0, high in 0.0f64..1.0) {
        let (low, high) = (low.min(high), low.max(high));
        let upstreams: Vec<UpstreamId> = (0..total).map(|n| format!("e-{n}").into()).collect();
        let few = choose_upstreams("m", &upstreams, low, total);
        let many = choose_upstreams("m", &upstreams, high, total);
        prop_assert!(!few.is_empty() && many.starts_with(&few));
    }
}

/// Guards against a split that gives the new version more or less traffic than its share.
#[gtest]
fn pick_share() {
    let split = VersionSplit { from: "1".into(), to: "2".into(), share: 0.02 };
    let mut random = StdRng::seed_from_u64(7);
    let new = (0..100_000).filter(|_| &**split.pick(random.random()) == "2").count();
    expect_that!(new, all![ge(1800), le(2200)]);
}

/// Guards against a move that advances too early, skips a stage or ends late.
#[gtest]
fn advance_through_stages() {
    let schedule = MoveSchedule::new(at(1000), at(1100));
    let mut state = MoveState::from(PlannedMove::new(schedule.clone())).advance(at(999));
    expect_that!(state.share(), eq(0.0));
    let mut shares = Vec::new();
    for second in 1000..1100 {
        state = state.advance(at(second));
        if shares.last() != Some(&state.share()) {
            shares.push(state.share());
        }
        let resumed = MoveState::resume(schedule.clone(), state.share());
        expect_that!(resumed.share(), eq(state.share()), "at {second}");
    }
    expect_that!(shares, eq(&vec![0.02, 0.10, 0.30, 0.60, 1.0]));
    expect_that!(matches!(state, MoveState::Done(done) if done.at() <= at(1096)), eq(true));
}

/// Guards against moving all traffic in one step when another lease holder takes over late.
#[gtest]
fn advance_after_late_takeover() {
    let state = MoveState::from(PlannedMove::new(MoveSchedule::new(at(0), at(100))));
    let state = state.advance(at(99));
    expect_that!(state.share(), eq(0.02));
    let state = state.advance(at(99));
    expect_that!(state.share(), eq(0.10));
}

/// Guards against a late fault that rolls back a move that is done.
#[gtest]
fn revert_each_state() {
    let fault = || MoveFault::Errors("/".into());
    let planned = MoveState::from(PlannedMove::new(MoveSchedule::new(at(0), at(100))));
    let canary = planned.clone().advance(at(1));
    let ramping = canary.clone().advance(at(50));
    for state in [planned, canary, ramping] {
        let state = state.revert(fault(), at(60));
        expect_that!(state.share(), eq(0.0));
        let expected = matches!(&state, MoveState::Reverted(reverted)
            if reverted.at() == at(60) && *reverted.fault() == fault());
        expect_that!(expected, eq(true));
    }
    let mut done = MoveState::from(PlannedMove::new(MoveSchedule::new(at(0), at(100))));
    (0..8).for_each(|_| done = done.clone().advance(at(100)));
    expect_that!(done.revert(fault(), at(101)).share(), eq(1.0));
}

/// Runs a comparison with a fixed seed and returns the number of calls of the new version until a
/// fault was found.
fn calls_until_fault(seed: u64, bad: impl Fn(u64) -> (f64, f64), limit: u64) -> Option<u64> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut evidence = MoveEvidence::default();
    let route: RouteId = "/".into();
    for call in 0..limit {
        for _ in 0..4 {
            let latency = Duration::from_micros(random.random_range(20_000..60_000));
            evidence.record_call(&route, false, random.random_bool(0.005), latency);
        }
        let (error_rate, factor) = bad(call);
        let latency = Duration::from_micros(random.random_range(20_000..60_000)).mul_f64(factor);
        let failed = random.random_bool(error_rate);
        if evidence.record_call(&route, true, failed, latency).1.is_some() {
            return Some(call + 1);
        }
    }
    None
}

/// Error rate and latency factor of a version by call number.
type VersionModel = fn(u64) -> (f64, f64);

/// Guards against good versions that are rolled back, and bad ones that are detected late or never.
#[gtest]
fn record_call_good_and_bad() {
    for seed in 0..20 {
        expect_that!(calls_until_fault(seed, |_| (0.005, 1.0), 5_000), none(), "good, {seed}");
        let cases: [(&str, VersionModel, u64); 4] = [
            ("fails always", |_| (1.0, 1.0), 10),
            ("fails one in four", |_| (0.25, 1.0), 100),
            ("fails later", |call| (if call < 500 { 0.005 } else { 0.5 }, 1.0), 560),
            ("three times slower", |_| (0.005, 3.0), 80),
        ];
        for (name, bad, most) in cases {
            expect_that!(calls_until_fault(seed, bad, 5_000), some(le(most)), "{name}, {seed}");
        }
    }
}

/// Guards against a rate of false faults above [`FALSE_FAULT_RATE`]: 3 million calls at exactly the
/// tolerated rate make about 20,000 runs, of which 0.02 may find a fault.
#[gtest]
fn record_false_faults() {
    let mut random = StdRng::seed_from_u64(11);
    let mut test = SequentialTest::default();
    let (mut faults, mut runs) = (0u64, 0u64);
    for _ in 0..3_000_000 {
        let bad = u64::from(random.random_bool(TOLERATED_ERROR_RATE));
        match test.record(bad, 1, TOLERATED_ERROR_RATE) {
            TestDecision::Fail => {
                faults += 1;
                test = SequentialTest::default();
            }
            TestDecision::Pass => runs += 1,
            TestDecision::Undecided => {}
        }
    }
    expect_that!(runs, ge(10_000));
    expect_that!(faults as f64, le(1.0 + 10.0 * FALSE_FAULT_RATE * runs as f64));
}

/// Guards against a bad route that is hidden by many calls on good routes.
#[gtest]
fn record_new_one_route() {
    let mut evidence = MoveEvidence::default();
    let (good, bad): (RouteId, RouteId) = ("/good".into(), "/bad".into());
    let mut found = None;
    for _ in 0..40 {
        let many = CallCounts { calls: 100, errors: 0, slow: 0 };
        expect_that!(evidence.route(&good).record_new(&good, many), none());
        let one = CallCounts { calls: 1, errors: 1, slow: 0 };
        found = found.or(evidence.route(&bad).record_new(&bad, one));
    }
    expect_that!(found, some(eq(&MoveFault::Errors(bad.clone()))));
}
