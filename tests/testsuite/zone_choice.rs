//! Calls that stay in the data centre of their router, and those that leave it.

use std::time::{Duration, Instant};

use godwitcrank::decision::direct::{
    CallCounts, CallDecision, CallOutcome, DirectDispatcher, PeerLoad, PeerReport, PendingCall,
    PromptPart, PromptShape, ReceivedLoad, Slowdown, StatedLoad, ZoneShare, ZoneWaits,
};
use godwitcrank::ids::{CallId, PromptPartId, UpstreamId};
use godwitcrank::routing::{UpstreamEntry, ViewChange};
use googletest::prelude::*;
use indexmap::IndexMap;

use super::support::direct_path::{
    fleet_bounds, pending_call, service_configuration, upstream_entry,
};
use super::support::engine_fleet::{
    CallRecord, DataCentrePlan, EngineFleet, EngineFleetPlan, OBJECTIVE, SpellPlan, share_of,
};

/// Seeds of the schedules.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=3;

/// Time between two adjustments of a share.
const STEP: Duration = Duration::from_millis(100);

/// Spells of about a fifth of the time.
const SPELLS: SpellPlan = SpellPlan {
    mean_gap: Duration::from_millis(2400),
    length: Duration::from_millis(600),
    factor: 2.5,
};

/// Slots of each engine.
const SLOTS: u32 = 128;

fn waits(inside: u64, outside: u64) -> ZoneWaits {
    let wait = |milliseconds| Some(Duration::from_millis(milliseconds));
    ZoneWaits { inside: wait(inside), outside: wait(outside) }
}

/// Adjusts a share every 100 ms by the same waits; returns its value after each second.
fn adjust_by(zone: &mut ZoneShare, waits: ZoneWaits, start: Instant, seconds: u32) -> Vec<f64> {
    zone.record_call(4_000, OBJECTIVE);
    (0..=10 * seconds)
        .map(|step| {
            zone.adjust(waits, start + STEP * step);
            zone.share()
        })
        .step_by(10)
        .collect()
}

/// Guards against calls that leave although the engines inside start them in time.
#[gtest]
fn adjust_room_inside_keeps_calls() {
    for waits in
        [waits(60, 40), waits(200, 45), ZoneWaits { inside: waits(400, 0).inside, outside: None }]
    {
        let shares = adjust_by(&mut ZoneShare::default(), waits, Instant::now(), 5);
        expect_that!(shares, each(eq(&0.0)), "{waits:?}");
    }
}

/// Guards against calls that leave for engines which are as busy: leaving costs more than it gains.
#[gtest]
fn adjust_outside_as_busy_keeps_calls() {
    for outside in [385, 400, 900] {
        let waits = waits(400, outside);
        let shares = adjust_by(&mut ZoneShare::default(), waits, Instant::now(), 5);
        expect_that!(shares, each(eq(&0.0)), "{outside} ms");
    }
}

/// Guards against all calls leaving at once, and against a share that stays when room is back.
#[gtest]
fn adjust_full_inside_moves_in_steps() {
    let start = Instant::now();
    let mut zone = ZoneShare::default();
    let shares = adjust_by(&mut zone, waits(400, 60), start, 3);
    expect_that!(shares[1], all!(gt(0.05), le(0.21)));
    expect_that!(shares[2] - shares[1], le(0.21));
    expect_that!(shares[3], gt(shares[2]));
    let shares = adjust_by(&mut zone, waits(100, 60), start + Duration::from_secs(4), 10);
    expect_that!(shares[1], all!(lt(shares[0]), gt(0.0)));
    expect_that!(shares[10], eq(0.0));
}

/// Guards against a pause of the process that counts as one large step.
#[gtest]
fn adjust_after_pause_moves_little() {
    let start = Instant::now();
    let mut zone = ZoneShare::default();
    adjust_by(&mut zone, waits(400, 60), start, 0);
    zone.adjust(waits(400, 60), start + Duration::from_secs(60));
    expect_that!(zone.share(), all!(gt(0.0), le(0.11)));
}

/// Returns a configuration whose cold engines take five calls a second: 0.8 of the rate times the
/// factor, and the slack.
fn cold_configuration() -> ViewChange {
    let change = service_configuration("model", Some(300_000), None);
    let ViewChange::Configuration(configuration) = change else { return change };
    let mut configuration = (*configuration).clone();
    configuration.services.iter_mut().for_each(|service| service.cold_rate = 1.0);
    ViewChange::Configuration(configuration.into())
}

/// Creates the dispatcher of the only router, in `caerdydd`, with engines `in-*` there and `out-*`
/// elsewhere.
fn fleet(engines: &[&str], now: Instant) -> DirectDispatcher {
    let mut dispatcher = DirectDispatcher::new(
        "router-1".into(),
        "caerdydd".into(),
        IndexMap::new(),
        fleet_bounds(),
    );
    dispatcher.apply(&cold_configuration(), now);
    for id in engines {
        dispatcher.apply(&ViewChange::Upstream((*id).into(), engine_entry(id)), now);
    }
    dispatcher.set_members(1);
    dispatcher
}

fn engine_entry(id: &str) -> UpstreamEntry {
    let data_centre = if id.starts_with("in-") { "caerdydd" } else { "bkk-a" };
    UpstreamEntry { data_centre: data_centre.into(), ..upstream_entry("model", SLOTS) }
}

/// Returns a call with a shared part of its prompt.
fn model_call(id: CallId, shared: PromptPartId, tokens: [u32; 2], now: Instant) -> PendingCall {
    let parts = vec![
        PromptPart { id: shared, tokens: tokens[0] },
        PromptPart { id: u64::MAX - id, tokens: tokens[1] },
    ];
    let prompt = PromptShape { tokens_in: tokens[0] + tokens[1], tokens_out: 50, parts };
    PendingCall { fingerprint: id * 7_919, ..pending_call(id, "model", Some(prompt), now) }
}

/// Dispatches a call; returns its upstream and grant.
fn send(
    dispatcher: &mut DirectDispatcher,
    call: PendingCall,
    now: Instant,
) -> Option<(UpstreamId, u64)> {
    let id = call.id;
    dispatcher.enqueue(call, now);
    let decision = dispatcher.dispatch(now).pop();
    if decision.is_none() {
        dispatcher.cancel(id, now);
    }
    match decision?.1 {
        CallDecision::Send(grant) => Some((grant.upstream, grant.id)),
        CallDecision::Refuse { .. } => None,
    }
}

/// Has one engine state that it runs as usual, which puts the choice in effect.
fn state_usual_speed(dispatcher: &mut DirectDispatcher, now: Instant) {
    let (_, grant) =
        send(dispatcher, model_call(1, 1, [0, 100], now), now).expect("an engine is free");
    let counts = CallCounts { running: 1, waiting: 0, slots: SLOTS };
    let load = StatedLoad::try_from(counts).expect("the counts are usable");
    let slowdown = Slowdown::try_from(100).expect("the slowdown is usable");
    let received = ReceivedLoad { load: load.with_slowdown(slowdown), at: now };
    dispatcher.record_stated_load(grant, received);
    dispatcher.record_end(grant, CallOutcome::Completed, false, now);
    dispatcher.refresh_from_peers(now);
}

/// Sends prompts of 2,000 tokens that share nothing until one has to wait; returns their engines.
fn fill(dispatcher: &mut DirectDispatcher, now: Instant) -> Vec<UpstreamId> {
    (100..200)
        .map_while(|id| send(dispatcher, model_call(id, id, [0, 2_000], now), now))
        .map(|(engine, _)| engine)
        .collect()
}

fn count_outside(engines: &[UpstreamId]) -> usize {
    engines.iter().filter(|engine| engine.starts_with("out-")).count()
}

/// Guards against a changed choice where no engine states a slowdown.
#[gtest]
fn dispatch_without_slowdown_uses_all_data_centres() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["in-1", "out-1"], now);
    dispatcher.refresh_from_peers(now);
    expect_that!(dispatcher.zone_shares(now).count(), eq(0));
    let engines = fill(&mut dispatcher, now);
    expect_that!(count_outside(&engines[..6]), ge(2));
}

/// Guards against calls that leave while there is room inside, and against calls that are refused
/// while there is room outside.
#[gtest]
fn dispatch_full_inside_uses_outside() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["in-1", "out-1"], now);
    state_usual_speed(&mut dispatcher, now);
    expect_that!(dispatcher.zone_shares(now).count(), eq(1));
    let engines = fill(&mut dispatcher, now);
    expect_that!(count_outside(&engines[..5]), eq(0));
    expect_that!(count_outside(&engines), ge(5));
    expect_that!(engines.len() - count_outside(&engines), ge(5));
}

/// Guards against calls to a data centre that was taken out, however full the own one is.
#[gtest]
fn dispatch_full_inside_avoids_taken_out() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["in-1", "out-1"], now);
    state_usual_speed(&mut dispatcher, now);
    dispatcher.apply(&ViewChange::TakenOut("bkk-a".into()), now);
    expect_that!(count_outside(&fill(&mut dispatcher, now)), eq(0));
}

/// Guards against a cold data centre that gets more than its bound. Load pattern: cold return.
#[gtest]
fn dispatch_full_inside_keeps_bound_of_cold_outside() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["in-1", "out-1"], now);
    state_usual_speed(&mut dispatcher, now);
    let cold = UpstreamEntry { cold_left: Duration::from_secs(5), ..engine_entry("out-1") };
    dispatcher.apply(&ViewChange::Upstream("out-1".into(), cold), now);
    dispatcher.refresh_from_peers(now);
    let zone = dispatcher.zone_shares(now).next().map(|(_, zone)| zone.waits());
    expect_that!(zone.expect("the choice is in effect").outside, none());
    expect_that!(count_outside(&fill(&mut dispatcher, now)), all!(ge(1), le(5)));
}

/// Guards against calls that wait for cold engines inside. Load pattern: cold return.
#[gtest]
fn dispatch_cold_inside_uses_outside() {
    let now = Instant::now();
    let mut dispatcher = fleet(&["in-1", "out-1"], now);
    state_usual_speed(&mut dispatcher, now);
    let cold = UpstreamEntry { cold_left: Duration::from_secs(5), ..engine_entry("in-1") };
    dispatcher.apply(&ViewChange::Upstream("in-1".into(), cold), now);
    dispatcher.refresh_from_peers(now);
    let engines = fill(&mut dispatcher, now);
    expect_that!(engines.len() - count_outside(&engines), le(5));
    expect_that!(count_outside(&engines), ge(5));
}

/// Guards against many routers that compare most of the few engines inside, and so send to the one
/// that looks idle in the same reports.
#[gtest]
fn dispatch_few_inside_spreads_over_engines() {
    const INSIDE: [&str; 4] = ["in-1", "in-2", "in-3", "in-4"];
    let now = Instant::now();
    let busy = PeerLoad { running: 10, waiting_tokens: 5_000, held_tokens: 50_000 };
    let loads: Vec<(UpstreamId, PeerLoad)> =
        INSIDE[1..].iter().map(|id| ((*id).into(), busy)).collect();
    let sent_to_idle = |router: u64| {
        let mut dispatcher = fleet(&INSIDE, now);
        dispatcher.apply(&ViewChange::Upstream("out-1".into(), engine_entry("out-1")), now);
        state_usual_speed(&mut dispatcher, now);
        let report = PeerReport::new("router-2".into(), ([127, 0, 0, 1], 7000).into(), 1, 1);
        dispatcher.record_report(PeerReport { loads: loads.clone(), ..report }, now);
        let mut call = model_call(1_000 + router, router, [0, 500], now);
        call.prompt.iter_mut().for_each(|prompt| prompt.parts.retain(|part| part.tokens > 0));
        send(&mut dispatcher, call, now).is_some_and(|(engine, _)| &*engine == "in-1")
    };
    let at_idle = (0..200).filter(|router| sent_to_idle(*router)).count();
    expect_that!(at_idle, all!(ge(80), le(120)));
}

/// Has the engine outside read a shared part of a prompt while the one inside leaves; then more
/// engines inside come.
fn read_outside(dispatcher: &mut DirectDispatcher, tokens: [u32; 2], now: Instant) {
    let leaving = UpstreamEntry { leaving: true, ..engine_entry("in-1") };
    dispatcher.apply(&ViewChange::Upstream("in-1".into(), leaving), now);
    let (engine, grant) =
        send(dispatcher, model_call(2, 7, tokens, now), now).expect("the engine outside is free");
    expect_that!(&*engine, eq("out-1"));
    dispatcher.record_end(grant, CallOutcome::Completed, false, now);
    for id in ["in-1", "in-2", "in-3"] {
        dispatcher.apply(&ViewChange::Upstream(id.into(), engine_entry(id)), now);
    }
}

/// Guards against a long prompt that is read again inside although an engine outside holds it, and
/// against a short one for which the call leaves.
#[gtest]
fn dispatch_cached_outside_weighs_reading() {
    let now = Instant::now();
    for (shared_tokens, expected) in [(300, "in-"), (18_000, "out-")] {
        let mut dispatcher = fleet(&["in-1", "out-1"], now);
        state_usual_speed(&mut dispatcher, now);
        read_outside(&mut dispatcher, [shared_tokens, 300], now);
        let call = model_call(3, 7, [shared_tokens, 300], now);
        let (engine, _) = send(&mut dispatcher, call, now).expect("an engine is free");
        expect_that!(&*engine, starts_with(expected), "{shared_tokens} tokens");
    }
}

/// Returns a factor on the load that swings by half around 1 in 20 s.
fn wave(at: Duration, phase: f64) -> f64 {
    1.0 + 0.5 * (std::f64::consts::TAU * (at.as_secs_f64() / 20.0 + phase)).sin()
}

/// Returns a fleet of three data centres of about 70 calls a second each, whose load is a wave with
/// a mean of 40 calls a second and a phase of its own.
fn waving_fleet() -> EngineFleetPlan {
    let rates: [fn(Duration) -> f64; 3] = [
        |at| 40.0 * wave(at, 0.0),
        |at| 40.0 * wave(at, 1.0 / 3.0),
        |at| 40.0 * wave(at, 2.0 / 3.0),
    ];
    let data_centres = ["a", "b", "c"].into_iter().zip(rates).map(|(name, call_rate)| {
        DataCentrePlan { name, routers: 4, engine_rates: vec![50.0, 70.0, 70.0, 90.0], call_rate }
    });
    EngineFleetPlan {
        seed: 0,
        duration: Duration::from_secs(40),
        data_centres: data_centres.collect(),
        spells: None,
        states_slowdown: true,
        shared_parts: 0,
        shared_tokens: 0,
        own_tokens: 4_000,
    }
}

/// Returns the records of the calls of all seeds.
fn run(plan: &EngineFleetPlan) -> Vec<CallRecord> {
    SEEDS.flat_map(|seed| EngineFleet::run(EngineFleetPlan { seed, ..plan.clone() })).collect()
}

/// Returns the records of the calls of one data centre.
fn of_data_centre(records: &[CallRecord], name: &str) -> Vec<CallRecord> {
    records.iter().filter(|record| record.home == name).cloned().collect()
}

/// Guards against calls that leave without need or are late for staying. Load pattern: wave in each
/// data centre, with and without spells of noise.
#[gtest]
fn wave_leaves_with_what_does_not_fit() {
    for (spells, largest_share) in [(None, 0.12), (Some(SPELLS), 0.2)] {
        let stated = EngineFleetPlan { spells, ..waving_fleet() };
        let unstated = EngineFleetPlan { states_slowdown: false, ..stated.clone() };
        let (stated, unstated) = (run(&stated), run(&unstated));
        expect_that!(share_of(&unstated, CallRecord::has_left), ge(0.5));
        expect_that!(share_of(&stated, CallRecord::has_left), le(largest_share));
        let in_time = |records: &[CallRecord]| share_of(records, CallRecord::is_in_time);
        expect_that!(in_time(&stated), ge(in_time(&unstated)));
    }
}

/// Guards against engines inside that all have to read what engines outside hold. Load pattern:
/// wave, with 30 shared parts.
#[gtest]
fn wave_with_shared_parts_starts_calls_in_time() {
    let plan = EngineFleetPlan {
        shared_parts: 30,
        shared_tokens: 2_500,
        own_tokens: 3_000,
        ..waving_fleet()
    };
    let records = run(&plan);
    expect_that!(share_of(&records, CallRecord::has_left), le(0.05));
    expect_that!(share_of(&records, CallRecord::is_in_time), ge(0.999));
}

/// Guards against calls that leave for one slow engine inside. Load pattern: constant at half of
/// the capacity, a slow engine among fast ones.
#[gtest]
fn slow_engine_among_fast_ones_keeps_calls() {
    let mut plan = waving_fleet();
    plan.data_centres[0].engine_rates = vec![20.0, 80.0, 80.0, 80.0];
    plan.data_centres.iter_mut().for_each(|data_centre| data_centre.call_rate = |_| 32.0);
    let records = run(&plan);
    expect_that!(share_of(&records, CallRecord::has_left), le(0.03));
    expect_that!(share_of(&records, CallRecord::is_in_time), ge(0.99));
}

/// Guards against many routers that see the same room elsewhere, fill it and make the callers there
/// late. Load pattern: step to 1.4 times the capacity of one data centre of 24 routers.
#[gtest]
fn many_routers_see_same_room() {
    let mut plan = waving_fleet();
    plan.duration = Duration::from_secs(20);
    let step = |at| if at > Duration::from_secs(5) { 100.0 } else { 40.0 };
    plan.data_centres = vec![
        DataCentrePlan { name: "a", routers: 24, engine_rates: vec![70.0; 4], call_rate: step },
        DataCentrePlan { name: "b", routers: 3, engine_rates: vec![70.0; 8], call_rate: |_| 70.0 },
    ];
    let records = run(&plan);
    let (surge, others) = (of_data_centre(&records, "a"), of_data_centre(&records, "b"));
    expect_that!(share_of(&surge, CallRecord::is_in_time), ge(0.99));
    expect_that!(share_of(&surge, CallRecord::has_left), all!(ge(0.2), le(0.45)));
    expect_that!(share_of(&others, CallRecord::is_in_time), ge(0.995));
    expect_that!(share_of(&others, CallRecord::has_left), le(0.1));
}
