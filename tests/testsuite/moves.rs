//! Version moves from planning to their end, with real processes.

use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant, SystemTime};

use futures::future::join_all;
use godwitcrank::protocol::{OrderMessage, OrderReply, PeerClient, UpstreamOrder, VersionExchange};
use godwitcrank_standin::fleet::{FleetCall, FleetPlan, ProcessSignal, RunningFleet};
use googletest::prelude::*;
use http::Method;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};

use super::support::extra_upstream::{ExtraUpstream, UpstreamPlan};
use super::support::operator::{get_document, put_entry, send_admin_request};
use super::support::{plan, start_fleet, try_fetch};

/// Seed of the random choices of the first service's calls; each further service adds 1.
const CALL_SEED: u64 = 20_261_204;

/// Time from the planning of the moves to their deadline.
const MOVE_DURATION: Duration = Duration::from_secs(24);

/// Time after which a call counts as hanging; longer than the queue timeout of requests.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum number of calls that a faulty version may get after its first bad answer. The sequential
/// test needs about 20 bad answers at most, half of the calls are bad, and each of the two routers
/// may need as many.
const MAX_CALLS_AFTER_FAULT: u64 = 100;

/// A service with one upstream of the old version and one that was started for the new version.
struct MovedService {
    name: String,
    /// Faulty behaviour of the new version; `None` if it has none.
    behaviour: Option<Value>,
    _old: ExtraUpstream,
    new: ExtraUpstream,
}

/// Result of one move.
#[derive(Debug)]
struct MoveOutcome {
    id: String,
    is_bad: bool,
    state: String,
    /// Seconds between the end of the move and its deadline; negative if it was late or did not
    /// end.
    seconds_before_deadline: f64,
    new_calls: u64,
    total_calls: u64,
    calls_after_fault: u64,
    calls_after_end: u64,
}

/// Starts the two upstreams of a service and sets the behaviour of the new version.
async fn start_service(
    fleet: &RunningFleet,
    number: usize,
    behaviour: Option<Value>,
) -> MovedService {
    let name = format!("model-{number}");
    let (old, new) = (format!("old-{number}"), format!("new-{number}"));
    let old = UpstreamPlan { upstream: &old, service: &name, version: "1", listed_version: "1" };
    let new = UpstreamPlan { upstream: &new, service: &name, version: "0", listed_version: "2" };
    let (old, new) =
        tokio::join!(ExtraUpstream::start(fleet, &old), ExtraUpstream::start(fleet, &new));
    if let Some(behaviour) = &behaviour {
        let set = fleet.client().put_json(new.engine, "/control/behaviour", behaviour).await;
        set.expect("a behaviour");
    }
    MovedService { name, behaviour, _old: old, new }
}

/// Adds the services and their moves to the configuration; returns the deadline.
async fn plan_moves(fleet: &RunningFleet, services: &[MovedService]) -> SystemTime {
    let current = get_document(fleet, "router-1", "configuration").await;
    let version = current["version"].as_u64();
    let mut document = current["document"].clone();
    let deadline = SystemTime::now() + MOVE_DURATION;
    for service in services {
        let routes = json!([
            { "prefix": "/v1/completions", "repeatable": true },
            { "prefix": "/v1/completions/long", "repeatable": true },
        ]);
        let entry = json!({ "id": service.name, "kind": "model", "routes": routes });
        document["services"].as_array_mut().expect("a list").push(entry);
        let deadline = humantime::format_rfc3339_millis(deadline).to_string();
        let entry = json!({
            "id": format!("move-{}", service.name), "service": service.name,
            "from": "1", "to": "2", "deadline": deadline,
        });
        document["moves"].as_array_mut().expect("a list").push(entry);
    }
    let answer =
        send_admin_request(fleet, "router-1", Method::PUT, "configuration", version, &document)
            .await;
    assert!(answer.status.is_success(), "{}", String::from_utf8_lossy(&answer.body));
    deadline
}

/// Calls a service at a fixed rate, over both routers and routes at random, until `stop` is set.
/// Returns the number of calls.
async fn call_service(
    fleet: &RunningFleet,
    service: &MovedService,
    seed: u64,
    stop: &AtomicBool,
) -> u64 {
    let mut random = StdRng::seed_from_u64(seed);
    let mut ticker = tokio::time::interval(Duration::from_millis(33));
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
    let mut pending = tokio::task::JoinSet::new();
    let (client, mut sent) = (fleet.client().clone(), 0);
    while !stop.load(Ordering::Relaxed) {
        ticker.tick().await;
        let router = if random.random_bool(0.5) { "router-1" } else { "router-2" };
        let mut call = FleetCall::completion("team-1", "hello", random.random_range(2..8));
        let route = if random.random_bool(0.5) { "/long" } else { "" };
        call.path = format!("/{}/v1/completions{route}", service.name);
        let request =
            call.to_router(fleet.caller_address(router).expect("a router")).expect("a call");
        let client = client.clone();
        pending.spawn(async move {
            let answer = tokio::time::timeout(CALL_TIMEOUT, client.fetch(request)).await;
            assert!(answer.is_ok(), "a call hangs");
        });
        sent += 1;
        while pending.try_join_next().is_some() {}
    }
    pending.join_all().await;
    sent
}

/// Watches the engine of a new version. Returns the number of calls that it had received when its
/// first bad answer was seen, and one second after its move was taken back.
async fn watch_service(
    fleet: &RunningFleet,
    service: &MovedService,
    stop: &AtomicBool,
) -> (Option<u64>, Option<u64>) {
    let (mut calls_at_fault, mut calls_at_end, mut ended) = (None, None, None::<Instant>);
    let is_slow_only = service.behaviour.as_ref().is_some_and(|b| b.get("slow-factor").is_some());
    while !stop.load(Ordering::Relaxed) {
        let counters = service.new.read_counters(fleet).await;
        let received = counters["requests"].as_u64().unwrap_or(0);
        let fault_shown = counters["failed"].as_u64() > Some(0) || (is_slow_only && received > 0);
        if fault_shown && calls_at_fault.is_none() {
            calls_at_fault = Some(received);
        }
        if ended.is_none() {
            let state =
                get_document(fleet, "router-1", &format!("moves/move-{}", service.name)).await;
            ended = (state["state"] == "taken back").then(Instant::now);
        }
        if calls_at_end.is_none() && ended.is_some_and(|at| at.elapsed() > Duration::from_secs(1)) {
            calls_at_end = Some(received);
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    (calls_at_fault, calls_at_end)
}

/// Calls a service during its move and returns the result of the move.
async fn run_service(
    fleet: &RunningFleet,
    service: &MovedService,
    seed: u64,
    deadline: SystemTime,
    stop: &AtomicBool,
) -> MoveOutcome {
    let calls = call_service(fleet, service, seed, stop);
    let (total_calls, (calls_at_fault, calls_at_end)) =
        tokio::join!(calls, watch_service(fleet, service, stop));
    let entry = get_document(fleet, "router-1", &format!("moves/move-{}", service.name)).await;
    let text = |name: &str| entry[name].as_str().unwrap_or_default().to_owned();
    let changed = humantime::parse_rfc3339(&text("changed")).unwrap_or(SystemTime::UNIX_EPOCH);
    let new_calls = service.new.received_requests(fleet).await;
    let ended = text("state") == "done" || text("state") == "taken back";
    let left = deadline.duration_since(changed).map_or(-1.0, |left| left.as_secs_f64());
    MoveOutcome {
        id: format!("{} {}", service.name, text("reason")),
        is_bad: service.behaviour.is_some(),
        state: text("state"),
        seconds_before_deadline: if ended { left } else { -1.0 },
        new_calls,
        total_calls,
        calls_after_fault: calls_at_fault.map_or(0, |calls_at_fault| new_calls - calls_at_fault),
        calls_after_end: calls_at_end.map_or(0, |calls_at_end| new_calls - calls_at_end),
    }
}

/// Moves ten services at once, five of them to a faulty version: one fails at once, one is slow,
/// one fails later, one under load, one on a single route. Guards against good versions that are
/// late or taken back, and against faulty ones that are kept or get many calls.
#[gtest]
#[tokio::test]
async fn move_ten_services() {
    let plan = FleetPlan { routers: 2, engines: 1, plain_services: 0, ..plan("move_ten_services") };
    let fleet = start_fleet(plan).await;
    let bad = [
        json!({ "fail-share": 0.5 }),
        json!({ "slow-factor": 5.0 }),
        json!({ "fail-share": 0.5, "after-ms": 16_000 }),
        json!({ "fail-above-running": 1 }),
        json!({ "fail-route": "/v1/completions/long" }),
    ];
    let behaviours = bad.into_iter().map(Some).chain(std::iter::repeat_n(None, 5));
    let starts = behaviours
        .enumerate()
        .map(|(index, behaviour)| start_service(&fleet, index + 1, behaviour));
    let services = join_all(starts).await;
    let deadline = plan_moves(&fleet, &services).await;
    let stop = AtomicBool::new(false);
    let end = async {
        tokio::time::sleep(MOVE_DURATION + Duration::from_secs(1)).await;
        stop.store(true, Ordering::Relaxed);
    };
    let runs = services.iter().zip(CALL_SEED..);
    let runs = runs.map(|(service, seed)| run_service(&fleet, service, seed, deadline, &stop));
    let (outcomes, ()) = tokio::join!(join_all(runs), end);
    for outcome in &outcomes {
        println!("{}: {outcome:?}", outcome.id);
        let expected = if outcome.is_bad { "taken back" } else { "done" };
        expect_that!(outcome.state, eq(expected), "{outcome:?}");
        expect_that!(outcome.seconds_before_deadline, ge(0.0), "{outcome:?}");
        expect_that!(
            outcome.calls_after_end,
            eq(0),
            "calls after the move was taken back: {outcome:?}"
        );
        if outcome.is_bad {
            expect_that!(outcome.calls_after_fault, le(MAX_CALLS_AFTER_FAULT), "{outcome:?}");
        }
    }
    let sum = |count: fn(&MoveOutcome) -> u64| outcomes.iter().map(count).sum::<u64>();
    let bad_calls = sum(|outcome| if outcome.is_bad { outcome.new_calls } else { 0 });
    let total_calls = sum(|outcome| outcome.total_calls);
    let calls_after_fault =
        sum(|outcome| if outcome.is_bad { outcome.calls_after_fault } else { 0 });
    println!(
        "bad versions got {bad_calls} of {total_calls} calls, {calls_after_fault} after their first bad answer"
    );
    fleet.close().await.expect("the fleet ends");
}

/// Returns the name of the router that holds the lease, with its fencing number.
async fn lease_holder(fleet: &RunningFleet) -> Option<(String, u64)> {
    let platform = fleet.platform_address().expect("a platform");
    let row = fleet.client().get_json(platform, "/table/row?key=lease%2Fmoves").await.ok()?;
    Some((row["value"]["holder"].as_str()?.to_owned(), row["value"]["fencing"].as_u64()?))
}

/// Pauses the lease holder for longer than its term. Guards against writes or orders of it that
/// take effect after it resumes, and against a move that does not go on without it.
#[gtest]
#[tokio::test]
async fn freeze_lease_holder() {
    let plan =
        FleetPlan { routers: 3, engines: 1, plain_services: 0, ..plan("freeze_lease_holder") };
    let fleet = start_fleet(plan).await;
    let services = [start_service(&fleet, 1, None).await];
    plan_moves(&fleet, &services).await;
    let start = Instant::now();
    let (frozen, fencing) = loop {
        assert!(start.elapsed() < Duration::from_secs(10), "no router takes the lease");
        match lease_holder(&fleet).await {
            Some(holder) => break holder,
            None => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    };
    fleet.signal(&frozen, ProcessSignal::Pause).expect("a signal");
    let (successor, successor_fencing) = loop {
        assert!(start.elapsed() < Duration::from_secs(20), "no router takes over the lease");
        match lease_holder(&fleet).await {
            Some((holder, number)) if number > fencing => break (holder, number),
            _ => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    };
    // The upstream's agent learns the new number from the successor's order.
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.signal(&frozen, ProcessSignal::Resume).expect("a signal");
    let peers = PeerClient::new(Duration::from_secs(1), VersionExchange::default());
    let order = UpstreamOrder::LoadVersion { version: "late".into() };
    let outdated = OrderMessage { fencing, order };
    let reply = peers.call(services[0].new.agent, &outdated).await.expect("a reply");
    expect_that!(reply, eq(&OrderReply::OldFencing { highest: successor_fencing }));
    put_entry(&fleet, &successor, "teams/team-1", &json!({ "share": 2 })).await;
    let path = "moves/move-model-1";
    while get_document(&fleet, &successor, path).await["state"] != "done" {
        assert!(start.elapsed() < MOVE_DURATION + Duration::from_secs(6), "the move is not done");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let audit = get_document(&fleet, &successor, "audit").await;
    let operators = audit["audit"].as_array().expect("a list").iter().filter_map(|record| {
        let (_, number) = record["operator"].as_str()?.split_once(" fencing ")?;
        number.parse().ok()
    });
    let numbers: Vec<u64> = operators.collect();
    expect_that!(numbers.is_sorted(), eq(true), "a late write took effect: {numbers:?}");
    expect_that!(numbers.last(), some(eq(&successor_fencing)));
    let counters = services[0].new.read_counters(&fleet).await;
    let orders = counters["orders"].as_array().expect("a list").iter();
    let orders: Vec<u64> = orders.filter_map(|order| order["fencing"].as_u64()).collect();
    expect_that!(orders.is_sorted(), eq(true), "a late order took effect: {orders:?}");
    let answer = try_fetch(&fleet, &frozen, &FleetCall::completion("team-1", "x", 2)).await;
    expect_that!(answer.expect("an answer").status.as_u16(), eq(200));
    fleet.close().await.expect("the fleet ends");
}
