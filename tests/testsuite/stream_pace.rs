//! Limit of the calls at an upstream by the pace of its streams.
//!
//! The load that these tests answer: a service whose upstreams are full, on whose routes the answers
//! differ in length several times. All of them get the same pace, so the longest miss their
//! deadline after they have used a slot for all their time, while the others are served.

use std::time::{Duration, Instant};

use godwitcrank::decision::direct::{
    CallDecision, CallOutcome, DirectDispatcher, EndedStream, PendingCall, PromptShape, StreamPace,
};
use godwitcrank::ids::{CallId, GrantId, RouteId};
use godwitcrank::routing::ViewChange;
use googletest::prelude::*;
use indexmap::IndexMap;

use super::support::direct_path::{
    fleet_bounds, pending_call, service_configuration, upstream_entry,
};

/// Time that a stream of these tests has.
const ALLOWED_TIME: Duration = Duration::from_secs(9);

/// Interval at which the limit is adjusted.
const TICK: Duration = Duration::from_millis(100);

/// Lengths of ten answers in a row, in writes; the longest takes several times the mean.
const ANSWER_WRITES: [u32; 10] = [8, 12, 16, 20, 25, 30, 38, 48, 60, 90];

/// An upstream of the service: its write interval grows with its calls.
#[derive(Clone, Copy)]
struct SimulatedUpstream {
    slots: f64,
    /// Time between two writes without other calls, and what each call adds.
    base: Duration,
    per_call: Duration,
}

impl SimulatedUpstream {
    fn write_time(&self, slot_fraction: f64) -> Duration {
        self.base + self.per_call.mul_f64(self.slots * slot_fraction)
    }
}

fn stream(route: &str, writes: u32, write_time: Duration) -> EndedStream {
    let time = write_time * (writes - 1);
    EndedStream {
        route: RouteId::from(route),
        writes: if time > ALLOWED_TIME {
            (ALLOWED_TIME.as_secs_f64() / write_time.as_secs_f64()) as u32
        } else {
            writes
        },
        time: time.min(ALLOWED_TIME),
        allowed_time: ALLOWED_TIME,
        is_complete: time <= ALLOWED_TIME,
    }
}

/// Runs full upstreams for `length`, forty streams a second; returns the write interval at the end.
fn run_full(pace: &mut StreamPace, upstream: SimulatedUpstream, length: Duration) -> Duration {
    let start = Instant::now();
    let ticks = (length.as_millis() / TICK.as_millis()) as u32;
    for tick in 0..ticks {
        let now = start + TICK * tick;
        let write_time = upstream.write_time(pace.slot_fraction());
        for number in 0..4 {
            let writes = ANSWER_WRITES[(4 * tick as usize + number) % ANSWER_WRITES.len()];
            pace.record_stream(&stream("long", writes, write_time), now);
        }
        pace.adjust(now);
    }
    upstream.write_time(pace.slot_fraction())
}

const SLOW_WHEN_FULL: SimulatedUpstream = SimulatedUpstream {
    slots: 64.0,
    base: Duration::from_millis(30),
    per_call: Duration::from_millis(3),
};

/// Guards against upstreams that run so many calls that the long answers of a route miss their
/// deadline: at least half of the longest tenth must be complete, as all answers are.
#[gtest]
fn adjust_slow_streams_long_answers_complete() {
    let mut pace = StreamPace::default();
    let write_time = run_full(&mut pace, SLOW_WHEN_FULL, Duration::from_secs(20));
    let long_answer_time = write_time * (ANSWER_WRITES[8] - 1);
    expect_that!(long_answer_time, all!(le(ALLOWED_TIME), ge(ALLOWED_TIME / 2)));
}

/// Guards against upstreams that are left idle although their streams are fast enough.
#[gtest]
fn adjust_fast_streams_keeps_slots() {
    let mut pace = StreamPace::default();
    let fast = SimulatedUpstream { per_call: Duration::from_micros(500), ..SLOW_WHEN_FULL };
    run_full(&mut pace, fast, Duration::from_secs(20));
    expect_that!(pace.slot_fraction(), eq(0.9));
}

/// Guards against a limit that stays low after its cause has gone.
#[gtest]
fn adjust_fast_after_slow_returns_slots() {
    let mut pace = StreamPace::default();
    run_full(&mut pace, SLOW_WHEN_FULL, Duration::from_secs(20));
    let fast = SimulatedUpstream { per_call: Duration::from_micros(500), ..SLOW_WHEN_FULL };
    run_full(&mut pace, fast, Duration::from_secs(5));
    expect_that!(pace.slot_fraction(), eq(0.9));
}

/// Guards against a limit without a lower bound: a route whose answers no pace would complete must
/// not take the service from the others.
#[gtest]
fn adjust_hopeless_route_keeps_slots() {
    let mut pace = StreamPace::default();
    let hopeless = SimulatedUpstream { base: Duration::from_secs(2), ..SLOW_WHEN_FULL };
    run_full(&mut pace, hopeless, Duration::from_secs(60));
    expect_that!(pace.slot_fraction(), eq(0.4));
}

/// Guards against a route that limits the service long after its last call.
#[gtest]
fn adjust_route_without_calls_is_forgotten() {
    let mut pace = StreamPace::default();
    let start = Instant::now();
    pace.record_stream(&stream("long", 90, Duration::from_millis(200)), start);
    expect_that!(pace.needed_write_time(), some(anything()));
    pace.adjust(start + Duration::from_secs(11));
    expect_that!(pace.needed_write_time(), none());
}

/// Guards against one route's answers that hide the needs of another: the limit follows the route
/// whose long answers need the fastest pace.
#[gtest]
fn needed_write_time_of_tightest_route() {
    let mut pace = StreamPace::default();
    let start = Instant::now();
    for _ in 0..50 {
        pace.record_stream(&stream("short", 4, Duration::from_millis(50)), start);
        pace.record_stream(&stream("long", 60, Duration::from_millis(50)), start);
    }
    let needed = pace.needed_write_time().expect("streams were recorded");
    expect_that!(needed, all!(le(ALLOWED_TIME / 60), ge(ALLOWED_TIME / 80)));
}

/// Creates the dispatcher of a single router with one engine of 64 slots. `work_rate` is so low
/// that a team with a few calls is above its fair level.
fn dispatcher(now: Instant) -> DirectDispatcher {
    let node = "router-1".into();
    let mut dispatcher =
        DirectDispatcher::new(node, "caerdydd".into(), IndexMap::new(), fleet_bounds());
    dispatcher.apply(&service_configuration("model", Some(1_000_000), Some(100.0)), now);
    let engine = upstream_entry("model", SLOW_WHEN_FULL.slots as u32);
    dispatcher.apply(&ViewChange::Upstream("engine".into(), engine), now);
    dispatcher.set_members(1);
    dispatcher
}

fn call(id: CallId, team: &str, now: Instant) -> PendingCall {
    let prompt = PromptShape { tokens_in: 10, tokens_out: 300, parts: Vec::new() };
    PendingCall { team: Some(team.into()), ..pending_call(id, "model", Some(prompt), now) }
}

/// Sends calls of a team until one has to wait; returns their grants.
fn fill(
    dispatcher: &mut DirectDispatcher,
    team: &str,
    first: CallId,
    now: Instant,
) -> Vec<GrantId> {
    let mut grants = Vec::new();
    for id in first..first + 200 {
        dispatcher.enqueue(call(id, team, now), now);
        match dispatcher.dispatch(now).pop() {
            Some((_, CallDecision::Send(grant))) => {
                dispatcher.record_first_event(
                    grant.id,
                    Duration::from_millis(30),
                    Duration::ZERO,
                    now,
                );
                grants.push(grant.id);
            }
            _ => {
                dispatcher.cancel(id, now);
                break;
            }
        }
    }
    grants
}

/// Guards against an engine that is filled to its last slot although its streams are too slow.
#[gtest]
fn dispatch_slow_streams_leaves_slots() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(start);
    let grants = fill(&mut dispatcher, "first", 1, start);
    let later = start + ALLOWED_TIME;
    for grant in &grants {
        dispatcher.record_stream(*grant, 40, false, later);
        dispatcher.record_end(*grant, CallOutcome::Abandoned, true, later);
    }
    for tick in 0..20 {
        dispatcher.refresh_from_peers(later + TICK * tick);
    }
    let refilled = fill(&mut dispatcher, "second", 1_000, later + TICK * 20);
    expect_that!(refilled.len() + 5, le(grants.len()));
}

/// Guards against a team far above the fair level that takes the slots as they become free, so that
/// a team which asks for little finds none.
#[gtest]
fn dispatch_flood_leaves_slots_for_small_team() {
    let start = Instant::now();
    let mut dispatcher = dispatcher(start);
    let mut flood = Vec::new();
    for round in 0..20 {
        let now = start + TICK * round;
        flood.extend(fill(&mut dispatcher, "flood", 1_000 * u64::from(round) + 1, now));
        dispatcher.refresh_from_peers(now);
    }
    let now = start + TICK * 20;
    for grant in flood.drain(..40) {
        dispatcher.record_end(grant, CallOutcome::Completed, false, now);
    }
    flood.extend(fill(&mut dispatcher, "flood", 50_000, now));
    expect_that!(flood.len(), le(SLOW_WHEN_FULL.slots as usize / 2));
    expect_that!(fill(&mut dispatcher, "small", 60_000, now).len(), ge(5));
}
