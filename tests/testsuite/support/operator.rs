//! Operators of a fleet: calls to the administration API and views of what each node holds.

use std::net::SocketAddr;

use bytes::Bytes;
use godwitcrank_standin::client::BufferedAnswer;
use godwitcrank_standin::fleet::{NodeKind, OPERATOR_KEY, RunningFleet};
use http::{Method, Request};
use http_body_util::Full;
use serde_json::Value;

/// Sends a request to a router's administration API; a null body is sent as an empty one.
pub async fn administer(
    fleet: &RunningFleet,
    router: &str,
    method: Method,
    path: &str,
    if_match: Option<u64>,
    body: &Value,
) -> BufferedAnswer {
    let address = fleet.node(router).expect("a node").process.address("admin").expect("admin");
    let content = match body {
        Value::Null => Bytes::new(),
        Value::String(text) => text.clone().into(),
        other => other.to_string().into(),
    };
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}/admin/{path}"))
        .header("authorization", format!("Bearer {OPERATOR_KEY}"));
    if let Some(version) = if_match {
        request = request.header("if-match", format!("\"{version}\""));
    }
    let request = request.body(Full::new(content)).expect("a request");
    fleet.client().fetch(request).await.expect("an answer")
}

/// Changes an entry of the configuration and returns the version that was accepted.
pub async fn change(fleet: &RunningFleet, router: &str, path: &str, body: &Value) -> u64 {
    let answer = administer(fleet, router, Method::PUT, path, None, body).await;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    assert!(answer.status.is_success(), "{path}: {} {text}", answer.status);
    answer.json().expect("JSON")["version"].as_u64().expect("a version")
}

/// Reads a path of the administration API.
pub async fn read(fleet: &RunningFleet, router: &str, path: &str) -> Value {
    let answer = administer(fleet, router, Method::GET, path, None, &Value::Null).await;
    answer.json().expect("JSON")
}

/// Returns the version that a node has in force; 0 for none.
pub async fn version_held(fleet: &RunningFleet, node: SocketAddr) -> u64 {
    let answer = fleet.client().call(Method::GET, node, "/peer/configuration", &Value::Null).await;
    let held = answer.ok().and_then(|answer| {
        let header = answer.headers.get("godwitcrank-configuration")?.to_str().ok()?.parse();
        header.ok()
    });
    held.unwrap_or(0)
}

/// Returns the peer addresses of all nodes, past all links.
pub fn peer_addresses(fleet: &RunningFleet) -> Vec<SocketAddr> {
    fleet.nodes().map(|node| node.process.address("peer").expect("an address")).collect()
}

/// Returns the lowest version that any node has in force.
pub async fn lowest_version(fleet: &RunningFleet) -> u64 {
    let mut lowest = u64::MAX;
    for address in peer_addresses(fleet) {
        lowest = lowest.min(version_held(fleet, address).await);
    }
    lowest
}

/// Returns the upstreams in a data centre.
pub fn upstreams_in(fleet: &RunningFleet, data_centre: &str) -> Vec<String> {
    let inside = fleet.nodes().filter(|node| node.data_centre == data_centre);
    inside
        .filter_map(|node| match &node.kind {
            NodeKind::Agent { upstream } => Some(upstream.clone()),
            NodeKind::Router => None,
        })
        .collect()
}
