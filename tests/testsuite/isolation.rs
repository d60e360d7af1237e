//! Tests of partition detection.

use std::time::{Duration, Instant};

use godwitcrank::decision::isolation::{
    IsolationState, IsolationTimer, IsolationView, STOP_AFTER, classify_isolation, reaches_majority,
};
use googletest::prelude::*;

/// Guards against deviations from the table of cases in `docs/design.md`.
#[gtest]
fn classify_isolation_each_case() {
    use IsolationState::{CutOff, OwnLinkBad, Serve, StoreDown};
    let cases = [
        (true, true, Some(true), Serve),
        (true, true, Some(false), Serve),
        (true, true, None, Serve),
        (true, false, Some(true), Serve),
        (true, false, Some(false), Serve),
        (true, false, None, Serve),
        (false, true, Some(false), StoreDown),
        (false, true, None, StoreDown),
        (false, true, Some(true), OwnLinkBad),
        (false, false, Some(true), CutOff),
        (false, false, Some(false), CutOff),
        (false, false, None, CutOff),
    ];
    for (store_reachable, majority_reachable, peer_reaches_store, state) in cases {
        let view = IsolationView { store_reachable, majority_reachable, peer_reaches_store };
        expect_that!(classify_isolation(view), eq(state), "{view:?}");
    }
}

/// Guards against counting exactly half of the peers as a majority: both halves would serve.
#[gtest]
fn reaches_majority_half() {
    expect_that!(reaches_majority(2, 4), eq(false));
    expect_that!(reaches_majority(3, 4), eq(true));
    expect_that!(reaches_majority(0, 0), eq(false));
}

/// Guards against measuring the 4 s from the detection, which is one contact window too late.
#[gtest]
fn observe_cut_off_node() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut timer = IsolationTimer::new(start);
    expect_that!(timer.observe(IsolationState::Serve, Some(at(1000)), at(1500)), eq(true));
    expect_that!(timer.observe(IsolationState::CutOff, Some(at(1000)), at(3100)), eq(true));
    expect_that!(timer.observe(IsolationState::CutOff, Some(at(1000)), at(4999)), eq(true));
    let stop = at(1000) + STOP_AFTER;
    expect_that!(timer.observe(IsolationState::CutOff, Some(at(1000)), stop), eq(false));
    expect_that!(timer.observe(IsolationState::StoreDown, Some(at(9000)), at(9000)), eq(true));
}
