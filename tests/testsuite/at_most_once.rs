//! At-most-once execution and correct refusals, with real processes behind the fault proxy.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use futures::{StreamExt, stream};
use godwitcrank_standin::client::{BufferedAnswer, HttpClient};
use godwitcrank_standin::fleet::{FleetCall, FleetPlan, PLATFORM, ProcessSignal, RunningFleet};
use godwitcrank_standin::proxy::{LinkBehaviour, LinkDirection, LinkMode};
use googletest::prelude::*;
use http::Method;
use indexmap::{IndexMap, IndexSet};
use serde_json::json;
use tokio::sync::watch;

use super::support::{fetch, plan, start_fleet};

/// Number of calls with distinct keys.
const KEYED_CALLS: u64 = 2000;

/// One call in this many is repeated with the same key and body.
const REPEAT_STEP: u64 = 4;

/// Maximum number of concurrent calls.
const OPEN_CALLS: usize = 24;

/// Interval between the starts of the calls of two keys, which spreads the calls over all faults.
const CALL_INTERVAL: Duration = Duration::from_millis(9);

/// Times that a caller resends a refused call. Only callers with an even key resend, so that the
/// other half shows whether "not run" is true.
const MAX_RESENDS: u32 = 5;

/// Time for which a caller waits for one answer.
const CALLER_TIMEOUT: Duration = Duration::from_secs(20);

/// Result of one call as the caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CallReport {
    Answered(Vec<u8>),
    NotRun,
    HasRun,
    /// Refused with an unknown outcome, or the connection ended.
    Unknown,
}

impl CallReport {
    fn of(answer: eyre::Result<BufferedAnswer>) -> Self {
        let Ok(answer) = answer else { return Self::Unknown };
        let was_run = answer.headers.get("godwitcrank-was-run");
        match was_run.and_then(|value| value.to_str().ok()) {
            None if answer.status.is_success() => Self::Answered(answer.body.to_vec()),
            Some("no") => Self::NotRun,
            Some("yes") => Self::HasRun,
            _ => Self::Unknown,
        }
    }
}

fn charge(number: u64) -> FleetCall {
    let call = FleetCall::plain("team-1", Method::POST, "/charge");
    call.key(&format!("charge-{number}")).body(format!("{{\"amount\":{number}}}"))
}

async fn call_once(client: &HttpClient, router: SocketAddr, call: &FleetCall) -> CallReport {
    let request = call.to_router(router).expect("a valid call");
    let answer = tokio::time::timeout(CALLER_TIMEOUT, client.fetch(request)).await;
    CallReport::of(answer.unwrap_or_else(|_| Err(eyre::eyre!("no answer in time"))))
}

/// Resends a call until it is not refused as not run, or the attempts are used up.
async fn call_with_resends(
    client: &HttpClient,
    routers: &watch::Receiver<Vec<SocketAddr>>,
    number: u64,
    index: usize,
) -> Vec<CallReport> {
    let call = charge(number);
    let mut reports = Vec::new();
    for attempt in 0..=MAX_RESENDS {
        let router = {
            let routers = routers.borrow();
            routers[(index + attempt as usize) % routers.len()]
        };
        let report = call_once(client, router, &call).await;
        let is_final = report != CallReport::NotRun || number % 2 == 1;
        reports.push(report);
        if is_final {
            break;
        }
        tokio::time::sleep(Duration::from_millis(300)).await;
    }
    reports
}

/// Makes all calls and repeats; returns the results by key.
async fn make_calls(
    routers: watch::Receiver<Vec<SocketAddr>>,
) -> IndexMap<String, Vec<CallReport>> {
    let client = HttpClient::default();
    let started = Instant::now();
    let order = (0..KEYED_CALLS).flat_map(|number| {
        // The repeat starts while the first call may still be open.
        let repeat = (number % REPEAT_STEP == 0).then_some(number);
        std::iter::once(number).chain(repeat)
    });
    let calls = order.enumerate().map(|(index, number)| {
        let (client, routers) = (client.clone(), routers.clone());
        async move {
            let start = started + CALL_INTERVAL * u32::try_from(number).expect("a small number");
            tokio::time::sleep_until(start.into()).await;
            (number, call_with_resends(&client, &routers, number, index).await)
        }
    });
    let mut reports: IndexMap<String, Vec<CallReport>> = IndexMap::new();
    let mut running = stream::iter(calls).buffer_unordered(OPEN_CALLS);
    while let Some((number, report)) = running.next().await {
        reports.entry(format!("charge-{number}")).or_default().extend(report);
    }
    reports
}

fn link(mode: LinkMode, direction: LinkDirection, existing_only: bool) -> LinkBehaviour {
    LinkBehaviour { mode, direction, existing_only, ..LinkBehaviour::default() }
}

async fn sleep_ms(milliseconds: u64) {
    tokio::time::sleep(Duration::from_millis(milliseconds)).await;
}

/// Injects one fault after another, each of which ends before the next begins.
async fn inject_faults(fleet: &mut RunningFleet, routers: &watch::Sender<Vec<SocketAddr>>) {
    let pass = LinkBehaviour::default();
    fleet
        .set_store_behaviour(&json!({ "mode": "lose-answers", "probability": 0.3 }))
        .await
        .expect("store");
    sleep_ms(2000).await;
    fleet.set_store_behaviour(&json!({ "mode": "up" })).await.expect("store");
    fleet.signal("agent-plain-1", ProcessSignal::Kill).expect("kill");
    fleet.restart("agent-plain-1").await.expect("restart");
    sleep_ms(1000).await;
    fleet.signal("agent-plain-2", ProcessSignal::Pause).expect("stop");
    sleep_ms(3000).await;
    fleet.signal("agent-plain-2", ProcessSignal::Resume).expect("continue");
    let cut = link(LinkMode::Cut, LinkDirection::Both, false);
    fleet.set_node_links("agent-plain-3", cut).await.expect("links");
    sleep_ms(1500).await;
    fleet.set_node_links("agent-plain-3", pass).await.expect("links");
    for direction in [LinkDirection::ToClient, LinkDirection::ToTarget] {
        let freeze = link(LinkMode::Freeze, direction, true);
        fleet
            .set_links(freeze, |source, target| {
                source.starts_with("router-") && target.starts_with("agent-")
            })
            .await
            .expect("links");
        sleep_ms(1000).await;
    }
    fleet.signal("router-1", ProcessSignal::Kill).expect("kill");
    fleet.restart("router-1").await.expect("restart");
    routers.send_replace(fleet.caller_addresses().expect("routers"));
    sleep_ms(1000).await;
    fleet.set_store_behaviour(&json!({ "mode": "down" })).await.expect("store");
    sleep_ms(1000).await;
    let losing = json!({ "mode": "lose-answers", "probability": 0.5, "hang": true });
    fleet.set_store_behaviour(&losing).await.expect("store");
    sleep_ms(2000).await;
    fleet.set_store_behaviour(&json!({ "mode": "up" })).await.expect("store");
}

/// Returns the number of executions by key over all plain services.
async fn executions(fleet: &RunningFleet, plain_services: usize) -> IndexMap<String, u64> {
    let mut counts: IndexMap<String, u64> = IndexMap::new();
    for index in 1..=plain_services {
        let ledger =
            fleet.read_control(&format!("plain-{index}"), "ledger").await.expect("a ledger");
        for (key, entry) in ledger["by-key"].as_object().expect("an object") {
            *counts.entry(key.clone()).or_default() += entry["count"].as_u64().expect("a count");
        }
    }
    counts
}

/// Guards against a key that runs twice and against a refusal that wrongly says "not run", while
/// agents and routers are killed and paused, links are cut and frozen in one direction, and the
/// table service goes down and loses answers after it has applied the writes.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn run_keyed_calls_under_faults() {
    let plan = FleetPlan {
        routers: 2,
        engines: 0,
        plain_services: 3,
        faults: true,
        plain_arguments: vec!["--run-ms".to_owned(), "20".to_owned()],
        agent_settings: "[limits]\nclaims-per-second = 70\n".to_owned(),
        ..plan("run_keyed_calls_under_faults")
    };
    let mut fleet = start_fleet(plan).await;
    let (routers_tx, routers) = watch::channel(fleet.caller_addresses().expect("routers"));
    let started = Instant::now();
    let calls = tokio::spawn(make_calls(routers));
    inject_faults(&mut fleet, &routers_tx).await;
    let reports = calls.await.expect("the calls end");
    let elapsed = started.elapsed();
    let counts = executions(&fleet, 3).await;
    let repeated: Vec<&String> =
        counts.iter().filter(|(_, count)| **count > 1).map(|(key, _)| key).collect();
    expect_that!(repeated, is_empty(), "keys that ran more than once");
    let mut false_not_run = Vec::new();
    let mut unexecuted = Vec::new();
    let mut inconsistent = Vec::new();
    let mut answered = 0;
    for (key, reports) in &reports {
        let ran = counts.contains_key(key);
        if ran && reports.iter().all(|report| *report == CallReport::NotRun) {
            false_not_run.push(key);
        }
        let answers: IndexSet<&Vec<u8>> = reports
            .iter()
            .filter_map(|report| match report {
                CallReport::Answered(body) => Some(body),
                _ => None,
            })
            .collect();
        answered += usize::from(!answers.is_empty());
        if !answers.is_empty() && !ran {
            unexecuted.push(key);
        }
        if answers.len() > 1 {
            inconsistent.push(key);
        }
    }
    let tally = |wanted: fn(&CallReport) -> bool| {
        reports.values().flatten().filter(|report| wanted(report)).count()
    };
    println!(
        "keys {}, calls {}, answered keys {answered}, not run {}, unknown {}, executions {}, {elapsed:?}",
        reports.len(),
        reports.values().map(Vec::len).sum::<usize>(),
        tally(|report| *report == CallReport::NotRun),
        tally(|report| *report == CallReport::Unknown),
        counts.values().sum::<u64>(),
    );
    expect_that!(false_not_run, is_empty(), "keys that ran although every call said they did not");
    expect_that!(unexecuted, is_empty(), "answered keys without an execution");
    expect_that!(inconsistent, is_empty(), "keys with different answers");
    // Faults are active for most of the run; if most calls were refused, the test would prove
    // little.
    expect_that!(answered, ge(reports.len() / 2));
    fleet.close().await.expect("the fleet ends");
}

/// Guards against a charge that is lost or has an unknown outcome while the table service is down,
/// and against lookups and model calls that depend on it.
#[gtest]
#[tokio::test]
async fn refuse_charges_while_store_is_down() {
    let fleet = start_fleet(plan("refuse_charges_while_store_is_down")).await;
    let lookup = FleetCall::plain("team-1", Method::GET, "/status");
    let completion = FleetCall::completion("team-2", "hello", 8);
    for hang in [false, true] {
        fleet.set_store_behaviour(&json!({ "mode": "down", "hang": hang })).await.expect("store");
        let base = if hang { 100 } else { 0 };
        // The first refusal takes longer, since it has to detect the outage.
        let first = fetch(&fleet, "router-1", &charge(base)).await;
        expect_that!(first.status.as_u16(), eq(503));
        for number in base + 1..base + 20 {
            let started = Instant::now();
            let refusal = fetch(&fleet, "router-1", &charge(number)).await;
            expect_that!(started.elapsed(), lt(Duration::from_millis(500)), "refused at once");
            expect_that!(refusal.status.as_u16(), eq(503));
            expect_that!(refusal.headers["godwitcrank-was-run"], eq("no"));
            expect_that!(refusal.headers.contains_key("retry-after"), eq(true));
            let body = refusal.json().expect("JSON");
            expect_that!(body["reason"], eq(&json!("store-down")));
            expect_that!(fetch(&fleet, "router-1", &lookup).await.status.as_u16(), eq(200));
        }
        expect_that!(fetch(&fleet, "router-1", &completion).await.status.as_u16(), eq(200));
        let counts = executions(&fleet, 1).await;
        let charged = counts.keys().filter(|key| key.starts_with("charge-")).count();
        expect_that!(charged, eq(if hang { 20 } else { 0 }));
        fleet.set_store_behaviour(&json!({ "mode": "up" })).await.expect("store");
        for number in base..base + 20 {
            let call = charge(number);
            let answered = async || fetch(&fleet, "router-1", &call).await.status.is_success();
            let what = format!("charge {number} succeeds after the outage");
            godwitcrank_standin::fleet::wait_until(&what, answered).await.expect("a charge");
        }
        let counts = executions(&fleet, 1).await;
        expect_that!(counts.values().all(|count| *count == 1), eq(true), "{counts:?}");
    }
    fleet.close().await.expect("the fleet ends");
}

/// Guards against service that survives only a short outage: configuration, leases, membership or
/// claims that expire while the table service is down for a minute.
#[gtest]
#[tokio::test]
async fn serve_through_minute_of_store_outage() {
    const OUTAGE: Duration = Duration::from_secs(60);
    let fleet = start_fleet(plan("serve_through_minute_of_store_outage")).await;
    let lookup = FleetCall::plain("team-1", Method::GET, "/status");
    let completion = FleetCall::completion("team-2", "hello", 8);
    fleet.set_store_behaviour(&json!({ "mode": "down" })).await.expect("store");
    let started = Instant::now();
    let mut charges = 0;
    while started.elapsed() < OUTAGE {
        let refusal = fetch(&fleet, "router-1", &charge(charges)).await;
        charges += 1;
        expect_that!(refusal.status.as_u16(), eq(503));
        expect_that!(refusal.headers["godwitcrank-was-run"], eq("no"));
        expect_that!(fetch(&fleet, "router-1", &lookup).await.status.as_u16(), eq(200));
        expect_that!(fetch(&fleet, "router-1", &completion).await.status.as_u16(), eq(200));
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    expect_that!(
        executions(&fleet, 1).await.keys().filter(|key| key.starts_with("charge-")).count(),
        eq(0)
    );
    fleet.set_store_behaviour(&json!({ "mode": "up" })).await.expect("store");
    for number in 0..charges {
        let call = charge(number);
        let answered = async || fetch(&fleet, "router-1", &call).await.status.is_success();
        let what = format!("charge {number} succeeds after the outage");
        godwitcrank_standin::fleet::wait_until(&what, answered).await.expect("a charge");
    }
    let counts = executions(&fleet, 1).await;
    expect_that!(counts.values().all(|count| *count == 1), eq(true), "{counts:?}");
    fleet.close().await.expect("the fleet ends");
}

/// Guards against an agent that is paused between claim and run, and after it resumes runs a request
/// that was reported as not run or was run by another agent.
#[gtest]
#[tokio::test]
async fn stop_agent_between_claim_and_run() {
    let plan = FleetPlan {
        engines: 0,
        plain_services: 2,
        faults: true,
        ..plan("stop_agent_between_claim_and_run")
    };
    let fleet = Arc::new(start_fleet(plan).await);
    // Frozen links keep the requests from reaching their upstreams before the agents are paused.
    let to_plain =
        |source: &str, target: &str| source.starts_with("agent-") && target.starts_with("plain-");
    let freeze = link(LinkMode::Freeze, LinkDirection::ToTarget, false);
    fleet.set_links(freeze, to_plain).await.expect("links");
    let calls: Vec<_> = (0..8)
        .map(|number| {
            let fleet = Arc::clone(&fleet);
            tokio::spawn(async move {
                let router = fleet.caller_address("router-1").expect("a router");
                call_once(&HttpClient::default(), router, &charge(number)).await
            })
        })
        .collect();
    sleep_ms(1500).await;
    for agent in ["agent-plain-1", "agent-plain-2"] {
        fleet.signal(agent, ProcessSignal::Pause).expect("stop");
    }
    // Meanwhile the router considers the agents lost and tries to cancel their attempts.
    sleep_ms(7000).await;
    fleet.set_links(LinkBehaviour::default(), to_plain).await.expect("links");
    for agent in ["agent-plain-1", "agent-plain-2"] {
        fleet.signal(agent, ProcessSignal::Resume).expect("continue");
    }
    let mut reports = Vec::new();
    for call in calls {
        reports.push(call.await.expect("the call ends"));
    }
    // Gives the resumed agents time to run the requests that they hold.
    sleep_ms(2000).await;
    let counts = executions(&fleet, 2).await;
    for (number, report) in reports.iter().enumerate() {
        let count = counts.get(&format!("charge-{number}")).copied().unwrap_or(0);
        expect_that!(count, le(1), "charge {number}");
        match report {
            CallReport::NotRun => expect_that!(count, eq(0), "charge {number}"),
            CallReport::Answered(_) => expect_that!(count, eq(1), "charge {number}"),
            CallReport::HasRun | CallReport::Unknown => {}
        }
    }
}

/// Guards against a router that reports "not run" for a request whose agent was paused before its
/// claim reached the table service, and which the agent then runs after it resumes.
#[gtest]
#[tokio::test]
async fn cancel_claim_of_stopped_agent() {
    let plan = FleetPlan {
        engines: 0,
        faults: true,
        router_settings: "[limits]\nqueue-timeout = \"3s\"\n".to_owned(),
        ..plan("cancel_claim_of_stopped_agent")
    };
    let fleet = Arc::new(start_fleet(plan).await);
    let to_table = |source: &str, target: &str| source == "agent-plain-1" && target == PLATFORM;
    let freeze = link(LinkMode::Freeze, LinkDirection::ToTarget, false);
    fleet.set_links(freeze, to_table).await.expect("links");
    let calls: Vec<_> = (0..6)
        .map(|number| {
            let fleet = Arc::clone(&fleet);
            tokio::spawn(async move {
                let router = fleet.caller_address("router-1").expect("a router");
                call_once(&HttpClient::default(), router, &charge(number)).await
            })
        })
        .collect();
    sleep_ms(300).await;
    fleet.signal("agent-plain-1", ProcessSignal::Pause).expect("stop");
    let mut reports = Vec::new();
    for call in calls {
        reports.push(call.await.expect("the call ends"));
    }
    fleet.set_links(LinkBehaviour::default(), to_table).await.expect("links");
    fleet.signal("agent-plain-1", ProcessSignal::Resume).expect("continue");
    sleep_ms(2500).await;
    let counts = executions(&fleet, 1).await;
    for (number, report) in reports.iter().enumerate() {
        expect_that!(report, eq(&CallReport::NotRun), "charge {number}");
        expect_that!(counts.get(&format!("charge-{number}")), none(), "charge {number}");
    }
    // A key that was not run can be used again.
    let again = fetch(&fleet, "router-1", &charge(0)).await;
    expect_that!(again.status.as_u16(), eq(200));
}

/// Makes 600 charges against a table service that allows 60 writes a second and checks that every
/// refusal is correct; returns the numbers of refused calls and of writes that the service rejected.
async fn charge_at_rate(claims_per_second: u32) -> (usize, u64) {
    let plan = FleetPlan {
        engines: 0,
        // With few slots the claims would queue for slots and never exceed the rate.
        plain_slots: 64,
        platform_arguments: vec!["--writes-per-second".to_owned(), "60".to_owned()],
        agent_settings: format!("[limits]\nclaims-per-second = {claims_per_second}\n"),
        ..plan("charge_at_rate")
    };
    let fleet = start_fleet(plan).await;
    let router = fleet.caller_address("router-1").expect("a router");
    let client = HttpClient::default();
    let calls = (0..600).map(|number| {
        let client = client.clone();
        async move {
            let request = charge(number).to_router(router).expect("a valid call");
            (number, client.fetch(request).await.expect("an answer"))
        }
    });
    let answers: Vec<(u64, BufferedAnswer)> =
        stream::iter(calls).buffer_unordered(OPEN_CALLS).collect().await;
    let counts = executions(&fleet, 1).await;
    let mut refused = 0;
    for (number, answer) in &answers {
        let count = counts.get(&format!("charge-{number}")).copied().unwrap_or(0);
        expect_that!(count, eq(u64::from(answer.status.is_success())), "charge {number}");
        if !answer.status.is_success() {
            refused += 1;
            expect_that!(answer.status.as_u16(), eq(503));
            expect_that!(answer.headers["godwitcrank-was-run"], eq("no"));
            let reason = answer.json().expect("JSON")["reason"].clone();
            expect_that!(reason, any!(eq(&json!("claim-rate")), eq(&json!("store-down"))));
        }
    }
    let address = fleet.platform_address().expect("a platform");
    let counters = fleet.client().get_json(address, "/control/counters").await.expect("counters");
    let rejected = counters["rejected"].as_u64().expect("a count");
    println!("limit {claims_per_second}/s: refused calls {refused}, rejected writes {rejected}");
    fleet.close().await.expect("the fleet ends");
    (refused, rejected)
}

/// Guards against claims that use up the write rate of the table service, and against wrong
/// refusals above the agent's limit.
#[gtest]
#[tokio::test]
async fn refuse_claims_above_rate() {
    let (refused, rejected) = charge_at_rate(25).await;
    expect_that!(refused, all!(ge(1), lt(600)));
    expect_that!(rejected, eq(0), "the limit is below the rate of the service");
}

/// Guards against wrong refusals when the agent's limit exceeds the rate of the table service.
#[gtest]
#[tokio::test]
async fn refuse_claims_store_throttled() {
    let (refused, rejected) = charge_at_rate(200).await;
    expect_that!(refused, all!(ge(1), lt(600)));
    expect_that!(rejected, ge(1));
}

/// Guards against claim rows that are never removed, and against the removal of rows within their
/// retention period.
#[gtest]
#[tokio::test]
async fn remove_expired_claims() {
    let table = start_fleet(FleetPlan { engines: 0, ..plan("remove_expired_claims") }).await;
    let answer = fetch(&table, "router-1", &charge(1)).await;
    expect_that!(answer.status.as_u16(), eq(200));
    let address = table.platform_address().expect("a platform");
    let read = async |key: &str| {
        let path = format!("/table/row?key=claim/team-1/booking/{key}");
        let row = table.client().get_json(address, &path).await.expect("a reply");
        row.get("value").cloned()
    };
    let kept = read("charge-1").await.expect("the row of the charge");
    let mut old = kept.clone();
    old["changed-at-ms"] = json!(1_000);
    let mut held = old.clone();
    held["state"] = json!({ "kind": "held", "attempt": "7", "holder": "agent-x" });
    let writes = json!([
        { "key": "claim/team-1/booking/old", "value": old },
        { "key": "claim/team-1/booking/held", "value": held },
        { "key": "claim-sweep", "value": null },
    ]);
    let body = json!({ "writes": writes });
    table.client().call(Method::POST, address, "/table/transact", &body).await.expect("a reply");
    // A router checks whether a sweep is due when it starts.
    let mut fleet = table;
    fleet.restart("router-1").await.expect("restart");
    let address = fleet.platform_address().expect("a platform");
    let state = async |key: &str| {
        let path = format!("/table/row?key=claim/team-1/booking/{key}");
        let row = fleet.client().get_json(address, &path).await.expect("a reply");
        row["value"]["state"]["kind"].clone()
    };
    godwitcrank_standin::fleet::wait_until("the old row is removed", async || {
        state("old").await.is_null()
    })
    .await
    .expect("a removal");
    expect_that!(state("held").await, eq(&json!("outcome-unknown")));
    expect_that!(state("charge-1").await, eq(&json!("finished")));
    fleet.close().await.expect("the fleet ends");
}
