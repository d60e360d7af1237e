//! Load that upstreams state in their answers, beside the reports of other routers.

use std::time::{Duration, Instant, SystemTime};

use godwitcrank::decision::direct::{
    CallCounts, CallDecision, CallOutcome, DirectDispatcher, LastStatement, PeerLoad, PeerReport,
    ReceivedLoad, StatedLoad, StatementError,
};
use godwitcrank::ids::{CallId, UpstreamId};
use godwitcrank::routing::{UpstreamEntry, ViewChange};
use googletest::prelude::*;
use indexmap::IndexMap;

use super::support::direct_path::{
    fleet_bounds, pending_call, plain_configuration, upstream_entry,
};

/// Slots of each upstream in these tests.
const SLOTS: u32 = 6;

fn stated(running: u32, waiting: u32, at: Instant) -> ReceivedLoad {
    let counts = CallCounts { running, waiting, slots: SLOTS };
    ReceivedLoad { load: counts.try_into().expect("the counts are usable"), at }
}

/// Creates the dispatcher of one of many routers with two upstreams.
fn fleet(now: Instant) -> DirectDispatcher {
    let mut dispatcher = DirectDispatcher::new(
        "router-1".into(),
        "caerdydd".into(),
        IndexMap::new(),
        fleet_bounds(),
    );
    dispatcher.apply(&plain_configuration("booking"), now);
    for id in ["a", "b"] {
        dispatcher.apply(&ViewChange::Upstream(id.into(), upstream_entry("booking", SLOTS)), now);
    }
    dispatcher.set_members(20);
    dispatcher
}

/// Dispatches one call; returns its upstream and grant.
fn send(dispatcher: &mut DirectDispatcher, id: CallId, now: Instant) -> Option<(UpstreamId, u64)> {
    dispatcher.enqueue(pending_call(id, "booking", None, now), now);
    let decision = dispatcher.dispatch(now).pop();
    if decision.is_none() {
        dispatcher.cancel(id, now);
    }
    match decision?.1 {
        CallDecision::Send(grant) => Some((grant.upstream, grant.id)),
        CallDecision::Refuse { .. } => None,
    }
}

/// Sends calls one after the other; returns how many each upstream got.
fn send_in_turn(
    dispatcher: &mut DirectDispatcher,
    calls: u64,
    now: Instant,
) -> IndexMap<UpstreamId, u32> {
    let mut counts = IndexMap::new();
    for id in 100..100 + calls {
        if let Some((upstream, grant)) = send(dispatcher, id, now) {
            *counts.entry(upstream).or_default() += 1;
            dispatcher.record_end(grant, CallOutcome::Completed, false, now);
        }
    }
    counts
}

/// Has an upstream answer a call of this router and state its load.
fn answer_with_load(dispatcher: &mut DirectDispatcher, received: ReceivedLoad) -> UpstreamId {
    let (upstream, grant) = send(dispatcher, 1, received.at).expect("an upstream is free");
    dispatcher.record_stated_load(grant, received);
    dispatcher.record_end(grant, CallOutcome::Completed, false, received.at);
    upstream
}

/// Guards against a statement that an upstream cannot mean.
#[gtest]
fn try_from_odd_counts() {
    for (counts, error) in [
        ((0, 0, 0), StatementError::Slots(0)),
        ((0, 0, 5_000), StatementError::Slots(5_000)),
        ((9, 0, 8), StatementError::Running { running: 9, slots: 8 }),
        ((8, 100_000, 8), StatementError::Waiting(100_000)),
    ] {
        let (running, waiting, slots) = counts;
        let load = StatedLoad::try_from(CallCounts { running, waiting, slots });
        expect_that!(load, err(eq(error)), "{counts:?}");
    }
}

/// Guards against an old source that outweighs a fresh one.
#[gtest]
fn combine_weighs_by_age() {
    let start = Instant::now();
    let mut loads = LastStatement::default();
    loads.record(stated(6, 14, start), 0);
    let combined =
        |report_age, age| loads.combine(4, Some(Duration::from_millis(report_age)), start + age);
    expect_that!(combined(500, Duration::ZERO), eq(20));
    expect_that!(combined(100, Duration::from_millis(100)), eq(12));
    expect_that!(combined(10, Duration::from_millis(1_000)), eq(4));
    expect_that!(combined(1_400, Duration::from_millis(1_500)), eq(4));
    expect_that!(loads.combine(0, None, start + Duration::from_millis(100)), eq(20));
}

/// Guards against own calls that are counted twice, and against statements that arrive in another
/// order than they were received.
#[gtest]
fn record_own_calls_and_older_statements() {
    let start = Instant::now();
    let later = start + Duration::from_millis(50);
    let mut loads = LastStatement::default();
    loads.record(stated(6, 1, later), 3);
    expect_that!(loads.combine(0, None, later), eq(4));
    loads.record(stated(1, 0, start), 0);
    expect_that!(loads.combine(0, None, later), eq(4));
    loads.record(stated(2, 0, later), 5);
    expect_that!(loads.combine(0, None, later), eq(0));
    loads.clear();
    expect_that!(loads.combine(7, None, later), eq(7));
}

/// Guards against a router that sends to an upstream which has just said that it is full: the other
/// routers' reports don't show their last calls yet. Fixed: many routers, two plain upstreams.
#[gtest]
fn dispatch_stated_full_avoids_upstream() {
    let start = Instant::now();
    let mut dispatcher = fleet(start);
    let full = answer_with_load(&mut dispatcher, stated(SLOTS, 10, start));
    let counts = send_in_turn(&mut dispatcher, 20, start + Duration::from_millis(2));
    expect_that!(counts.get(&full), none());
    expect_that!(counts.values().sum::<u32>(), eq(20));
}

/// Guards against a router that leaves an upstream idle for what it stated long ago.
#[gtest]
fn dispatch_stated_long_ago_uses_upstream() {
    let start = Instant::now();
    let mut dispatcher = fleet(start);
    let full = answer_with_load(&mut dispatcher, stated(SLOTS, 10, start));
    let counts = send_in_turn(&mut dispatcher, 20, start + Duration::from_secs(2));
    expect_that!(counts.get(&full), some(ge(&5)));
}

/// Guards against a restarted upstream that is taken for as busy as before.
#[gtest]
fn dispatch_stated_before_restart_uses_upstream() {
    let start = Instant::now();
    let mut dispatcher = fleet(start);
    let full = answer_with_load(&mut dispatcher, stated(SLOTS, 10, start));
    let restarted =
        UpstreamEntry { started: Some(SystemTime::UNIX_EPOCH), ..upstream_entry("booking", SLOTS) };
    dispatcher.apply(&ViewChange::Upstream(full.clone(), restarted), start);
    let counts = send_in_turn(&mut dispatcher, 20, start + Duration::from_millis(2));
    expect_that!(counts.get(&full), some(ge(&5)));
}

/// Guards against reports that are out of date and keep calls from an upstream that has slots free.
/// Fixed: one peer reported a full upstream a second ago; the upstream has just stated two calls.
#[gtest]
fn dispatch_stated_free_after_old_report_uses_upstream() {
    let start = Instant::now();
    let mut dispatcher = fleet(start);
    let (upstream, grant) = send(&mut dispatcher, 1, start).expect("an upstream is free");
    let mut report = PeerReport::new("router-2".into(), ([127, 0, 0, 1], 7000).into(), 1, 1);
    let load = PeerLoad { running: 2 * SLOTS, ..PeerLoad::default() };
    report.loads = vec![("a".into(), load), ("b".into(), load)];
    dispatcher.record_report(report, start);
    let later = start + Duration::from_millis(1_000);
    dispatcher.refresh_from_peers(later);
    expect_that!(send(&mut dispatcher, 2, later), none());
    dispatcher.record_stated_load(grant, stated(1, 0, later));
    dispatcher.record_end(grant, CallOutcome::Completed, false, later);
    let sent = send(&mut dispatcher, 3, later).map(|(upstream, _)| upstream);
    expect_that!(sent, eq(&Some(upstream)));
}
