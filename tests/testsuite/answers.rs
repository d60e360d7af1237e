//! Complete answers: repeatable calls under faults, silent connections, disconnected callers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::{StreamExt, stream};
use godwitcrank_standin::client::HttpClient;
use godwitcrank_standin::engine::completion_events;
use godwitcrank_standin::fleet::{
    FleetCall, FleetPlan, ProcessSignal, RoutePlan, RunningFleet, wait_until,
};
use godwitcrank_standin::proxy::{LinkBehaviour, LinkDirection, LinkMode};
use googletest::prelude::*;
use http::Method;
use http_body_util::BodyExt;
use serde_json::json;
use tokio::sync::watch;

use super::support::{plan, start_fleet};

/// Number of streamed completions.
const COMPLETIONS: usize = 400;

/// Maximum number of concurrent calls.
const OPEN_CALLS: usize = 20;

/// Time within which a stream must move from a silent connection to a new one (see the targets in
/// `docs/design.md`).
const SILENCE_BOUND: Duration = Duration::from_secs(2);

/// Attempts of a caller for one answer; killing a router closes its callers' connections.
const CALLER_ATTEMPTS: usize = 4;

fn link(mode: LinkMode, direction: LinkDirection, existing_only: bool) -> LinkBehaviour {
    LinkBehaviour { mode, direction, existing_only, ..LinkBehaviour::default() }
}

fn between_nodes(source: &str, target: &str) -> bool {
    source.starts_with("router-") && target.starts_with("agent-")
}

fn before_engines(source: &str, target: &str) -> bool {
    source.starts_with("agent-") && target.starts_with("engine-")
}

async fn sleep_ms(milliseconds: u64) {
    tokio::time::sleep(Duration::from_millis(milliseconds)).await;
}

/// Results of one caller's attempts.
#[derive(Debug, Default)]
struct CallTally {
    complete: usize,
    /// Answers that ended normally with a wrong body. This must never happen.
    wrong: usize,
    refused: Vec<String>,
    errors: usize,
}

/// Calls until a complete answer arrives or the attempts are used up.
async fn complete(
    client: HttpClient,
    routers: watch::Receiver<Vec<SocketAddr>>,
    index: usize,
) -> CallTally {
    let prompt = format!("prompt {index}");
    let call = FleetCall::completion("team-1", &prompt, 96);
    let expected = completion_events(&prompt, 96);
    let mut tally = CallTally::default();
    for attempt in 0..CALLER_ATTEMPTS {
        let router = {
            let routers = routers.borrow();
            routers[(index + attempt) % routers.len()]
        };
        let request = call.to_router(router).expect("a valid call");
        match client.fetch(request).await {
            Err(_) => tally.errors += 1,
            Ok(answer) if !answer.status.is_success() => {
                tally.refused.push(String::from_utf8_lossy(&answer.body).into_owned());
            }
            Ok(answer) if answer.body == expected.as_bytes() => {
                tally.complete += 1;
                return tally;
            }
            Ok(_) => tally.wrong += 1,
        }
        sleep_ms(200).await;
    }
    tally
}

async fn inject_faults(fleet: &mut RunningFleet, routers: &watch::Sender<Vec<SocketAddr>>) {
    let pass = LinkBehaviour::default();
    fleet.signal("agent-engine-1", ProcessSignal::Kill).expect("kill");
    fleet.restart("agent-engine-1").await.expect("restart");
    sleep_ms(700).await;
    for direction in [LinkDirection::ToClient, LinkDirection::ToTarget, LinkDirection::Both] {
        let freeze = link(LinkMode::Freeze, direction, true);
        fleet.set_links(freeze, between_nodes).await.expect("links");
        sleep_ms(700).await;
        fleet.set_links(freeze, before_engines).await.expect("links");
        sleep_ms(700).await;
    }
    let cut = link(LinkMode::Cut, LinkDirection::Both, false);
    fleet.set_node_links("agent-engine-2", cut).await.expect("links");
    sleep_ms(1000).await;
    fleet.set_node_links("agent-engine-2", pass).await.expect("links");
    fleet.signal("agent-engine-3", ProcessSignal::Pause).expect("stop");
    sleep_ms(5000).await;
    fleet.signal("agent-engine-3", ProcessSignal::Resume).expect("continue");
    fleet.set_store_behaviour(&json!({ "mode": "down" })).await.expect("store");
    // The balancer does not send callers to a dead router.
    routers.send_replace(vec![fleet.caller_address("router-2").expect("a router")]);
    fleet.signal("router-1", ProcessSignal::Kill).expect("kill");
    sleep_ms(500).await;
    fleet
        .set_store_behaviour(&json!({ "mode": "lose-answers", "probability": 0.5 }))
        .await
        .expect("store");
    fleet.restart("router-1").await.expect("restart");
    // The balancer sends callers to a router only once it is ready. With a table service that
    // loses answers, that takes longer than the start of the process.
    fleet.wait_ready().await.expect("router-1 is ready again");
    routers.send_replace(fleet.caller_addresses().expect("routers"));
    sleep_ms(500).await;
    fleet.set_store_behaviour(&json!({ "mode": "up" })).await.expect("store");
}

/// Guards against answers that are truncated, mixed up or lost while agents and a router are killed
/// and paused, links are cut and frozen in one direction, and the table service is down.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn complete_all_under_faults() {
    let plan = FleetPlan {
        routers: 2,
        engines: 3,
        plain_services: 0,
        faults: true,
        ..plan("complete_all_under_faults")
    };
    let mut fleet = start_fleet(plan).await;
    let (routers_tx, routers) = watch::channel(fleet.caller_addresses().expect("routers"));
    let client = HttpClient::default();
    let calls = (0..COMPLETIONS).map(move |index| complete(client.clone(), routers.clone(), index));
    let started = Instant::now();
    let calls = tokio::spawn(stream::iter(calls).buffer_unordered(OPEN_CALLS).collect());
    inject_faults(&mut fleet, &routers_tx).await;
    let tallies: Vec<CallTally> = calls.await.expect("the calls end");
    let complete: usize = tallies.iter().map(|tally| tally.complete).sum();
    let wrong: usize = tallies.iter().map(|tally| tally.wrong).sum();
    let errors: usize = tallies.iter().map(|tally| tally.errors).sum();
    let refused: Vec<&String> = tallies.iter().flat_map(|tally| &tally.refused).collect();
    println!(
        "complete {complete}, wrong {wrong}, errors {errors}, refused {refused:?}, {:?}",
        started.elapsed()
    );
    expect_that!(complete, eq(COMPLETIONS));
    expect_that!(wrong, eq(0), "answers that ended normally with a wrong body");
    expect_that!(refused, is_empty(), "every waiting call is completed");
    // Only callers of the killed router lose their connection.
    expect_that!(errors, le(OPEN_CALLS));
    fleet.close().await.expect("the fleet ends");
}

/// Reads a stream and freezes links after its first bytes; returns the body and the longest gap
/// between two chunks after that.
async fn read_through_freeze(
    fleet: &RunningFleet,
    direction: LinkDirection,
    is_selected: fn(&str, &str) -> bool,
) -> (Vec<u8>, Duration) {
    let call = FleetCall::completion("team-1", "a long answer", 400);
    let request =
        call.to_router(fleet.caller_address("router-1").expect("a router")).expect("a call");
    let mut body = fleet.client().send(request).await.expect("an answer").into_body();
    let mut text = Vec::new();
    let mut longest = Duration::ZERO;
    let mut last = Instant::now();
    let mut frozen = false;
    while let Some(frame) = body.frame().await {
        let bytes: Bytes = frame.expect("a complete answer").into_data().unwrap_or_default();
        text.extend_from_slice(&bytes);
        if frozen {
            longest = longest.max(last.elapsed());
        }
        if !frozen && text.len() > 500 {
            let freeze = link(LinkMode::Freeze, direction, true);
            fleet.set_links(freeze, is_selected).await.expect("links");
            frozen = true;
        }
        last = Instant::now();
    }
    (text, longest)
}

/// Checks that a stream continues on a new connection when the selected links go silent.
async fn check_recovery_from_silence(name: &str, is_selected: fn(&str, &str) -> bool) {
    let plan = FleetPlan { plain_services: 0, faults: true, ..plan(name) };
    let fleet = start_fleet(plan).await;
    let expected = completion_events("a long answer", 400);
    for direction in [LinkDirection::ToClient, LinkDirection::ToTarget, LinkDirection::Both] {
        let (text, longest) = read_through_freeze(&fleet, direction, is_selected).await;
        println!("{name} {direction:?}: longest gap {longest:?}");
        expect_that!(String::from_utf8_lossy(&text), eq(expected.as_str()), "{direction:?}");
        expect_that!(longest, lt(SILENCE_BOUND), "{direction:?}");
    }
    let counters = fleet.read_control("engine-1", "counters").await.expect("counters");
    expect_that!(counters["requests"], eq(&json!(3)), "streams are resumed, not run again");
    fleet.close().await.expect("the fleet ends");
}

/// Guards against an answer that waits for ever on a silent connection between router and agent.
#[gtest]
#[tokio::test]
async fn attach_after_silent_router_link() {
    check_recovery_from_silence("attach_after_silent_router_link", between_nodes).await;
}

/// Guards against an answer that waits for ever on a silent connection between agent and engine.
#[gtest]
#[tokio::test]
async fn resume_after_silent_engine_link() {
    check_recovery_from_silence("resume_after_silent_engine_link", before_engines).await;
}

/// Guards against a buffered answer that waits for ever on a silent connection between agent and
/// engine.
#[gtest]
#[tokio::test]
async fn rerun_whole_answer_after_silent_engine_link() {
    let name = "rerun_whole_answer_after_silent_engine_link";
    let fleet = start_fleet(FleetPlan { plain_services: 0, faults: true, ..plan(name) }).await;
    let body = json!({ "prompt": "a long answer", "max_tokens": 400, "stream": false });
    let call = FleetCall::completion("team-1", "", 1).body(body.to_string());
    let undisturbed = Instant::now();
    let first = super::support::fetch(&fleet, "router-1", &call).await;
    let usual = undisturbed.elapsed();
    let started = Instant::now();
    let freeze = async {
        sleep_ms(300).await;
        let freeze = link(LinkMode::Freeze, LinkDirection::ToClient, true);
        fleet.set_links(freeze, before_engines).await.expect("links");
    };
    let (answer, ()) = tokio::join!(super::support::fetch(&fleet, "router-1", &call), freeze);
    println!("usual {usual:?}, with a silent connection {:?}", started.elapsed());
    expect_that!(answer.body, eq(&first.body));
    // The silence is detected only after the engine has ended the run; then the request is rerun.
    expect_that!(started.elapsed(), lt(2 * usual + SILENCE_BOUND));
    fleet.close().await.expect("the fleet ends");
}

/// Guards against a repeatable answer that is aborted, or ends normally although truncated, when
/// its agent is killed in the middle.
#[gtest]
#[tokio::test]
async fn rerun_after_agent_killed_mid_answer() {
    let plan =
        FleetPlan { engines: 2, plain_services: 0, ..plan("rerun_after_agent_killed_mid_answer") };
    let mut fleet = start_fleet(plan).await;
    let call = FleetCall::completion("team-1", "a long answer", 400);
    let request =
        call.to_router(fleet.caller_address("router-1").expect("a router")).expect("a call");
    let mut body = fleet.client().send(request).await.expect("an answer").into_body();
    let first = body.frame().await.expect("a frame").expect("bytes").into_data();
    let mut text = first.unwrap_or_default().to_vec();
    let mut killed = None;
    for index in 1..=2 {
        let counters =
            fleet.read_control(&format!("engine-{index}"), "counters").await.expect("counters");
        if counters["running"] == json!(1) {
            killed = Some(format!("agent-engine-{index}"));
        }
    }
    let killed = killed.expect("one engine runs the request");
    fleet.signal(&killed, ProcessSignal::Kill).expect("kill");
    fleet.restart(&killed).await.expect("restart");
    while let Some(frame) = body.frame().await {
        text.extend(frame.expect("a complete answer").into_data().unwrap_or_default());
    }
    let expected = completion_events("a long answer", 400);
    expect_that!(String::from_utf8_lossy(&text), eq(expected.as_str()));
    fleet.close().await.expect("the fleet ends");
}

/// Guards against a non-repeatable answer that ends normally although truncated when its agent is
/// killed in the middle.
#[gtest]
#[tokio::test]
async fn cut_off_non_repeatable_answer() {
    let plan = FleetPlan { engines: 1, plain_services: 0, routes: Vec::new(), ..plan("cut_off") };
    let mut fleet = start_fleet(plan).await;
    let call = FleetCall::completion("team-1", "a long answer", 400).key("k");
    let request =
        call.to_router(fleet.caller_address("router-1").expect("a router")).expect("a call");
    let mut body = fleet.client().send(request).await.expect("an answer").into_body();
    body.frame().await.expect("a frame").expect("bytes");
    fleet.signal("agent-engine-1", ProcessSignal::Kill).expect("kill");
    fleet.restart("agent-engine-1").await.expect("restart");
    let rest = body.collect().await;
    expect_that!(rest.is_err(), eq(true), "the connection must end with an error");
    let counters = fleet.read_control("engine-1", "counters").await.expect("counters");
    expect_that!(counters["requests"], eq(&json!(1)), "never run again");
    fleet.close().await.expect("the fleet ends");
}

/// Guards against a stream that keeps its slot after its caller has disconnected.
#[gtest]
#[tokio::test]
async fn cancel_on_departure() {
    let fleet = start_fleet(FleetPlan { plain_services: 0, ..plan("cancel_on_departure") }).await;
    let call = FleetCall::completion("team-1", "a long answer", 400);
    let request =
        call.to_router(fleet.caller_address("router-1").expect("a router")).expect("a call");
    let mut body = fleet.client().send(request).await.expect("an answer").into_body();
    body.frame().await.expect("a frame").expect("bytes");
    drop(body);
    let left = Instant::now();
    wait_until("the stream is cancelled", async || {
        let counters = fleet.read_control("engine-1", "counters").await.expect("counters");
        counters["cancelled"] == json!(1) && counters["running"] == json!(0)
    })
    .await
    .expect("a cancelled stream");
    // The bound is below 5 s, after which the engine itself drops streams without a client.
    expect_that!(left.elapsed(), lt(SILENCE_BOUND));
    fleet.close().await.expect("the fleet ends");
}

/// Guards against a stored outcome that differs from the first answer, or whose size is unbounded.
#[gtest]
#[tokio::test]
async fn repeat_finished_key() {
    let (service, prefix) = ("booking".to_owned(), "/blob".to_owned());
    let routes = vec![RoutePlan { service, prefix, repeatable: false }];
    let plan = FleetPlan { engines: 0, routes, ..plan("repeat_finished_key") };
    let fleet = start_fleet(plan).await;
    let fetch = async |call: &FleetCall| super::support::fetch(&fleet, "router-1", call).await;
    let call = FleetCall::plain("team-1", Method::POST, "/reserve").key("k/1 ~%").body("part 7");
    let first = fetch(&call).await;
    let repeat = fetch(&call).await;
    expect_that!(first.status.as_u16(), eq(200));
    expect_that!(repeat.body, eq(&first.body));
    expect_that!(repeat.headers["godwitcrank-replayed"], eq("true"));
    expect_that!(repeat.headers["content-type"], eq(&first.headers["content-type"]));
    let reused = fetch(&call.clone().body("part 8")).await;
    expect_that!(reused.status.as_u16(), eq(409));
    expect_that!(reused.json().expect("JSON")["reason"], eq(&json!("key-reused")));
    let other = FleetCall { team: "team-2".to_owned(), ..call.clone() };
    expect_that!(fetch(&other).await.headers.contains_key("godwitcrank-replayed"), eq(false));
    let large = FleetCall::plain("team-1", Method::GET, "/blob/100000").key("large");
    expect_that!(fetch(&large).await.body.len(), eq(100_000));
    let repeat = fetch(&large).await;
    expect_that!(repeat.status.as_u16(), eq(409));
    expect_that!(repeat.headers["godwitcrank-was-run"], eq("yes"));
    expect_that!(repeat.json().expect("JSON")["reason"], eq(&json!("answer-not-kept")));
    fleet.close().await.expect("the fleet ends");
}
