//! Order of pending calls and choice of upstreams in direct dispatch.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use godwitcrank::decision::direct::{
    BudgetCharge, CallDecision, CallGrant, CallOutcome, DirectDispatcher, PeerLoad, PeerReport,
    PendingCall, PromptPart, PromptShape, RefusalCause,
};
use godwitcrank::ids::{CallId, DataCentreId, PromptPartId, RegionId, StoreRevision, UpstreamId};
use godwitcrank::routing::{RouteConfiguration, ServiceEntry, UpstreamEntry, ViewChange};
use googletest::prelude::*;
use indexmap::IndexMap;

use super::support::direct_path::{caller_limits, fleet_bounds, pending_call, upstream_entry};

const OBJECTIVE: Duration = Duration::from_millis(500);

/// Rate that the platform states for a cold upstream; the bound adds a factor and some slack.
const COLD_RATE: f64 = 20.0;

/// All upstreams of these tests are in `caerdydd`, which is in region `cymru`.
fn regions() -> IndexMap<DataCentreId, RegionId> {
    [("caerdydd".into(), "cymru".into()), ("bkk-a".into(), "bkk".into())].into()
}

fn configuration(work_rate: Option<f64>) -> ViewChange {
    let service = |name: &str, memory_tokens| ServiceEntry {
        name: name.into(),
        connection_limit: 600,
        cold_period: Duration::from_secs(3),
        cold_rate: COLD_RATE,
        memory_tokens,
        scaling: None,
    };
    ViewChange::Configuration(Arc::new(RouteConfiguration {
        version: 1,
        routes: Vec::new(),
        services: vec![service("model", Some(300_000)), service("booking", None)],
        teams: Vec::new(),
        limits: caller_limits(),
        work_rate,
    }))
}

/// Creates a dispatcher with two peers and the given upstreams of the service `model`.
fn fleet(upstreams: &[&str], now: Instant) -> DirectDispatcher {
    let mut dispatcher =
        DirectDispatcher::new("router-1".into(), "caerdydd".into(), regions(), fleet_bounds());
    dispatcher.apply(&configuration(None), now);
    for id in upstreams {
        dispatcher.apply(&ViewChange::Upstream((*id).into(), upstream_entry("model", 128)), now);
    }
    dispatcher.set_members(3);
    dispatcher
}

fn prompt(shared: u64, shared_tokens: u32, own_tokens: u32) -> PromptShape {
    PromptShape {
        tokens_in: shared_tokens + own_tokens,
        tokens_out: 50,
        parts: vec![
            PromptPart { id: shared, tokens: shared_tokens },
            PromptPart { id: u64::MAX, tokens: own_tokens },
        ],
    }
}

fn call(id: CallId, team: &str, prompt: PromptShape, now: Instant) -> PendingCall {
    PendingCall {
        team: Some(team.into()),
        objective: OBJECTIVE,
        deadline: now + Duration::from_secs(4),
        ..pending_call(id, "model", Some(prompt), now)
    }
}

fn granted(decisions: &[(CallId, CallDecision)]) -> Vec<(CallId, CallGrant)> {
    decisions
        .iter()
        .filter_map(|(id, decision)| match decision {
            CallDecision::Send(grant) => Some((*id, grant.clone())),
            CallDecision::Refuse { .. } => None,
        })
        .collect()
}

fn refused(decisions: &[(CallId, CallDecision)]) -> Vec<(CallId, RefusalCause)> {
    decisions
        .iter()
        .filter_map(|(id, decision)| match decision {
            CallDecision::Refuse { cause, .. } => Some((*id, *cause)),
            CallDecision::Send(_) => None,
        })
        .collect()
}

/// Dispatches one call; returns its grant if it gets one at once.
fn send(dispatcher: &mut DirectDispatcher, call: PendingCall, now: Instant) -> Option<CallGrant> {
    let id = call.id;
    dispatcher.enqueue(call, now);
    let grant = granted(&dispatcher.dispatch(now)).pop().map(|(_, grant)| grant);
    if grant.is_none() {
        dispatcher.cancel(id, now);
    }
    grant
}

/// Fills all upstreams with long prompts of a team until a call has to wait.
fn fill(dispatcher: &mut DirectDispatcher, team: &str, now: Instant) -> Vec<CallGrant> {
    let mut grants = Vec::new();
    for id in 1_000..2_000 {
        match send(dispatcher, call(id, team, prompt(id, 0, 2_000), now), now) {
            Some(grant) => grants.push(grant),
            None => return grants,
        }
    }
    grants
}

fn report(sequence: u64, loads: Vec<(UpstreamId, PeerLoad)>) -> PeerReport {
    let report = PeerReport::new("router-2".into(), ([127, 0, 0, 1], 7400).into(), 1, sequence);
    let revision = StoreRevision::new(0, 1);
    PeerReport { operators: revision, upstreams: revision, loads, ..report }
}

/// Guards against calls with a shared prompt part being spread over engines, each of which has to
/// read it.
#[gtest]
fn dispatch_shared_part_at_one_upstream() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a", "b", "c", "d"], now);
    let chosen: Vec<UpstreamId> = (0..6)
        .filter_map(|id| {
            let shape = prompt(7, 4_000, 300);
            send(&mut dispatcher, call(id, "team", shape, now), now).map(|grant| grant.upstream)
        })
        .collect();
    assert_that!(chosen.len(), eq(6));
    assert_that!(chosen, each(eq(&chosen[0])));
}

/// Guards against routers that prefer different engines for the same prompt part.
#[gtest]
fn dispatch_shared_part_alike_at_all_routers() {
    let now = Instant::now();
    for part in 0..20 {
        let mut chosen = Vec::new();
        for node in ["router-1", "router-2"] {
            let mut dispatcher =
                DirectDispatcher::new(node.into(), "caerdydd".into(), regions(), fleet_bounds());
            dispatcher.apply(&configuration(None), now);
            for id in ["a", "b", "c", "d", "e"] {
                dispatcher
                    .apply(&ViewChange::Upstream(id.into(), upstream_entry("model", 128)), now);
            }
            let shape = prompt(part, 4_000, 300);
            chosen.push(send(&mut dispatcher, call(1, "team", shape, now), now));
        }
        let names: Vec<_> = chosen.iter().flatten().map(|grant| &grant.upstream).collect();
        assert_that!(names.len(), eq(2));
        expect_that!(names[0], eq(names[1]));
    }
}

/// Guards against all routers sending to the one engine that looks idle in stale reports.
#[gtest]
fn dispatch_stale_reports_spread_over_upstreams() {
    let now = Instant::now();
    let names: Vec<String> = (0..20).map(|number| format!("engine-{number}")).collect();
    let idle = &names[0];
    let busy = PeerLoad { running: 10, waiting_tokens: 5_000, held_tokens: 50_000 };
    let loads: Vec<(UpstreamId, PeerLoad)> =
        names[1..].iter().map(|name| (name.as_str().into(), busy)).collect();
    let mut at_idle = 0;
    for router in 0..20 {
        let upstreams: Vec<&str> = names.iter().map(String::as_str).collect();
        let mut dispatcher = fleet(&upstreams, now);
        dispatcher.record_report(report(1, loads.clone()), now);
        let grant = send(&mut dispatcher, call(router, "team", prompt(router, 0, 500), now), now);
        at_idle += u32::from(grant.is_some_and(|grant| *grant.upstream == **idle));
    }
    expect_that!(at_idle, le(8));
}

/// Guards against a queue at an engine that makes every first event late.
#[gtest]
fn dispatch_full_upstream_refuses() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a"], now);
    let grants = fill(&mut dispatcher, "team", now);
    // At 70 tokens a millisecond, the objective allows about ten prompts of 2,000 tokens.
    assert_that!(grants.len(), all!(ge(5), le(17)));
    dispatcher.enqueue(call(1, "team", prompt(1, 0, 2_000), now), now);
    assert_that!(dispatcher.dispatch(now), is_empty());
    let later = now + OBJECTIVE;
    assert_that!(
        refused(&dispatcher.dispatch(later)),
        elements_are![eq(&(1, RefusalCause::NoCapacity))]
    );
}

/// Creates a dispatcher among 29 routers with one plain upstream of six slots.
fn plain_fleet(now: Instant) -> DirectDispatcher {
    let mut dispatcher = fleet(&[], now);
    dispatcher.set_members(29);
    dispatcher.apply(&ViewChange::Upstream("plain".into(), upstream_entry("booking", 6)), now);
    dispatcher
}

/// Dispatches plain calls until one has to wait; returns how many were sent.
fn fill_plain(dispatcher: &mut DirectDispatcher, now: Instant) -> usize {
    let plain = |id| PendingCall {
        service: "booking".into(),
        prompt: None,
        ..call(id, "team", PromptShape::default(), now)
    };
    (0..100).take_while(|id| send(dispatcher, plain(*id), now).is_some()).count()
}

/// Guards against idle slots of a plain upstream while the callers of one router wait.
#[gtest]
fn dispatch_plain_free_slots_above_share() {
    let now = Instant::now();
    let mut dispatcher = plain_fleet(now);
    assert_that!(fill_plain(&mut dispatcher, now), eq(6));
}

/// Guards against many routers filling the short queue of a plain upstream at the same moment.
#[gtest]
fn dispatch_plain_taken_slots_within_share() {
    let now = Instant::now();
    let mut dispatcher = plain_fleet(now);
    let taken = PeerLoad { running: 6, ..PeerLoad::default() };
    dispatcher.record_report(report(1, vec![("plain".into(), taken)]), now);
    assert_that!(fill_plain(&mut dispatcher, now), eq(1));
}

/// Guards against a retry delay that exceeds the call's objective.
#[gtest]
fn dispatch_refusal_sets_retry_within_objective() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a"], now);
    fill(&mut dispatcher, "team", now);
    dispatcher.enqueue(call(1, "team", prompt(1, 0, 2_000), now), now);
    let decisions = dispatcher.dispatch(now + OBJECTIVE);
    let Some((_, CallDecision::Refuse { retry_after, .. })) = decisions.first() else {
        panic!("the call was not refused: {decisions:?}");
    };
    assert_that!(*retry_after, all!(gt(Duration::ZERO), lt(OBJECTIVE)));
}

/// Guards against a flooding team taking the capacity of a team with few calls.
#[gtest]
fn dispatch_team_with_least_use_first() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a"], now);
    let grants = fill(&mut dispatcher, "flood", now);
    dispatcher.enqueue(call(1, "flood", prompt(1, 0, 2_000), now), now);
    dispatcher.enqueue(call(2, "small", prompt(2, 0, 2_000), now), now);
    dispatcher.record_end(grants[0].id, CallOutcome::Completed, false, now);
    let ids: Vec<CallId> =
        granted(&dispatcher.dispatch(now)).into_iter().map(|(id, _)| id).collect();
    assert_that!(ids, elements_are![eq(&2)]);
}

/// Guards against engines being filled by teams above the fair level.
#[gtest]
fn dispatch_team_above_fair_level_leaves_capacity() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a"], now);
    dispatcher.apply(&configuration(Some(2_000.0)), now);
    send(&mut dispatcher, call(1, "small", prompt(1, 0, 100), now), now);
    send(&mut dispatcher, call(2, "flood", prompt(2, 0, 9_000), now), now);
    dispatcher.refresh_from_peers(now);
    fill(&mut dispatcher, "flood", now);
    let shape = prompt(3, 0, 2_000);
    expect_that!(send(&mut dispatcher, call(3, "flood", shape.clone(), now), now), none());
    expect_that!(send(&mut dispatcher, call(4, "small", shape, now), now), some(anything()));
}

/// Guards against routers that each fill an engine as if they were alone.
#[gtest]
fn dispatch_counts_load_of_peers() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a"], now);
    let load = PeerLoad { running: 10, waiting_tokens: 60_000, held_tokens: 60_000 };
    dispatcher.record_report(report(1, vec![("a".into(), load)]), now);
    expect_that!(send(&mut dispatcher, call(1, "team", prompt(1, 0, 2_000), now), now), none());
    dispatcher.record_report(report(2, Vec::new()), now);
    expect_that!(
        send(&mut dispatcher, call(2, "team", prompt(2, 0, 2_000), now), now),
        some(anything())
    );
}

/// Guards against a report that arrives late overwriting a newer one.
#[gtest]
fn record_report_ignores_older_report() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a"], now);
    let load = PeerLoad { running: 10, waiting_tokens: 60_000, held_tokens: 60_000 };
    dispatcher.record_report(report(5, Vec::new()), now);
    dispatcher.record_report(report(4, vec![("a".into(), load)]), now);
    assert_that!(dispatcher.upstreams()["a"].peers, eq(PeerLoad::default()));
}

/// Guards against the load of a router that stopped reporting being counted for ever.
#[gtest]
fn refresh_from_peers_forgets_silent_peer() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a"], now);
    let load = PeerLoad { running: 10, waiting_tokens: 60_000, held_tokens: 60_000 };
    dispatcher.record_report(report(1, vec![("a".into(), load)]), now);
    dispatcher.refresh_from_peers(now + Duration::from_secs(2));
    assert_that!(dispatcher.upstreams()["a"].peers, eq(PeerLoad::default()));
}

/// Guards against all routers together sending a cold upstream more calls than it can take.
#[gtest]
fn dispatch_cold_upstream_within_share() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a"], now);
    let cold = UpstreamEntry { cold_left: Duration::from_secs(5), ..upstream_entry("model", 128) };
    dispatcher.apply(&ViewChange::Upstream("a".into(), cold), now);
    let mut sent = 0;
    for id in 0..100 {
        let at = now + Duration::from_millis(9 * id);
        let shape = prompt(id, 0, 100);
        sent += usize::from(send(&mut dispatcher, call(id, "team", shape, at), at).is_some());
    }
    // Three routers share the bound for a second.
    let bound = (COLD_RATE * 1.5 + 5.0) / 3.0;
    assert_that!(sent, all!(ge(1), le(bound as usize)));
}

/// Guards against full load on an upstream that restarted under its old id.
#[gtest]
fn apply_restarted_upstream_is_cold() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a"], now);
    let started = Some(SystemTime::UNIX_EPOCH + Duration::from_secs(9));
    let restarted = UpstreamEntry { started, ..upstream_entry("model", 128) };
    dispatcher.apply(&ViewChange::Upstream("a".into(), restarted), now);
    expect_that!(dispatcher.upstreams()["a"].cold.is_cold(now + Duration::from_secs(2)), eq(true));
    expect_that!(dispatcher.upstreams()["a"].cold.is_cold(now + Duration::from_secs(4)), eq(false));
}

/// Guards against full load on a data centre's upstreams that became cold while it was out.
#[gtest]
fn apply_taken_back_data_centre_is_cold() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a"], now);
    dispatcher.apply(&ViewChange::TakenOut("caerdydd".into()), now);
    expect_that!(send(&mut dispatcher, call(1, "team", prompt(1, 0, 9), now), now), none());
    dispatcher.apply(&ViewChange::TakenBack("caerdydd".into()), now);
    expect_that!(dispatcher.upstreams()["a"].cold.is_cold(now + Duration::from_secs(2)), eq(true));
}

/// Guards against new calls to an upstream that announced its shutdown.
#[gtest]
fn dispatch_leaving_upstream_gets_nothing() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a"], now);
    let leaving = UpstreamEntry { leaving: true, ..upstream_entry("model", 128) };
    dispatcher.apply(&ViewChange::Upstream("a".into(), leaving), now);
    dispatcher.enqueue(call(1, "team", prompt(1, 0, 9), now), now);
    assert_that!(
        refused(&dispatcher.dispatch(now + OBJECTIVE)),
        elements_are![eq(&(1, RefusalCause::NoUpstream))]
    );
}

/// Guards against removing an upstream at once when its entry expired during an outage of the
/// store, and against keeping one that is gone for too long.
#[gtest]
fn apply_gone_after_outage_keeps_upstream_briefly() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a"], now);
    dispatcher.record_store_recovery(now);
    dispatcher.apply(&ViewChange::UpstreamGone("a".into()), now);
    expect_that!(dispatcher.upstreams().len(), eq(1));
    dispatcher.remove_expired(now + Duration::from_secs(2));
    expect_that!(dispatcher.upstreams().len(), eq(0));
}

/// Guards against ignoring the removal of an entry without a preceding outage.
#[gtest]
fn apply_gone_removes_upstream() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a"], now);
    dispatcher.apply(&ViewChange::UpstreamGone("a".into()), now);
    assert_that!(dispatcher.upstreams().len(), eq(0));
}

/// Guards against a call that crashes every upstream that runs it.
#[gtest]
fn dispatch_call_after_three_crashes_refuses() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a", "b", "c", "d"], now);
    for id in 0..3 {
        let suspect = PendingCall { fingerprint: 77, ..call(id, "team", prompt(id, 0, 9), now) };
        let grant = send(&mut dispatcher, suspect, now).expect("the call gets an upstream");
        dispatcher.record_end(grant.id, CallOutcome::Broken, false, now);
    }
    dispatcher
        .enqueue(PendingCall { fingerprint: 77, ..call(9, "team", prompt(9, 0, 9), now) }, now);
    assert_that!(
        refused(&dispatcher.dispatch(now)),
        elements_are![eq(&(9, RefusalCause::Suspect))]
    );
}

/// Guards against refusing a call that was cut off by broken engines but was answered between.
#[gtest]
fn dispatch_call_answered_between_failures_is_sent() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a", "b", "c", "d", "e"], now);
    let outcomes =
        [CallOutcome::Broken, CallOutcome::Broken, CallOutcome::Completed, CallOutcome::Broken];
    for (id, outcome) in (0..).zip(outcomes) {
        let suspect = PendingCall { fingerprint: 77, ..call(id, "team", prompt(id, 0, 9), now) };
        let grant = send(&mut dispatcher, suspect, now).expect("the call gets an upstream");
        dispatcher.record_end(grant.id, outcome, false, now);
    }
    let again = PendingCall { fingerprint: 77, ..call(9, "team", prompt(9, 0, 9), now) };
    assert_that!(send(&mut dispatcher, again, now), some(anything()));
}

/// Guards against calls that crash every upstream which answers them and have only a part of their
/// prompts in common, so that no fingerprint is seen twice.
#[gtest]
fn dispatch_part_after_three_crashes_refuses() {
    const POISON_PART: PromptPartId = 7;
    let start = Instant::now();
    let mut dispatcher = fleet(&["a", "b", "c", "d"], start);
    let mut crashed = Vec::new();
    for id in 0..3 {
        let now = start + Duration::from_secs(id);
        let crashing = call(id, "team", prompt(POISON_PART, 400, 9), now);
        let crashing = PendingCall { tried: crashed.clone(), ..crashing };
        let grant = send(&mut dispatcher, crashing, now).expect("the call gets an upstream");
        dispatcher.record_end(grant.id, CallOutcome::Broken, false, now);
        crashed.push(grant.upstream);
    }
    let now = start + Duration::from_secs(3);
    dispatcher.refresh_from_peers(now);
    dispatcher.enqueue(call(9, "team", prompt(POISON_PART, 400, 9), now), now);
    assert_that!(
        refused(&dispatcher.dispatch(now)),
        elements_are![eq(&(9, RefusalCause::Suspect))]
    );
    assert_that!(
        send(&mut dispatcher, call(10, "team", prompt(8, 400, 9), now), now),
        some(anything())
    );
}

/// Guards against ignoring crashes that other routers report.
#[gtest]
fn dispatch_call_that_crashed_elsewhere_refuses() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a"], now);
    let peer = PeerReport { suspects: vec![(77, 3)], ..report(1, Vec::new()) };
    dispatcher.record_report(peer, now);
    dispatcher
        .enqueue(PendingCall { fingerprint: 77, ..call(9, "team", prompt(9, 0, 9), now) }, now);
    assert_that!(
        refused(&dispatcher.dispatch(now)),
        elements_are![eq(&(9, RefusalCause::Suspect))]
    );
}

/// Guards against retries beyond this router's share of the fleet's budget.
#[gtest]
fn dispatch_retries_within_budget() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a", "b", "c"], now);
    let mut sent = 0;
    for id in 0..50 {
        let retry =
            PendingCall { charge: BudgetCharge::Retry, ..call(id, "team", prompt(id, 0, 1), now) };
        sent += usize::from(send(&mut dispatcher, retry, now).is_some());
    }
    // No first calls were counted, so only a third of the slack of ten may be used.
    assert_that!(sent, all!(ge(1), le(3)));
}

/// Guards against a retry at the upstream that failed.
#[gtest]
fn dispatch_retry_avoids_tried_upstream() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a", "b"], now);
    let shape = prompt(7, 100, 10);
    let first = send(&mut dispatcher, call(1, "team", shape.clone(), now), now)
        .expect("the call gets an upstream");
    let again = PendingCall {
        charge: BudgetCharge::Retry,
        tried: vec![Arc::clone(&first.upstream)],
        ..call(1, "team", shape, now)
    };
    let second = send(&mut dispatcher, again, now).expect("the call gets the other upstream");
    assert_that!(second.upstream, not(eq(&first.upstream)));
}

/// Guards against further calls to an upstream that cannot be reached.
#[gtest]
fn record_end_unreachable_backs_off_upstream() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a", "b"], now);
    let shape = prompt(7, 100, 10);
    let first = send(&mut dispatcher, call(1, "team", shape.clone(), now), now)
        .expect("the call gets an upstream");
    let down = dispatcher.record_end(first.id, CallOutcome::Unreachable, false, now);
    expect_that!(down.as_ref(), some(eq(&first.upstream)));
    let second = send(&mut dispatcher, call(2, "team", shape, now), now)
        .expect("the call gets the other upstream");
    expect_that!(second.upstream, not(eq(&first.upstream)));
}

/// Guards against capacity that is not released when callers leave.
#[gtest]
fn record_end_abandoned_frees_capacity() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a"], now);
    let grants = fill(&mut dispatcher, "team", now);
    let count = grants.len();
    for grant in grants {
        dispatcher.record_end(grant.id, CallOutcome::Abandoned, false, now);
    }
    expect_that!(dispatcher.upstreams()["a"].own, eq(PeerLoad::default()));
    expect_that!(fill(&mut dispatcher, "team", now).len(), eq(count));
}

/// Guards against a call running outside the regions that its route and its team allow.
#[gtest]
fn dispatch_homes_elsewhere_refuses() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a"], now);
    let homed = |id, homes: &[&str]| PendingCall {
        homes: Some(homes.iter().map(|home| (*home).into()).collect()),
        ..call(id, "team", prompt(id, 0, 100), now)
    };
    expect_that!(send(&mut dispatcher, homed(1, &["cymru", "bkk"]), now), some(anything()));
    for (id, homes) in [(2, &["bkk"][..]), (3, &[][..])] {
        dispatcher.enqueue(homed(id, homes), now);
        let decisions = dispatcher.dispatch(now + OBJECTIVE);
        expect_that!(refused(&decisions), elements_are![eq(&(id, RefusalCause::NoUpstream))]);
    }
}

/// Guards against a slow router that takes its own delay for a lack of capacity, so that its team
/// gets less of the engines than teams at other routers.
#[gtest]
fn dispatch_call_delayed_at_router_waits_like_others() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a"], now);
    let grants = fill(&mut dispatcher, "flood", now);
    let delayed = now + Duration::from_millis(90);
    dispatcher.enqueue(call(1, "team", prompt(1, 0, 2_000), now), delayed);
    assert_that!(dispatcher.dispatch(delayed), is_empty());
    dispatcher.record_end(grants[0].id, CallOutcome::Completed, false, delayed);
    assert_that!(granted(&dispatcher.dispatch(delayed)), len(eq(1)));
}

/// Guards against calls that are sent although the router's own delay alone makes them late.
#[gtest]
fn dispatch_call_delayed_past_objective_is_refused() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a"], now);
    let grants = fill(&mut dispatcher, "flood", now);
    dispatcher.record_end(grants[0].id, CallOutcome::Completed, false, now);
    let delayed = now + OBJECTIVE;
    dispatcher.enqueue(call(1, "team", prompt(1, 0, 2_000), now), delayed);
    let decisions = dispatcher.dispatch(delayed);
    assert_that!(refused(&decisions), elements_are![eq(&(1, RefusalCause::NoCapacity))]);
}

/// Guards against a slow router that takes its own delay in reading answers for slow engines, and
/// then finds no capacity at engines that take calls of all other routers.
#[gtest]
fn record_first_event_own_delay_keeps_read_rate() {
    let now = Instant::now();
    let rate_after = |waited: u64, own_delay: u64| {
        let mut dispatcher = fleet(&["a"], now);
        for id in 1..50 {
            let grant = send(&mut dispatcher, call(id, "team", prompt(id, 0, 4_000), now), now);
            let grant = grant.expect("the engine is idle").id;
            let (waited, own_delay) =
                (Duration::from_millis(waited), Duration::from_millis(own_delay));
            dispatcher.record_first_event(grant, waited, own_delay, now);
            dispatcher.record_end(grant, CallOutcome::Completed, false, now);
        }
        dispatcher.upstreams()["a"].read_rate()
    };
    let in_time = rate_after(90, 0);
    expect_that!(rate_after(190, 100), near(in_time, 0.01));
    expect_that!(rate_after(190, 0), lt(0.5 * in_time));
}

/// Guards against a pending call that keeps candidates of an older view.
#[gtest]
fn dispatch_waiting_call_takes_new_upstream() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a", "b"], now);
    fill(&mut dispatcher, "flood", now);
    dispatcher.enqueue(call(1, "team", prompt(1, 0, 2_000), now), now);
    assert_that!(dispatcher.dispatch(now), is_empty());
    dispatcher.apply(&ViewChange::UpstreamGone("a".into()), now);
    dispatcher.apply(&ViewChange::Upstream("c".into(), upstream_entry("model", 128)), now);
    let sent = granted(&dispatcher.dispatch(now));
    assert_that!(sent.len(), eq(1));
    expect_that!(*sent[0].1.upstream, eq("c"));
}

/// Guards against a pending call that gets no decision when its candidate has capacity again.
#[gtest]
fn dispatch_waiting_call_takes_freed_capacity() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a", "b"], now);
    let grants = fill(&mut dispatcher, "flood", now);
    dispatcher.enqueue(call(1, "team", prompt(1, 0, 2_000), now), now);
    assert_that!(dispatcher.dispatch(now), is_empty());
    for grant in grants.iter().filter(|grant| *grant.upstream == *"b") {
        dispatcher.record_end(grant.id, CallOutcome::Completed, false, now);
    }
    let sent = granted(&dispatcher.dispatch(now));
    assert_that!(sent.len(), eq(1));
    expect_that!(*sent[0].1.upstream, eq("b"));
}

/// Counts the calls that a router with filled upstreams sends when the first events of its calls
/// are due, `after` the calls were sent, and lie at it for `own_delay` before they are read.
fn calls_sent_when_events_are_due(own_delay: Duration, after: Duration) -> usize {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a"], now);
    let grants = fill(&mut dispatcher, "flood", now);
    let last_wait = grants.last().expect("the upstream took calls").expected_wait;
    let later = now + last_wait + after;
    dispatcher.record_first_event(grants[0].id, last_wait, own_delay, later);
    dispatcher.refresh_from_peers(later);
    fill(&mut dispatcher, "team", later).len()
}

/// Guards against a slow router that takes first events which it has not read yet for prompts that
/// still wait, and so refuses calls that its upstreams have capacity for.
#[gtest]
fn dispatch_call_first_events_unread_uses_upstream() {
    let in_time = calls_sent_when_events_are_due(Duration::ZERO, Duration::from_millis(20));
    let unread =
        calls_sent_when_events_are_due(Duration::from_millis(300), Duration::from_millis(20));
    expect_that!(in_time, le(2));
    expect_that!(unread, ge(8));
}

/// Guards against an upstream being taken for idle by a slow router when its first events are
/// overdue for longer than they can lie at the router.
#[gtest]
fn dispatch_call_first_events_overdue_waits() {
    let own_delay = Duration::from_millis(300);
    let overdue = calls_sent_when_events_are_due(own_delay, Duration::from_millis(700));
    expect_that!(overdue, le(2));
}

/// Guards against upstreams that stay full after a flood: a caller may leave after its call was
/// granted an upstream and before the router read that decision.
#[gtest]
fn cancel_granted_call_frees_upstream() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["a"], now);
    let id = 1;
    dispatcher.enqueue(call(id, "team", prompt(1, 0, 2_000), now), now);
    assert_that!(granted(&dispatcher.dispatch(now)), len(eq(1)));
    dispatcher.cancel(id, now);
    expect_that!(dispatcher.granted(), eq(0));
    expect_that!(dispatcher.upstreams()["a"].own, eq(PeerLoad::default()));
}
