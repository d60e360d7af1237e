//! Load that upstreams state in their answers, beside the reports of other routers.

use std::time::{Duration, Instant, SystemTime};

use godwitcrank::decision::direct::{
    CallCounts, CallDecision, CallOutcome, DirectDispatcher, LastStatement, PeerLoad, PeerReport,
    PendingCall, PromptPart, PromptShape, ReceivedLoad, Slowdown, StatedLoad, StatementError,
};
use godwitcrank::ids::{CallId, UpstreamId};
use godwitcrank::routing::{UpstreamEntry, ViewChange};
use googletest::prelude::*;
use indexmap::IndexMap;

use super::support::direct_path::{
    fleet_bounds, pending_call, plain_configuration, service_configuration, upstream_entry,
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

/// Slots of each engine in the tests of the slowdown.
const ENGINE_SLOTS: u32 = 128;

fn slowed(percent: u32, at: Instant) -> ReceivedLoad {
    let counts = CallCounts { running: 1, waiting: 0, slots: ENGINE_SLOTS };
    let load = StatedLoad::try_from(counts).expect("the counts are usable");
    let slowdown = Slowdown::try_from(percent).expect("the slowdown is usable");
    ReceivedLoad { load: load.with_slowdown(slowdown), at }
}

/// Creates the dispatcher of the only router with the given engines.
fn engine_fleet(engines: &[&str], now: Instant) -> DirectDispatcher {
    let mut dispatcher = DirectDispatcher::new(
        "router-1".into(),
        "caerdydd".into(),
        IndexMap::new(),
        fleet_bounds(),
    );
    dispatcher.apply(&service_configuration("model", Some(300_000), None), now);
    for id in engines {
        let entry = upstream_entry("model", ENGINE_SLOTS);
        dispatcher.apply(&ViewChange::Upstream((*id).into(), entry), now);
    }
    dispatcher.set_members(1);
    dispatcher
}

/// Returns a call whose prompt no other call shares.
fn model_call(id: CallId, tokens: u32, now: Instant) -> PendingCall {
    let parts = vec![PromptPart { id, tokens }];
    let prompt = PromptShape { tokens_in: tokens, tokens_out: 50, parts };
    pending_call(id, "model", Some(prompt), now)
}

/// Dispatches a model call; returns its upstream and grant.
fn send_prompt(
    dispatcher: &mut DirectDispatcher,
    id: CallId,
    tokens: u32,
    now: Instant,
) -> Option<(UpstreamId, u64)> {
    dispatcher.enqueue(model_call(id, tokens, now), now);
    let decision = dispatcher.dispatch(now).pop();
    if decision.is_none() {
        dispatcher.cancel(id, now);
    }
    match decision?.1 {
        CallDecision::Send(grant) => Some((grant.upstream, grant.id)),
        CallDecision::Refuse { .. } => None,
    }
}

/// Sends prompts of 2,000 tokens until one has to wait; returns how many were sent.
fn fill(dispatcher: &mut DirectDispatcher, now: Instant) -> usize {
    (100..200).take_while(|id| send_prompt(dispatcher, *id, 2_000, now).is_some()).count()
}

/// Has each of two engines answer a call and state its load; returns the one that states `percent`.
fn slow_down(dispatcher: &mut DirectDispatcher, percent: u32, now: Instant) -> UpstreamId {
    let (slow, grant) = send_prompt(dispatcher, 1, 100, now).expect("an engine is free");
    dispatcher.record_stated_load(grant, slowed(percent, now));
    dispatcher.record_end(grant, CallOutcome::Completed, false, now);
    slow
}

/// Guards against a slowdown that no machine can have.
#[gtest]
fn try_from_odd_slowdown() {
    for percent in [0, 10_001, u32::MAX] {
        expect_that!(Slowdown::try_from(percent), err(eq(StatementError::Slowdown(percent))));
    }
    for percent in [1, 100, 250, 10_000] {
        expect_that!(Slowdown::try_from(percent), ok(anything()), "{percent}");
    }
}

/// Guards against a spell that is taken to last for ever, and against statements without a
/// slowdown that change the expected time of work.
#[gtest]
fn slowdown_factor_falls_with_age() {
    let start = Instant::now();
    let mut statement = LastStatement::default();
    expect_that!(statement.slowdown_factor(start), eq(1.0));
    statement.record(slowed(250, start), 0);
    for (age, factor) in [(0, 2.5), (400, 1.552), (800, 1.203), (1_500, 1.0), (9_000, 1.0)] {
        let at = start + Duration::from_millis(age);
        expect_that!(statement.slowdown_factor(at), near(factor, 0.001), "{age} ms");
    }
    statement.record(stated(1, 0, start), 0);
    expect_that!(statement.slowdown_factor(start), eq(1.0));
}

/// Guards against one statement that attracts the calls of all routers.
#[gtest]
fn slowdown_factor_of_fast_machine_is_bounded() {
    let start = Instant::now();
    let mut statement = LastStatement::default();
    statement.record(slowed(1, start), 0);
    expect_that!(statement.slowdown_factor(start), ge(0.2));
}

/// Guards against calls to an engine that is in a slow spell while another one is not.
#[gtest]
fn dispatch_stated_slow_prefers_other_engine() {
    let start = Instant::now();
    let mut dispatcher = engine_fleet(&["a", "b"], start);
    let slow = slow_down(&mut dispatcher, 250, start);
    for id in 10..20 {
        let (engine, grant) =
            send_prompt(&mut dispatcher, id, 2_000, start).expect("an engine is free");
        expect_that!(engine, not(eq(&slow)));
        dispatcher.record_end(grant, CallOutcome::Completed, false, start);
    }
}

/// Guards against calls that a slow engine is sent although it cannot start them in time, and
/// against a spell that has ended and still keeps calls away.
#[gtest]
fn dispatch_stated_slow_admits_fewer_calls() {
    let start = Instant::now();
    let admitted = |percent, age| {
        let mut dispatcher = engine_fleet(&["a"], start);
        slow_down(&mut dispatcher, percent, start);
        fill(&mut dispatcher, start + Duration::from_millis(age))
    };
    let usual = admitted(100, 0);
    expect_that!(admitted(250, 0), all!(ge(1), le(usual / 2)));
    expect_that!(admitted(250, 400), all!(gt(admitted(250, 0)), lt(usual)));
    expect_that!(admitted(250, 1_500), eq(usual));
}

/// Returns the read rate after a number of first events that came `waited` ms after calls of 4,000
/// tokens at an engine that stated this slowdown.
fn rate_after(count: u64, waited: u64, percent: u32) -> f64 {
    let now = Instant::now();
    let mut dispatcher = engine_fleet(&["a"], now);
    for id in 1..=count {
        let (_, grant) = send_prompt(&mut dispatcher, id, 4_000, now).expect("the engine is idle");
        dispatcher.record_stated_load(grant, slowed(percent, now));
        dispatcher.record_first_event(grant, Duration::from_millis(waited), Duration::ZERO, now);
        dispatcher.record_end(grant, CallOutcome::Completed, false, now);
    }
    dispatcher.upstreams()["a"].read_rate()
}

/// Guards against a slow spell that is learned as a slow engine, which then gets fewer calls long
/// after the spell.
#[gtest]
fn record_first_event_in_slow_spell_keeps_read_rate() {
    let usual = rate_after(50, 90, 100);
    expect_that!(rate_after(50, 225, 250), near(usual, 0.01));
    expect_that!(rate_after(50, 225, 100), lt(0.5 * usual));
}
