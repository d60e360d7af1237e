//! Fault proxy: links in the modes `pass`, `freeze` and `cut`.

use std::net::SocketAddr;
use std::time::Duration;

use godwitcrank_standin::client::HttpClient;
use godwitcrank_standin::proxy::RunningProxy;
use googletest::prelude::*;
use http::Method;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use super::support::{DEADLINE, any_port};

/// Time without an echo after which a link counts as frozen.
const FROZEN_AFTER: Duration = Duration::from_millis(150);

/// Starts an echo server.
async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind(any_port()).await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                // An error means that the test has dropped its connection.
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    address
}

async fn start_link() -> (RunningProxy, SocketAddr) {
    let proxy = RunningProxy::start(any_port()).await.expect("the proxy starts");
    let link = json!({ "name": "l", "target": echo_server().await });
    let client = HttpClient::default();
    let answer = client.call(Method::POST, proxy.address(), "/control/links", &link).await;
    let answer = answer.expect("an answer").json().expect("JSON");
    let address = answer["address"].as_str().expect("an address").parse().expect("an address");
    (proxy, address)
}

async fn set_link(proxy: &RunningProxy, behaviour: Value) {
    let client = HttpClient::default();
    client.put_json(proxy.address(), "/control/links/l", &behaviour).await.expect("a behaviour");
}

async fn echoes(stream: &mut TcpStream, within: Duration) -> bool {
    let mut byte = [0];
    if stream.write_all(b"x").await.is_err() {
        return false;
    }
    matches!(timeout(within, stream.read_exact(&mut byte)).await, Ok(Ok(_)))
}

/// Guards against a freeze of existing connections that closes them, loses bytes or also stops new
/// connections.
#[gtest]
#[tokio::test]
async fn freeze_existing_only() {
    let (proxy, address) = start_link().await;
    let mut old = TcpStream::connect(address).await.expect("a connection");
    expect_that!(echoes(&mut old, DEADLINE).await, eq(true));
    set_link(&proxy, json!({ "mode": "freeze", "existing-only": true })).await;
    expect_that!(echoes(&mut old, FROZEN_AFTER).await, eq(false));
    let mut new = TcpStream::connect(address).await.expect("a connection");
    expect_that!(echoes(&mut new, DEADLINE).await, eq(true));
    set_link(&proxy, json!({ "mode": "pass" })).await;
    let mut byte = [0];
    let resumed = timeout(DEADLINE, old.read_exact(&mut byte)).await;
    expect_that!(matches!(resumed, Ok(Ok(_))), eq(true));
    proxy.close().await;
}

/// Guards against a freeze of one direction that also stops the other one.
#[gtest]
#[tokio::test]
async fn freeze_one_direction() {
    let (proxy, address) = start_link().await;
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    expect_that!(echoes(&mut stream, DEADLINE).await, eq(true));
    set_link(&proxy, json!({ "mode": "freeze", "direction": "to-client" })).await;
    expect_that!(echoes(&mut stream, FROZEN_AFTER).await, eq(false));
    let client = HttpClient::default();
    let links = client.get_json(proxy.address(), "/control/links").await.expect("the links");
    expect_that!(links["links"][0]["bytes-to-target"], eq(&json!(2)));
    expect_that!(links["links"][0]["bytes-to-client"], eq(&json!(1)));
    proxy.close().await;
}

/// Guards against a cut that leaves connections open, forwards new ones, or cannot be undone.
#[gtest]
#[tokio::test]
async fn cut_open_connection() {
    let (proxy, address) = start_link().await;
    let mut old = TcpStream::connect(address).await.expect("a connection");
    expect_that!(echoes(&mut old, DEADLINE).await, eq(true));
    set_link(&proxy, json!({ "mode": "cut" })).await;
    let mut byte = [0];
    let ended = timeout(DEADLINE, old.read(&mut byte)).await.expect("the connection ends");
    expect_that!(ended.unwrap_or(0), eq(0));
    if let Ok(mut new) = TcpStream::connect(address).await {
        expect_that!(echoes(&mut new, DEADLINE).await, eq(false));
    }
    set_link(&proxy, json!({ "mode": "pass" })).await;
    let mut again = TcpStream::connect(address).await.expect("a connection");
    expect_that!(echoes(&mut again, DEADLINE).await, eq(true));
    proxy.close().await;
}
