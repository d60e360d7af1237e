//! Engine: content, cold start, resumed streams, orders and injected faults.

use std::net::SocketAddr;

use bytes::Bytes;
use godwitcrank_standin::client::{BufferedAnswer, HttpClient};
use godwitcrank_standin::engine::{
    EngineOptions, RawEngineOptions, RunningEngine, StreamContent, completion_events,
};
use googletest::prelude::*;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use serde_json::json;

use super::support::{any_port, wait_until};

async fn start(raw: RawEngineOptions) -> RunningEngine {
    let options = EngineOptions::try_from(raw).expect("valid options");
    RunningEngine::start(any_port(), options).await.expect("the engine starts")
}

fn completion(address: SocketAddr, prompt: &str, id: Option<&str>) -> Request<Full<Bytes>> {
    let body = json!({ "prompt": prompt, "max_tokens": 64, "stream": true }).to_string();
    let mut request = Request::post(format!("http://{address}/v1/completions"));
    if let Some(id) = id {
        request = request.header("x-request-id", id);
    }
    request.body(Full::new(body.into())).expect("a valid request")
}

async fn complete(address: SocketAddr, prompt: &str) -> eyre::Result<BufferedAnswer> {
    HttpClient::default().fetch(completion(address, prompt, None)).await
}

/// Returns a prompt whose completion has at least `tokens` tokens.
fn long_prompt(tokens: u64) -> String {
    (0..)
        .map(|index| format!("prompt {index}"))
        .find(|prompt| StreamContent::of(prompt, 64).completion_tokens() >= tokens)
        .expect("some prompt is long enough")
}

/// Guards against answers that differ between two requests with the same prompt.
#[gtest]
#[tokio::test]
async fn complete_same_prompt() {
    let raw = RawEngineOptions { tokens_per_second: 2000.0, ..RawEngineOptions::default() };
    let running = start(raw).await;
    let first = complete(running.address(), "hello").await.expect("an answer");
    let second = complete(running.address(), "hello").await.expect("an answer");
    expect_that!(first.body, eq(&second.body));
    expect_that!(first.body, eq(&Bytes::from(completion_events("hello", 64))));
    running.close().await;
}

/// Guards against a cold engine that accepts any load, and against one that does not restart after
/// it crashed.
#[gtest]
#[tokio::test]
async fn complete_above_cold_limit() {
    let raw = RawEngineOptions { cold_start_ms: 60_000, restart_ms: 50, ..Default::default() };
    let running = start(raw).await;
    let client = HttpClient::default();
    let address = running.address();
    let before = client.get_json(address, "/health").await.expect("health");
    expect_that!(before["cold"], eq(&json!(true)));
    let prompt = long_prompt(50);
    let held = client.send(completion(address, &prompt, None)).await.expect("a stream");
    expect_that!(complete(address, &prompt).await.is_err(), eq(true));
    expect_that!(held.into_body().collect().await.is_err(), eq(true));
    wait_until("the engine has restarted", async || {
        let health = HttpClient::default().get_json(address, "/health").await;
        health.is_ok_and(|health| health["boot-id"] != before["boot-id"])
    })
    .await;
    let counters = client.get_json(address, "/control/counters").await.expect("counters");
    expect_that!(counters["crashes"], eq(&json!(1)));
    expect_that!(counters["over-cold-events"], eq(&json!(1)));
    // Only the first request was lost; the one above the limit never became a stream.
    expect_that!(counters["lost"], eq(&json!(1)));
    running.close().await;
}

/// Guards against a resumed stream that repeats or omits tokens.
#[gtest]
#[tokio::test]
async fn resume_after_index() {
    let running = start(RawEngineOptions::default()).await;
    let address = running.address();
    let client = HttpClient::default();
    let prompt = long_prompt(20);
    let first = client.send(completion(address, &prompt, Some("s-1"))).await.expect("a stream");
    let mut body = first.into_body();
    body.frame().await.expect("a frame").expect("data");
    drop(body);
    let request = Request::get(format!("http://{address}/v1/streams/s-1?after=4"))
        .body(Full::default())
        .expect("a valid request");
    let rest = client.fetch(request).await.expect("the rest of the stream");
    let content = StreamContent::of(&prompt, 64);
    let expected = content.token_events(5, content.completion_tokens()) + &content.final_events();
    expect_that!(rest.body, eq(&Bytes::from(expected)));
    running.close().await;
}

/// Guards against requests without an id that keep their slot after the client disconnected.
#[gtest]
#[tokio::test]
async fn complete_client_disconnected() {
    let raw = RawEngineOptions { tokens_per_second: 1.0, ..RawEngineOptions::default() };
    let running = start(raw).await;
    let address = running.address();
    let client = HttpClient::default();
    let stream = client.send(completion(address, &long_prompt(20), None)).await.expect("a stream");
    drop(stream);
    wait_until("the stream is cancelled", async || {
        let counters = client.get_json(address, "/control/counters").await.expect("counters");
        counters["cancelled"] == json!(1) && counters["running"] == json!(0)
    })
    .await;
    running.close().await;
}

/// Guards against an engine that is told to check fencing numbers but accepts an old one.
#[gtest]
#[tokio::test]
async fn order_old_fencing() {
    let raw = RawEngineOptions { checks_orders: true, ..RawEngineOptions::default() };
    let running = start(raw).await;
    let address = running.address();
    let client = HttpClient::default();
    let mut statuses = Vec::new();
    for fencing in [5, 4, 5] {
        let order =
            json!({ "fencing": fencing, "order": { "kind": "load-version", "version": "2" } });
        let answer = client.call(Method::POST, address, "/orders", &order).await;
        statuses.push(answer.expect("an answer").status.as_u16());
    }
    expect_that!(statuses, elements_are![eq(&200), eq(&409), eq(&200)]);
    let health = client.get_json(address, "/health").await.expect("health");
    expect_that!(health["version"], eq(&json!("2")));
    running.close().await;
}

/// Guards against a fault that is limited to one route but affects others.
#[gtest]
#[tokio::test]
async fn set_behaviour_one_route() {
    let running = start(RawEngineOptions::default()).await;
    let address = running.address();
    let client = HttpClient::default();
    let fault = json!({ "fail-route": "/v1/completions/bad" });
    client.put_json(address, "/control/behaviour", &fault).await.expect("a behaviour");
    let body = json!({ "prompt": "p", "max_tokens": 1 });
    let unaffected = client.call(Method::POST, address, "/v1/completions", &body).await;
    expect_that!(unaffected.expect("an answer").status.as_u16(), eq(200));
    let failed = client.call(Method::POST, address, "/v1/completions/bad", &body).await;
    expect_that!(failed.expect("an answer").status.as_u16(), eq(500));
    running.close().await;
}
