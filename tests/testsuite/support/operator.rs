//! Operator tasks on a fleet: requests to the administration API, and the configuration version of
//! each node.

use std::net::SocketAddr;

use bytes::Bytes;
use godwitcrank_standin::client::BufferedAnswer;
use godwitcrank_standin::fleet::{NodeKind, OPERATOR_KEY, RunningFleet};
use http::{Method, Request};
use http_body_util::Full;
use serde_json::Value;

/// Sends a request to a router's administration API. `if_match` is the configuration version that a
/// change is based on; `Value::Null` gives an empty body, and a string is sent verbatim.
pub async fn send_admin_request(
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

/// Sets fields of an entry of the configuration and returns the version that the change created.
pub async fn put_entry(fleet: &RunningFleet, router: &str, path: &str, body: &Value) -> u64 {
    let answer = send_admin_request(fleet, router, Method::PUT, path, None, body).await;
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    assert!(answer.status.is_success(), "{path}: {} {text}", answer.status);
    answer.json().expect("JSON")["version"].as_u64().expect("a version")
}

/// Returns the document at a path of the administration API.
pub async fn get_document(fleet: &RunningFleet, router: &str, path: &str) -> Value {
    let answer = send_admin_request(fleet, router, Method::GET, path, None, &Value::Null).await;
    answer.json().expect("JSON")
}

/// Reads the configuration version in force at a node; 0 if it has none or does not answer.
pub async fn read_version(fleet: &RunningFleet, node: SocketAddr) -> u64 {
    let answer = fleet.client().call(Method::GET, node, "/peer/configuration", &Value::Null).await;
    let version = answer.ok().and_then(|answer| {
        answer.headers.get("godwitcrank-configuration")?.to_str().ok()?.parse().ok()
    });
    version.unwrap_or(0)
}

/// Returns the peer addresses of all nodes. Requests to them bypass the links of the fault proxy.
pub fn peer_addresses(fleet: &RunningFleet) -> Vec<SocketAddr> {
    fleet.nodes().map(|node| node.process.address("peer").expect("an address")).collect()
}

/// Returns the lowest configuration version in force at any node.
pub async fn lowest_version(fleet: &RunningFleet) -> u64 {
    let mut lowest = u64::MAX;
    for address in peer_addresses(fleet) {
        lowest = lowest.min(read_version(fleet, address).await);
    }
    lowest
}

/// Returns the ids of the upstreams in a data centre.
pub fn list_upstreams(fleet: &RunningFleet, data_centre: &str) -> Vec<String> {
    let nodes = fleet.nodes().filter(|node| node.data_centre == data_centre);
    nodes
        .filter_map(|node| match &node.kind {
            NodeKind::Agent { upstream } => Some(upstream.clone()),
            NodeKind::Router => None,
        })
        .collect()
}
