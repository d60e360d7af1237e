//! End-to-end path of requests from callers through routers and agents to upstreams, with real
//! processes.

use std::sync::Arc;

use futures::future::join_all;
use godwitcrank_standin::engine::completion_events;
use godwitcrank_standin::fleet::{CheckedCall, FleetCall, FleetPlan, ProcessSignal, wait_until};
use godwitcrank_standin::load::{CallTarget, ClosedLoad};
use godwitcrank_standin::proxy::{LinkBehaviour, LinkMode};
use googletest::prelude::*;
use http::Method;

use super::support::{fetch, plan, start_fleet, try_fetch};

/// Guards against answers that are altered or truncated on their way, whether plain or streamed.
#[gtest]
#[tokio::test]
async fn relay_model_and_plain() {
    let plan = FleetPlan { routers: 2, engines: 2, ..plan("relay_model_and_plain") };
    let fleet = start_fleet(plan).await;
    let completion = FleetCall::completion("team-1", "hello", 32);
    for router in ["router-1", "router-2"] {
        let answer = fetch(&fleet, router, &completion).await;
        expect_that!(answer.status.as_u16(), eq(200));
        expect_that!(
            String::from_utf8_lossy(&answer.body),
            eq(completion_events("hello", 32).as_str())
        );
    }
    let call = FleetCall::plain("team-2", Method::POST, "/reserve?part=7").key("k-1").body("x");
    let answer = fetch(&fleet, "router-2", &call).await;
    expect_that!(answer.status.as_u16(), eq(200));
    let echo = answer.json().expect("JSON");
    expect_that!(echo["path"], eq(&serde_json::json!("/reserve?part=7")));
    expect_that!(echo["key"], eq(&serde_json::json!("k-1")));
    fleet.close().await.expect("the fleet ends");
}

/// Guards against answers that reach the wrong caller or are truncated when they arrive late and out
/// of order: 200 concurrent calls over two routers and three agents, one of them behind slow links.
#[gtest]
#[tokio::test]
async fn relay_crossed_answers() {
    const CALLS: u64 = 200;
    let plan = FleetPlan {
        routers: 2,
        engines: 2,
        engine_arguments: vec!["--tokens-per-second".to_owned(), "500".to_owned()],
        agent_settings: claim_settings(),
        faults: true,
        ..plan("relay_crossed_answers")
    };
    let fleet = start_fleet(plan).await;
    let delay = LinkBehaviour { mode: LinkMode::Delay, delay_ms: 20, ..LinkBehaviour::default() };
    fleet.set_node_links("agent-engine-1", delay).await.expect("links");
    let sends = (0..CALLS).map(|number| {
        let call = mixed_call(number);
        let router = format!("router-{}", 1 + number / 3 % 2);
        let fleet = &fleet;
        async move {
            let answer = try_fetch(fleet, &router, &call.call).await;
            answer.map_err(|report| format!("{report:#}")).and_then(|answer| call.check(&answer))
        }
    });
    let failures: Vec<String> = join_all(sends).await.into_iter().filter_map(Result::err).collect();
    expect_that!(failures, is_empty());
    for upstream in ["engine-1", "engine-2"] {
        let counters = fleet.read_control(upstream, "counters").await.expect("counters");
        expect_that!(counters["completed"].as_u64(), some(gt(0)));
    }
    fleet.close().await.expect("the fleet ends");
}

/// Settings with which an agent can claim all keyed calls of these tests at once. The default
/// divides the write rate of the table service among the agents of a large fleet; here only one or
/// two agents share it.
fn claim_settings() -> String {
    "[limits]\nclaims-per-second = 200".to_owned()
}

/// Returns, in turn, a completion, a call with a large answer and a non-repeatable call.
fn mixed_call(number: u64) -> CheckedCall {
    let team = format!("team-{}", 1 + number % 2);
    let text = format!("call {number}");
    match number % 3 {
        0 => CheckedCall::completion(&team, &text, 64),
        1 => CheckedCall::blob(&team, 1000 * number as usize + 7),
        _ => CheckedCall::keyed(&team, "/reserve", &text, &text),
    }
}

/// Guards against planned stops that abort requests: a router and then two agents stop under load
/// while the balancer sends new connections elsewhere.
#[gtest]
#[tokio::test]
async fn drain_under_load() {
    const CALLERS: u64 = 30;
    let plan = FleetPlan {
        routers: 2,
        engines: 2,
        plain_services: 2,
        plain_arguments: vec!["--run-ms".to_owned(), "50".to_owned()],
        agent_settings: claim_settings(),
        // The routers' default delay. The test fleet's is shorter, and on a busy machine the
        // balancer does not always notice the stop in that time.
        router_settings: "[drain]\ndelay = \"2s\"".to_owned(),
        ..plan("drain_under_load")
    };
    let mut fleet = start_fleet(plan).await;
    let balancer = Arc::new(fleet.balancer().expect("routers"));
    let load = ClosedLoad::start(CallTarget::Routers(balancer), CALLERS, Arc::new(mixed_call));
    for stopping in ["router-1", "agent-engine-1", "agent-plain-1"] {
        // Callers send one call after another, so the stop meets calls in progress.
        wait_answered(&load, 2 * CALLERS).await;
        fleet.signal(stopping, ProcessSignal::Terminate).expect("a signal");
        let code = fleet.wait_exit(stopping).await.expect("the process ends");
        expect_that!(code, some(eq(0)), "{stopping}");
    }
    wait_answered(&load, 2 * CALLERS).await;
    let report = load.close().await;
    expect_that!(report.examples, is_empty());
    expect_that!((report.refused, report.failed), eq((0, 0)));
    for upstream in ["plain-1", "plain-2"] {
        let ledger = fleet.read_control(upstream, "ledger").await.expect("the ledger");
        let by_key = ledger["by-key"].as_object().expect("keys");
        let repeated: Vec<_> = by_key.iter().filter(|(_, counts)| counts["count"] != 1).collect();
        expect_that!(repeated, is_empty());
    }
    fleet.close().await.expect("the fleet ends");
}

/// Waits until `further` more calls have been answered.
async fn wait_answered(load: &ClosedLoad, further: u64) {
    let target = load.answered() + further;
    wait_until("calls are answered", || async { load.answered() >= target })
        .await
        .expect("the load goes on");
}

/// Guards against a router that keeps using an agent's previous incarnation, and against links of
/// the fault proxy that do not follow a restart.
#[gtest]
#[tokio::test]
async fn relay_restarted_nodes() {
    let plan = FleetPlan { faults: true, plain_services: 0, ..plan("relay_restarted_nodes") };
    let mut fleet = start_fleet(plan).await;
    let completion = FleetCall::completion("team-1", "hello", 32);
    for restarted in ["agent-engine-1", "router-1"] {
        expect_that!(fetch(&fleet, "router-1", &completion).await.status.as_u16(), eq(200));
        fleet.restart(restarted).await.expect("a restart");
        fleet.wait_ready().await.expect("a ready fleet");
    }
    expect_that!(fetch(&fleet, "router-1", &completion).await.status.as_u16(), eq(200));
    let counters = fleet.read_control("engine-1", "counters").await.expect("counters");
    expect_that!(counters["by-team"]["team-1"]["requests"], eq(&serde_json::json!(3)));
    fleet.close().await.expect("the fleet ends");
}

/// Guards against processes that outlive a test that panics.
#[gtest]
#[tokio::test]
async fn drop_after_panic() {
    let (ids_tx, ids_rx) = tokio::sync::oneshot::channel();
    let test = tokio::spawn(async move {
        let fleet = start_fleet(plan("drop_after_panic")).await;
        let ids: Vec<u32> = fleet.nodes().filter_map(|node| node.process.id()).collect();
        ids_tx.send(ids).expect("the test waits");
        panic!("expected by the test");
    });
    expect_that!(test.await.is_err(), eq(true));
    let ids = ids_rx.await.expect("the fleet started");
    assert_that!(ids.len(), eq(3));
    wait_until("all processes have ended", || async { ids.iter().all(|id| has_ended(*id)) })
        .await
        .expect("no process is left");
}

/// Returns whether a process has exited or is a zombie.
fn has_ended(id: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    status.is_empty() || status.contains("State:\tZ")
}
