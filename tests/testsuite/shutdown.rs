//! Graceful shutdown of routers, agents and upstreams in any order under load.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use godwitcrank_standin::client::HttpClient;
use godwitcrank_standin::engine::completion_events;
use godwitcrank_standin::fleet::{FleetCall, FleetPlan, ProcessSignal, RouterBalancer, wait_until};
use googletest::prelude::*;
use http::Method;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

use super::support::{plan, start_fleet};

/// Number of callers, each of which sends one call after another.
const CALLERS: u64 = 12;

/// Sends calls through ready routers until `stop`; returns the failures.
async fn call_until(
    balancer: Arc<RouterBalancer>,
    caller: u64,
    answered: Arc<AtomicU64>,
    stop: CancellationToken,
) -> Vec<String> {
    let client = HttpClient::default();
    let mut failures = Vec::new();
    let mut number = caller;
    while !stop.is_cancelled() {
        number += CALLERS;
        let prompt = format!("prompt {number}");
        let (call, expected) = if caller.is_multiple_of(2) {
            let call = FleetCall::completion("team-1", &prompt, 64);
            (call, Some(completion_events(&prompt, 64)))
        } else {
            let call = FleetCall::plain("team-2", Method::POST, "/charge");
            (call.key(&format!("charge-{number}")).body(prompt.clone()), None)
        };
        let router = balancer.choose(number).await.expect("a router is ready");
        match client.fetch(call.to_router(router).expect("a valid call")).await {
            Err(error) => failures.push(format!("{error:#}")),
            Ok(answer) if !answer.status.is_success() => {
                failures.push(String::from_utf8_lossy(&answer.body).into_owned());
            }
            Ok(answer) => {
                if expected.is_some_and(|expected| answer.body != expected.as_bytes()) {
                    failures.push(format!("{prompt}: wrong body"));
                }
            }
        }
        answered.fetch_add(1, Ordering::Relaxed);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    failures
}

/// Waits until callers have ended about two calls each, so that every stop meets calls in progress.
async fn wait_answered(answered: &AtomicU64) {
    let target = answered.load(Ordering::Relaxed) + 2 * CALLERS;
    wait_until("calls end", async || answered.load(Ordering::Relaxed) >= target)
        .await
        .expect("the load goes on");
}

/// Guards against a planned stop that aborts or refuses a request, or that does not complete.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn stop_in_any_order_under_load() {
    let plan = FleetPlan {
        routers: 3,
        engines: 3,
        plain_services: 3,
        plain_arguments: vec!["--run-ms".to_owned(), "100".to_owned()],
        ..plan("stop_in_any_order_under_load")
    };
    let mut fleet = start_fleet(plan).await;
    let balancer = Arc::new(fleet.balancer().expect("routers"));
    let stop = CancellationToken::new();
    let answered = Arc::new(AtomicU64::new(0));
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let answered = Arc::clone(&answered);
        callers.spawn(call_until(Arc::clone(&balancer), caller, answered, stop.clone()));
    }
    for order in [
        ["agent-engine-1", "router-1", "agent-plain-1"],
        ["router-2", "agent-plain-2", "agent-engine-2"],
    ] {
        for node in order {
            wait_answered(&answered).await;
            fleet.signal(node, ProcessSignal::Terminate).expect("a signal");
            let code = fleet.wait_exit(node).await.expect("the process ends");
            expect_that!(code, some(eq(0)), "{node}");
            // The upstream is stopped after its agent, when nothing runs on it any more.
            if let Some(upstream) = node.strip_prefix("agent-") {
                fleet.signal(upstream, ProcessSignal::Terminate).expect("a signal");
            }
        }
    }
    wait_answered(&answered).await;
    stop.cancel();
    let ended = callers.join_all().await;
    let failures: Vec<&String> = ended.iter().flatten().collect();
    println!("calls {}, failures {failures:?}", answered.load(Ordering::Relaxed));
    expect_that!(failures, is_empty());
}

/// Guards against an agent that, on a stop, waits for ever for a router that was killed.
#[gtest]
#[tokio::test]
async fn stop_after_router_was_killed() {
    let fleet_plan = FleetPlan { plain_services: 0, ..plan("stop_after_router_was_killed") };
    let mut fleet = start_fleet(fleet_plan).await;
    let call = FleetCall::completion("team-1", "a long answer", 400);
    let request =
        call.to_router(fleet.caller_address("router-1").expect("a router")).expect("a call");
    let answer = fleet.client().send(request).await.expect("an answer");
    fleet.signal("router-1", ProcessSignal::Kill).expect("kill");
    drop(answer);
    fleet.signal("agent-engine-1", ProcessSignal::Terminate).expect("a signal");
    let code = fleet.wait_exit("agent-engine-1").await.expect("the process ends");
    expect_that!(code, some(eq(0)));
}
