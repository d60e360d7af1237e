//! Plain service: ledger and large answers.

use godwitcrank_standin::client::HttpClient;
use godwitcrank_standin::hash::body_hash;
use godwitcrank_standin::plain::{PlainOptions, RawPlainOptions, RunningPlain, blob_content};
use googletest::prelude::*;
use http::{Method, Request};
use http_body_util::Full;
use serde_json::{Value, json};

use super::support::{any_port, wait_until};

async fn start(raw: RawPlainOptions) -> RunningPlain {
    let options = PlainOptions::try_from(raw).expect("valid options");
    RunningPlain::start(any_port(), options).await.expect("the service starts")
}

/// Guards against executions that are missing in the ledger: repeated ones, and those whose client
/// disconnected.
#[gtest]
#[tokio::test]
async fn ledger_repeated_key() {
    let running = start(RawPlainOptions { run_ms: 20, ..RawPlainOptions::default() }).await;
    let address = running.address();
    let client = HttpClient::default();
    let request = || {
        Request::post(format!("http://{address}/reserve?part=7"))
            .header("idempotency-key", "k-1")
            .body(Full::new("body".into()))
            .expect("a valid request")
    };
    let first = client.fetch(request()).await.expect("an answer").json().expect("JSON");
    expect_that!(first["path"], eq(&json!("/reserve?part=7")));
    expect_that!(first["body-hash"], eq(&json!(body_hash(b"body"))));
    let timed_out =
        tokio::time::timeout(std::time::Duration::from_millis(5), client.fetch(request()));
    expect_that!(timed_out.await.is_err(), eq(true));
    wait_until("both executions have ended", async || {
        let counters = client.get_json(address, "/control/counters").await.expect("counters");
        counters["ended"] == json!(2)
    })
    .await;
    let ledger = client.get_json(address, "/control/ledger").await.expect("the ledger");
    expect_that!(ledger["by-key"]["k-1"]["count"], eq(&json!(2)));
    running.close().await;
}

/// Guards against large answers that are truncated or have wrong content at the chunk boundaries.
#[gtest]
#[tokio::test]
async fn blob_several_chunks() {
    let running = start(RawPlainOptions::default()).await;
    const SIZE: usize = 200_003;
    let path = format!("/blob/{SIZE}");
    let client = HttpClient::default();
    let answer = client.call(Method::GET, running.address(), &path, &Value::Null).await;
    expect_that!(answer.expect("an answer").body == blob_content(SIZE), eq(true));
    running.close().await;
}
