//! Platform: transactions, injected faults, rate limits and the lag of the VM list.

use std::time::Duration;

use godwitcrank_standin::client::HttpClient;
use godwitcrank_standin::platform::{PlatformOptions, RawPlatformOptions, RunningPlatform};
use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::{Value, json};

use super::support::{any_port, wait_until};

async fn start(raw: RawPlatformOptions) -> RunningPlatform {
    let options = PlatformOptions::try_from(raw).expect("valid options");
    RunningPlatform::start(any_port(), options).await.expect("the platform starts")
}

/// Writes `key` on condition that its version is `version`; returns the status and the body.
async fn write(running: &RunningPlatform, key: &str, version: u64, value: Value) -> (u16, Value) {
    let body = json!({
        "conditions": [{ "key": key, "version": version }],
        "writes": [{ "key": key, "value": value }],
    });
    let client = HttpClient::default();
    let address = running.address();
    let answer = client.call(Method::POST, address, "/table/transact", &body).await;
    let answer = answer.expect("the platform answers");
    (answer.status.as_u16(), answer.json().expect("JSON"))
}

/// Guards against a deleted and recreated row that gets an earlier version again, and against
/// writes whose condition does not hold.
#[gtest]
#[tokio::test]
async fn transact_recreated_row() {
    let running = start(RawPlatformOptions::default()).await;
    let first = write(&running, "claim/a", 0, json!("x")).await;
    expect_that!(first, eq(&(200, json!({ "versions": { "claim/a": 1 } }))));
    let conflict = write(&running, "claim/a", 0, json!("y")).await;
    let content = json!({ "key": "claim/a", "version": 1, "value": "x" });
    expect_that!(conflict, eq(&(409, json!({ "conflicts": [content] }))));
    expect_that!(write(&running, "claim/a", 1, Value::Null).await.0, eq(200));
    let recreated = write(&running, "claim/a", 0, json!("z")).await;
    expect_that!(recreated, eq(&(200, json!({ "versions": { "claim/a": 3 } }))));
    running.close().await;
}

/// Guards against scans that omit rows or return them out of order.
#[gtest]
#[tokio::test]
async fn scan_pages() {
    let running = start(RawPlatformOptions::default()).await;
    for key in ["lease/b", "claim/c", "claim/a", "claim/b"] {
        write(&running, key, 0, json!(key)).await;
    }
    let client = HttpClient::default();
    let mut keys = Vec::new();
    let mut after = String::new();
    loop {
        let path = format!("/table/scan?prefix=claim%2F&after={after}&limit=2");
        let page = client.get_json(running.address(), &path).await.expect("a page");
        let rows = page["rows"].as_array().expect("rows").clone();
        let Some(last) = rows.last() else { break };
        after = last["key"].as_str().expect("a key").replace('/', "%2F");
        keys.extend(rows.iter().map(|row| row["key"].as_str().expect("a key").to_owned()));
    }
    expect_that!(keys, elements_are![eq("claim/a"), eq("claim/b"), eq("claim/c")]);
    running.close().await;
}

/// Guards against a mode `lose-answers` that does not execute the write: tests that use it would
/// then miss duplicate executions.
#[gtest]
#[tokio::test]
async fn transact_lost_answer() {
    let running = start(RawPlatformOptions::default()).await;
    let client = HttpClient::default();
    let address = running.address();
    let lose = json!({ "mode": "lose-answers" });
    client.put_json(address, "/control/store", &lose).await.expect("a behaviour");
    let body = json!({ "writes": [{ "key": "claim/a", "value": 1 }] });
    let lost = client.call(Method::POST, address, "/table/transact", &body).await;
    expect_that!(lost.is_err(), eq(true));
    let up = json!({ "mode": "up" });
    client.put_json(address, "/control/store", &up).await.expect("a behaviour");
    let row = client.get_json(address, "/table/row?key=claim%2Fa").await.expect("the row");
    expect_that!(row["value"], eq(&json!(1)));
    let down = json!({ "mode": "down" });
    client.put_json(address, "/control/store", &down).await.expect("a behaviour");
    let refused = client.call(Method::GET, address, "/table/row?key=claim%2Fa", &Value::Null).await;
    expect_that!(refused.expect("an answer").status, eq(StatusCode::SERVICE_UNAVAILABLE));
    running.close().await;
}

/// Guards against a table service that does not enforce its rate limit, which the design of the
/// fleet has to respect.
#[gtest]
#[tokio::test]
async fn transact_above_rate() {
    let raw = RawPlatformOptions { writes_per_second: 2.0, ..RawPlatformOptions::default() };
    let running = start(raw).await;
    let mut statuses = Vec::new();
    for key in ["a", "b", "c"] {
        statuses.push(write(&running, key, 0, json!(1)).await.0);
    }
    expect_that!(statuses, elements_are![eq(&200), eq(&200), eq(&429)]);
    running.close().await;
}

/// Guards against a VM list that shows a change before its lag has passed, or never.
#[gtest]
#[tokio::test]
async fn list_vms_lag() {
    let raw = RawPlatformOptions { vm_list_lag_ms: 300, ..RawPlatformOptions::default() };
    let running = start(raw).await;
    let client = HttpClient::default();
    let address = running.address();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let vm = json!({ "node": "router-1", "role": "router", "state": "live" });
    client.put_json(address, "/vms/vm-1", &vm).await.expect("an entry");
    let list = client.get_json(address, "/vms").await.expect("the list");
    expect_that!(list, eq(&json!({ "vms": [] })));
    wait_until("the VM is listed", async || {
        let list = client.get_json(address, "/vms").await.expect("the list");
        list["vms"][0]["id"] == json!("vm-1")
    })
    .await;
    running.close().await;
}
