//! Responses to refused requests, and messages about invalid settings, with real processes.

use std::process::Stdio;

use godwitcrank_standin::client::BufferedAnswer;
use godwitcrank_standin::fleet::{FleetCall, FleetPlan, RunningFleet, wait_until};
use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::process::Command;

use super::support::{fetch, plan, programs, start_fleet, try_fetch};

/// Checks the documented format of a refusal of a request that was not run.
#[track_caller]
fn expect_refusal(answer: &BufferedAnswer, status: u16, reason: &str, has_retry_after: bool) {
    expect_that!(answer.status.as_u16(), eq(status));
    let header = |name: &str| answer.headers.get(name).and_then(|value| value.to_str().ok());
    expect_that!(header("godwitcrank-was-run"), some(eq("no")));
    expect_that!(header("content-type"), some(eq("application/json")));
    let body = answer.json().unwrap_or(Value::Null);
    expect_that!(body["reason"], eq(&json!(reason)));
    expect_that!(body["was_run"], eq(&json!("no")));
    let seconds = header("retry-after").and_then(|seconds| seconds.parse::<u64>().ok());
    expect_that!(seconds.is_some(), eq(has_retry_after));
    expect_that!(body["retry_after"], eq(&json!(seconds)));
}

/// Starts a fleet with one slot and a queue of one request per team.
async fn small_fleet(name: &str) -> RunningFleet {
    let plan = FleetPlan {
        engine_slots: 1,
        plain_services: 0,
        engine_arguments: vec!["--tokens-per-second".to_owned(), "20".to_owned()],
        router_settings: "[limits]\nbody-bytes = 1000\nteam-queue = 1\nqueue-timeout = \"500ms\""
            .to_owned(),
        ..plan(name)
    };
    start_fleet(plan).await
}

/// Guards against refusals of an unknown key, an unknown service or an oversized body that lack a
/// machine-readable reason or do not state whether the request was run.
#[gtest]
#[tokio::test]
async fn refuse_unacceptable_request() {
    let fleet = small_fleet("refuse_unacceptable_request").await;
    let unknown_key = FleetCall::completion("nobody", "prompt", 8);
    expect_refusal(&fetch(&fleet, "router-1", &unknown_key).await, 401, "unknown-key", false);
    let known = FleetCall::completion("team-1", "prompt", 8);
    let unknown_service = FleetCall { path: "/other/x".to_owned(), ..known.clone() };
    let answer = fetch(&fleet, "router-1", &unknown_service).await;
    expect_refusal(&answer, 404, "unknown-service", false);
    let too_large = known.body("x".repeat(1001));
    expect_refusal(&fetch(&fleet, "router-1", &too_large).await, 413, "too-large", false);
    let counters = fleet.read_control("engine-1", "counters").await.expect("counters");
    expect_that!(counters["requests"], eq(&json!(0)));
    fleet.close().await.expect("the fleet ends");
}

/// Guards against an unbounded queue, and against requests that wait for ever or are refused as not
/// run although they were run.
#[gtest]
#[tokio::test]
async fn refuse_without_capacity() {
    let fleet = small_fleet("refuse_without_capacity").await;
    let long = FleetCall::completion("team-1", &long_prompt(), 64);
    let running = async {
        let answer = try_fetch(&fleet, "router-1", &long).await.expect("an answer");
        expect_that!(answer.status.as_u16(), eq(200));
    };
    let refused = async {
        wait_until("the slot is taken", || async {
            let counters = fleet.read_control("engine-1", "counters").await;
            counters.is_ok_and(|counters| counters["running"] == json!(1))
        })
        .await
        .expect("a running request");
        // One of the two is queued until its timeout, the other finds the queue full.
        let first = fetch(&fleet, "router-1", &long);
        let second = fetch(&fleet, "router-1", &long);
        let (first, second) = tokio::join!(first, second);
        let full = StatusCode::TOO_MANY_REQUESTS;
        let (waiting, surplus) =
            if first.status == full { (second, first) } else { (first, second) };
        expect_refusal(&waiting, 503, "queue-timeout", true);
        expect_refusal(&surplus, 429, "team-queue-full", true);
    };
    tokio::join!(running, refused);
    let counters = fleet.read_control("engine-1", "counters").await.expect("counters");
    expect_that!(counters["requests"], eq(&json!(1)));
    let unserved = FleetCall::plain("team-1", Method::GET, "/x");
    let answer = fetch(&fleet, "router-1", &unserved).await;
    expect_that!(answer.status.as_u16(), eq(503));
    expect_that!(answer.json().expect("JSON")["was_run"], eq(&json!("no")));
    fleet.close().await.expect("the fleet ends");
}

/// Returns a prompt whose completion takes about two seconds.
fn long_prompt() -> String {
    (0..)
        .map(|index| format!("prompt {index}"))
        .find(|prompt| {
            let content = godwitcrank_standin::engine::StreamContent::of(prompt, 64);
            (40..50).contains(&content.completion_tokens())
        })
        .expect("some prompt fits")
}

/// Guards against a daemon that starts with invalid settings, or reports only the first mistake.
#[gtest]
#[tokio::test]
async fn start_five_mistakes() {
    let platform = TcpListener::bind(("127.0.0.1", 0)).await.expect("a listener");
    let address = platform.local_addr().expect("an address");
    let text = format!(
        "[node]\nid = 7\ndata-centre = \"caerdydd\"\n\n\
         [listen]\ncaller = \"127.0.0.1:0\"\npeer = \"localhost\"\n\n\
         [platform]\ntable = \"http://{address}\"\nvm-list = \"ftp://{address}\"\n\n\
         [limits]\nteam-queue = 0\nunknown-limit = 3\n"
    );
    let file = std::env::temp_dir().join(format!("five-mistakes-{}.toml", std::process::id()));
    std::fs::write(&file, text).expect("a settings file");
    let output = Command::new(programs().router)
        .arg("--settings")
        .arg(&file)
        .stdin(Stdio::null())
        .output()
        .await
        .expect("the router runs");
    std::fs::remove_file(&file).expect("the settings file");
    expect_that!(output.status.code(), some(eq(2)));
    expect_that!(output.stdout.len(), eq(0));
    let log = String::from_utf8_lossy(&output.stderr).into_owned();
    let file = file.display();
    for (line, key) in [
        (2, "node.id"),
        (7, "listen.peer"),
        (11, "platform.vm-list"),
        (14, "limits.team-queue"),
        (15, "limits.unknown-limit"),
    ] {
        expect_that!(log, contains_substring(format!("{file}:{line}: {key}: ")));
    }
    expect_that!(log.lines().count(), eq(5));
    let connected = tokio::time::timeout(std::time::Duration::ZERO, platform.accept()).await;
    expect_that!(connected.is_err(), eq(true), "the daemon called the platform");
}

/// Guards against a router whose memory grows with the number of waiting teams, and against body
/// space that is not released at the end of an answer.
#[gtest]
#[tokio::test]
async fn refuse_above_total_body_bytes() {
    let plan = FleetPlan {
        engine_slots: 1,
        plain_services: 0,
        engine_arguments: vec!["--tokens-per-second".to_owned(), "50".to_owned()],
        router_settings: "[limits]\nbody-bytes = 4096\ntotal-body-bytes = 8192".to_owned(),
        ..plan("refuse_above_total_body_bytes")
    };
    let fleet = start_fleet(plan).await;
    // Each body reserves 4 KiB of the 8 KiB, so the third of three concurrent calls is refused.
    let call = |number: usize| {
        FleetCall::completion("team-1", &format!("{number}{}", "x".repeat(3500)), 32)
    };
    let calls: Vec<FleetCall> = (0..3).map(call).collect();
    let answers =
        futures::future::join_all(calls.iter().map(|call| fetch(&fleet, "router-1", call))).await;
    let (whole, refused): (Vec<_>, Vec<_>) =
        answers.iter().partition(|answer| answer.status.is_success());
    expect_that!((whole.len(), refused.len()), eq((2, 1)));
    expect_refusal(refused[0], 503, "overloaded", true);
    for number in 10..13 {
        let answer = fetch(&fleet, "router-1", &call(number)).await;
        expect_that!(answer.status.as_u16(), eq(200), "space is free again");
    }
    fleet.close().await.expect("the fleet ends");
}
