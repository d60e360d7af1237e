//! Binary: start-up report, stop on a signal, and invalid options.

use std::process::Stdio;

use godwitcrank_standin::client::HttpClient;
use googletest::prelude::*;
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::process::Command;
use tokio::time::timeout;

use super::support::DEADLINE;

const BINARY: &str = env!("CARGO_BIN_EXE_godwitcrank-standin");

/// Guards against a process that reports its address before it accepts connections, or does not
/// stop on SIGTERM.
#[gtest]
#[tokio::test]
async fn execute_until_signal() {
    let mut child = Command::new(BINARY)
        .args(["engine", "--slots", "2", "--listen", "127.0.0.1:0"])
        .stdout(Stdio::piped())
        .stderr(Stdio::null())
        .kill_on_drop(true)
        .spawn()
        .expect("the binary starts");
    let mut lines = BufReader::new(child.stdout.take().expect("a pipe")).lines();
    let line = timeout(DEADLINE, lines.next_line()).await.expect("a line in time");
    let line = line.expect("readable output").expect("a line");
    let line: Value = serde_json::from_str(&line).expect("JSON");
    expect_that!(line["role"], eq(&json!("engine")));
    let address = line["address"].as_str().expect("an address").parse().expect("an address");
    let health = HttpClient::default().get_json(address, "/health").await.expect("health");
    expect_that!(health["slots"], eq(&json!(2)));
    let id = child.id().expect("a running child").to_string();
    let signal = Command::new("kill").args(["-TERM", &id]).status().await;
    expect_that!(signal.expect("kill runs").success(), eq(true));
    let status = timeout(DEADLINE, child.wait()).await.expect("the process stops");
    expect_that!(status.expect("a status").code(), some(eq(0)));
}

/// Guards against invalid options that are accepted, or reported one at a time.
#[gtest]
#[tokio::test]
async fn execute_invalid_options() {
    let output = Command::new(BINARY)
        .args(["engine", "--slots", "0", "--tokens-per-second", "0"])
        .output()
        .await
        .expect("the binary starts");
    expect_that!(output.status.code(), some(eq(2)));
    let log = String::from_utf8_lossy(&output.stderr);
    expect_that!(log, contains_substring("--slots"));
    expect_that!(log, contains_substring("--tokens-per-second"));
    expect_that!(output.stdout.len(), eq(0));
}
