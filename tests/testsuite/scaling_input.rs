//! What a router knows about the services that are scaled.

use std::sync::Arc;
use std::time::{Duration, Instant};

use godwitcrank::decision::direct::{
    CallDecision, CallOutcome, DirectDispatcher, EngineCounts, EngineRate, EngineSample,
    PeerReport, PendingCall, PromptPart, PromptShape, ScalingInput, ServiceWork, TeamWorkRate,
};
use godwitcrank::ids::CallId;
use godwitcrank::protocol::decode_message;
use godwitcrank::routing::{RawScalingLimits, RouteConfiguration, UpstreamEntry, ViewChange};
use googletest::prelude::*;
use indexmap::IndexMap;

use super::support::direct_path::{
    fleet_bounds, pending_call, service_configuration, upstream_entry,
};

/// Work of a call of these tests, in tokens.
const CALL_WORK: f64 = 1_000.0;

/// Time over which rates are measured, in seconds.
const WINDOW_S: f64 = 2.0;

fn configuration(is_scaled: bool) -> ViewChange {
    let ViewChange::Configuration(configuration) =
        service_configuration("model", Some(300_000), None)
    else {
        panic!("no configuration");
    };
    let mut configuration = RouteConfiguration::clone(&configuration);
    let raw = RawScalingLimits { minimum: 1, maximum: 9, boot_time: Duration::from_secs(10) };
    let limits = raw.try_into().expect("the limits are valid");
    configuration.services[0].scaling = is_scaled.then_some(limits);
    ViewChange::Configuration(Arc::new(configuration))
}

fn engine(data_centre: &str) -> UpstreamEntry {
    UpstreamEntry { data_centre: data_centre.into(), ..upstream_entry("model", 16) }
}

/// Creates the dispatcher of a router in `caerdydd`, with an engine there and one in `bkk-a`.
fn fleet(is_scaled: bool, now: Instant) -> DirectDispatcher {
    let mut dispatcher = DirectDispatcher::new(
        "router-1".into(),
        "caerdydd".into(),
        IndexMap::new(),
        fleet_bounds(),
    );
    dispatcher.apply(&configuration(is_scaled), now);
    for (id, data_centre) in [("i-0", "caerdydd"), ("i-1", "bkk-a")] {
        dispatcher.apply(&ViewChange::Upstream(id.into(), engine(data_centre)), now);
    }
    dispatcher.set_members(2);
    dispatcher.refresh_from_peers(now);
    dispatcher
}

fn call(id: CallId, team: &str, now: Instant) -> PendingCall {
    let parts = vec![PromptPart { id, tokens: 800 }];
    let prompt = PromptShape { tokens_in: 800, tokens_out: 100, parts };
    PendingCall { team: Some(team.into()), ..pending_call(id, "model", Some(prompt), now) }
}

fn send(dispatcher: &mut DirectDispatcher, call: PendingCall, now: Instant) -> CallDecision {
    dispatcher.enqueue(call, now);
    dispatcher.dispatch(now).pop().expect("a decision").1
}

fn work(data_centre: &str, admitted: u32, refused: u32) -> ServiceWork {
    ServiceWork {
        service: "model".into(),
        data_centre: data_centre.into(),
        teams: vec![TeamWorkRate { team: "clocks".into(), admitted, queued: 0, refused }],
    }
}

fn peer_report(sequence: u64, work: ServiceWork) -> PeerReport {
    let report = PeerReport::new("router-2".into(), ([127, 0, 0, 1], 9002).into(), 1, sequence);
    PeerReport { work: vec![work], ..report }
}

fn input(dispatcher: &DirectDispatcher, data_centre: &str, now: Instant) -> ScalingInput {
    let inputs = dispatcher.scaling_inputs(now);
    let found = inputs.into_iter().find(|(subject, _)| &*subject.data_centre == data_centre);
    found.expect("an input").1
}

/// Returns the demand of a team in a data centre and everywhere.
fn rate_of(dispatcher: &DirectDispatcher, data_centre: &str, now: Instant) -> (f64, f64) {
    let demand = input(dispatcher, data_centre, now).demand;
    let found = demand.iter().find(|demand| &*demand.team == "clocks");
    found.map_or((0.0, 0.0), |demand| (demand.here, demand.everywhere))
}

/// Guards against counting demand, or reporting it, where no service is scaled.
#[gtest]
fn scaling_inputs_not_scaled() {
    let now = Instant::now();
    let mut dispatcher = fleet(false, now);
    send(&mut dispatcher, call(1, "clocks", now), now);
    let mut report = PeerReport::new("router-1".into(), ([127, 0, 0, 1], 9001).into(), 1, 1);
    dispatcher.fill_report(&mut report, now);
    expect_that!(report.work, is_empty());
    expect_that!(dispatcher.scaling_inputs(now).len(), eq(0));
}

/// Guards against demand that is counted in the wrong data centre, twice, or for ever.
#[gtest]
fn scaling_inputs_own_and_peers() {
    let now = Instant::now();
    let mut dispatcher = fleet(true, now);
    for id in 0..4 {
        send(&mut dispatcher, call(id, "clocks", now), now);
    }
    dispatcher.record_report(peer_report(1, work("bkk-a", 5_000, 500)), now);
    expect_that!(rate_of(&dispatcher, "caerdydd", now), eq((4.0 * CALL_WORK / WINDOW_S, 7_500.0)));
    expect_that!(rate_of(&dispatcher, "bkk-a", now), eq((5_500.0, 7_500.0)));
    expect_that!(input(&dispatcher, "bkk-a", now).is_complete, eq(true));
    let later = now + Duration::from_millis(2_200);
    expect_that!(rate_of(&dispatcher, "caerdydd", later), eq((0.0, 0.0)));
    expect_that!(input(&dispatcher, "caerdydd", later).age, eq(Duration::from_millis(2_200)));
}

/// Guards against demand that is lost on the way between routers.
#[gtest]
fn fill_report_work_is_received() {
    let now = Instant::now();
    let mut dispatcher = fleet(true, now);
    send(&mut dispatcher, call(1, "clocks", now), now);
    let mut report = PeerReport::new("router-1".into(), ([127, 0, 0, 1], 9001).into(), 1, 1);
    dispatcher.fill_report(&mut report, now);
    let bytes = rmp_serde::to_vec(&report).expect("the report can be encoded");
    let received: PeerReport = decode_message(&bytes).expect("the report can be decoded");
    expect_that!(received.work, eq(&vec![work("caerdydd", 500, 0)]));
}

/// Guards against demand that nobody serves: that of a data centre that is taken out, and that of
/// one without engines.
#[gtest]
fn scaling_inputs_demand_from_elsewhere() {
    let now = Instant::now();
    let mut dispatcher = fleet(true, now);
    dispatcher.record_report(peer_report(1, work("abz", 6_000, 0)), now);
    expect_that!(rate_of(&dispatcher, "caerdydd", now).0, eq(3_000.0));
    expect_that!(rate_of(&dispatcher, "bkk-a", now).0, eq(3_000.0));
    dispatcher.apply(&ViewChange::TakenOut("bkk-a".into()), now);
    dispatcher.record_report(peer_report(2, work("bkk-a", 6_000, 0)), now);
    expect_that!(rate_of(&dispatcher, "caerdydd", now).0, eq(6_000.0));
    expect_that!(rate_of(&dispatcher, "bkk-a", now).0, eq(0.0));
    expect_that!(input(&dispatcher, "bkk-a", now).is_taken_out, eq(true));
    expect_that!(input(&dispatcher, "caerdydd", now).data_centres, eq(1));
}

/// Guards against taking a part of the routers for all, and an old report for a new one.
#[gtest]
fn scaling_inputs_missing_router() {
    let now = Instant::now();
    let mut dispatcher = fleet(true, now);
    expect_that!(input(&dispatcher, "caerdydd", now).is_complete, eq(false));
    dispatcher.record_report(peer_report(1, work("caerdydd", 4_000, 0)), now);
    expect_that!(input(&dispatcher, "caerdydd", now).is_complete, eq(true));
    let later = now + Duration::from_millis(3_001);
    let input = input(&dispatcher, "caerdydd", later);
    expect_that!(input.is_complete, eq(false));
    expect_that!(input.age, eq(Duration::ZERO));
    expect_that!(input.demand, is_empty());
}

/// Guards against refused calls that are no demand, and against counting their retries again.
#[gtest]
fn scaling_inputs_refused() {
    let now = Instant::now();
    let mut dispatcher = fleet(true, now);
    for id in ["i-0", "i-1"] {
        dispatcher.apply(&ViewChange::UpstreamGone(id.into()), now);
    }
    for _ in 0..3 {
        dispatcher.enqueue(call(7, "clocks", now), now);
        expect_that!(rate_of(&dispatcher, "caerdydd", now).0, gt(0.0));
        let refused_at = now + Duration::from_millis(500);
        let decisions = dispatcher.dispatch(refused_at);
        expect_that!(matches!(decisions[0].1, CallDecision::Refuse { .. }), eq(true));
    }
    let later = now + Duration::from_millis(600);
    expect_that!(rate_of(&dispatcher, "caerdydd", later).0, eq(CALL_WORK / WINDOW_S));
}

/// Guards against engines that are counted although they leave, or as full although they are cold.
#[gtest]
fn scaling_inputs_engines() {
    let now = Instant::now();
    let mut dispatcher = fleet(true, now);
    let leaving = UpstreamEntry { leaving: true, ..engine("caerdydd") };
    let cold = UpstreamEntry { cold_left: Duration::from_secs(3), ..engine("caerdydd") };
    dispatcher.apply(&ViewChange::Upstream("i-2".into(), leaving), now);
    dispatcher.apply(&ViewChange::Upstream("i-3".into(), cold), now);
    let counts = EngineCounts { ready: 1, cold: 1, starting: 0, leaving: 1 };
    expect_that!(input(&dispatcher, "caerdydd", now).engines, eq(counts));
    let warm = now + Duration::from_secs(4);
    expect_that!(input(&dispatcher, "caerdydd", warm).engines.ready, eq(2));
}

/// Guards against an engine rate that is unknown while engines work, or far from what they do.
#[gtest]
fn scaling_inputs_engine_rate() {
    const TICK: Duration = Duration::from_millis(100);
    const RUN_TICKS: u64 = 4;
    let start = Instant::now();
    let mut dispatcher = fleet(true, start);
    expect_that!(input(&dispatcher, "caerdydd", start).engine_rate, none());
    let mut running: Vec<(u64, u64)> = Vec::new();
    for tick in 0..100 {
        let now = start + TICK * tick as u32;
        let (ended, rest) = running.into_iter().partition(|(end, _)| *end <= tick);
        running = rest;
        for (_, grant) in Vec::<(u64, u64)>::clone(&ended) {
            dispatcher.record_first_event(grant, Duration::from_millis(60), Duration::ZERO, now);
            dispatcher.record_end(grant, CallOutcome::Completed, false, now);
        }
        for id in 0..4 {
            if let CallDecision::Send(grant) =
                send(&mut dispatcher, call(tick * 10 + id, "clocks", now), now)
            {
                running.push((tick + RUN_TICKS, grant.id));
            }
        }
        dispatcher.refresh_from_peers(now);
    }
    // 40 calls a second, 16 at a time: the two engines have 32 slots, of which 0.9 are used.
    let full = 40.0 * CALL_WORK * (32.0 * 0.9 / 16.0) / 2.0;
    let rate = input(&dispatcher, "caerdydd", start + TICK * 100).engine_rate;
    expect_that!(rate, some(all!(gt(full * 0.6), lt(full))));
}

/// Guards against too high a rate of engines that refuse calls though slots are free, and against
/// a rate that few calls suggest.
#[gtest]
fn record_sample_utilisation() {
    let rate_at = |utilisation: f64, lacking: f64| {
        let start = Instant::now();
        let mut rate = EngineRate::default();
        for tick in 0..600 {
            let sample = EngineSample { ready: 4, admitted: 4_000.0, lacking, utilisation };
            rate.record(&sample, start + Duration::from_millis(100) * tick);
        }
        rate.get()
    };
    expect_that!(rate_at(1.0, 0.0), some(near(1_000.0, 1e-6)));
    expect_that!(rate_at(0.5, 400.0), some(near(1_000.0, 1e-6)));
    expect_that!(rate_at(0.5, 100.0), some(near(1_500.0, 1e-6)));
    expect_that!(rate_at(0.01, 0.0), none());
}

/// Guards against a data centre that is forgotten while all its engines boot again, and against one
/// that an odd entry names and that counts for ever.
#[gtest]
fn scaling_inputs_engines_gone() {
    let now = Instant::now();
    let mut dispatcher = fleet(true, now);
    dispatcher.apply(&ViewChange::UpstreamGone("i-1".into()), now);
    let count = |dispatcher: &mut DirectDispatcher, seconds: u64| {
        let later = now + Duration::from_secs(seconds);
        dispatcher.refresh_from_peers(later);
        dispatcher.scaling_inputs(later).len()
    };
    expect_that!(count(&mut dispatcher, 599), eq(2));
    expect_that!(count(&mut dispatcher, 600), eq(1));
}

/// Guards against a rate that rises after each shortage, so that engines are removed until the next
/// one: these engines lack capacity while half of their slots are free.
#[gtest]
fn record_sample_after_shortage() {
    const TICK: Duration = Duration::from_millis(100);
    let start = Instant::now();
    let mut rate = EngineRate::default();
    for tick in 0..100 {
        let sample = EngineSample { ready: 4, admitted: 4_000.0, lacking: 800.0, utilisation: 0.5 };
        rate.record(&sample, start + TICK * tick);
    }
    for tick in 100..1_000 {
        let sample = EngineSample { ready: 4, admitted: 2_800.0, lacking: 0.0, utilisation: 0.35 };
        rate.record(&sample, start + TICK * tick);
    }
    expect_that!(rate.get(), some(all!(gt(750.0), lt(1_100.0))));
}

/// Guards against engines that count as fully used because calls were refused for another reason
/// while they had nearly nothing to do.
#[gtest]
fn record_sample_shortage_of_idle_engines() {
    const TICK: Duration = Duration::from_millis(100);
    let start = Instant::now();
    let mut rate = EngineRate::default();
    for tick in 0..600 {
        let (lacking, utilisation) = if tick < 100 { (400.0, 0.02) } else { (0.0, 0.05) };
        let sample = EngineSample { ready: 4, admitted: 400.0, lacking, utilisation };
        rate.record(&sample, start + TICK * tick);
    }
    expect_that!(rate.get(), some(gt(250.0)));
}
