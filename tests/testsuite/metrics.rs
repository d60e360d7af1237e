//! Metrics: lines that are sent, behaviour without a server, and the page of the guide.

use std::net::UdpSocket;
use std::time::{Duration, Instant};

use godwitcrank::metrics::{
    METRIC_CATALOGUE, METRIC_PREFIX, MetricLabel, MetricsClient, catalogue,
};
use godwitcrank::settings::{NodeRole, ProcessSettings, RawSettings};
use godwitcrank_standin::fleet::{FleetCall, FleetPlan};
use googletest::prelude::*;

use super::support::{fetch, plan, start_fleet};

fn router_settings(metrics: &str) -> ProcessSettings {
    let text = format!(
        r#"
        node = {{ id = "router-1", data-centre = "bkk-a" }}
        listen = {{ caller = "127.0.0.1:0", peer = "127.0.0.1:0" }}
        platform = {{ table = "http://127.0.0.1:1", vm-list = "http://127.0.0.1:1" }}
        {metrics}
        "#
    );
    let raw = RawSettings { file: "router.toml".to_owned(), text, role: NodeRole::Router };
    ProcessSettings::try_from(raw).expect("the settings are valid")
}

fn connect_client() -> (UdpSocket, MetricsClient) {
    let server = UdpSocket::bind("127.0.0.1:0").expect("a port is free");
    server.set_read_timeout(Some(Duration::from_secs(5))).expect("a timeout can be set");
    let address = server.local_addr().expect("the socket has an address");
    let metrics = router_settings(&format!("metrics = {{ statsd = \"{address}\" }}"));
    (server, MetricsClient::open(&metrics).expect("a socket can be opened"))
}

/// Flushes and collects lines until one contains `expected`; panics after 5 s.
fn receive_until(server: &UdpSocket, metrics: &MetricsClient, expected: &str) -> Vec<String> {
    let deadline = Instant::now() + Duration::from_secs(5);
    server.set_read_timeout(Some(Duration::from_millis(50))).expect("a timeout can be set");
    let mut lines: Vec<String> = Vec::new();
    while !lines.iter().any(|line| line.contains(expected)) {
        assert!(Instant::now() < deadline, "no line with {expected:?} in {lines:?}");
        metrics.flush();
        let mut datagram = [0; 2000];
        // On a timeout, the sending thread has not sent the metric yet.
        let Ok(length) = server.recv(&mut datagram) else { continue };
        let text = String::from_utf8_lossy(&datagram[..length]).into_owned();
        lines.extend(text.lines().map(str::to_owned));
    }
    lines
}

/// Guards against lines without the prefix, the kind or a label, and against a team name whose
/// characters break the line format.
#[gtest]
fn count_labelled_metric() {
    let (server, metrics) = connect_client();
    let labels = [
        (MetricLabel::Team, "te|am"),
        (MetricLabel::Service, "bench"),
        (MetricLabel::Outcome, "answered"),
    ];
    metrics.count(&catalogue::ROUTER_REQUESTS, 3, &labels);
    let lines = receive_until(&server, &metrics, "router.requests");
    let expected = "godwitcrank.router.requests:3|c|#node:router-1,team:te_am,service:bench,\
                    outcome:answered";
    expect_that!(lines, contains(eq(expected)));
}

/// Guards against timers and gauges with a wrong unit or kind.
#[gtest]
fn time_and_gauge_units() {
    let (server, metrics) = connect_client();
    let service = [(MetricLabel::Service, "bench")];
    metrics.time(&catalogue::ROUTER_ANSWER_TIME, Duration::from_secs(2), &service);
    metrics.gauge(&catalogue::IN_FLIGHT, 7);
    let lines = receive_until(&server, &metrics, "in-flight");
    let time = "godwitcrank.router.answer-time:2000|ms|#node:router-1,service:bench";
    expect_that!(lines, contains(eq(time)));
    expect_that!(lines, contains(eq("godwitcrank.in-flight:7|g|#node:router-1")));
}

/// Guards against metrics that block their sender while the server is unreachable.
#[gtest]
fn count_server_gone() {
    let (server, metrics) = connect_client();
    drop(server);
    let started = Instant::now();
    for _ in 0..100_000 {
        metrics.count(&catalogue::ROUTER_OFFERS_FAILED, 1, &[]);
    }
    metrics.flush();
    expect_that!(started.elapsed(), lt(Duration::from_secs(5)));
}

/// Guards against a client that needs a server although the setting is absent.
#[gtest]
fn open_without_setting() {
    let metrics = MetricsClient::open(&router_settings("")).expect("nothing is opened");
    expect_false!(metrics.is_enabled());
    metrics.count(&catalogue::ROUTER_OFFERS_FAILED, 1, &[]);
    metrics.flush();
}

/// Guards against a metric that the guide does not list, or lists with another kind, unit or
/// labels.
#[gtest]
fn catalogue_in_guide() {
    let page = include_str!("../../guide/src/metrics.md");
    for entry in METRIC_CATALOGUE {
        let labels: Vec<String> = entry.labels.iter().map(|label| format!("`{label}`")).collect();
        let labels = if labels.is_empty() { "-".to_owned() } else { labels.join(", ") };
        let row = format!(
            "| `{METRIC_PREFIX}.{}` | {} | {} | {labels} |",
            entry.name, entry.kind, entry.unit
        );
        expect_that!(page, contains_substring(row.as_str()));
    }
}

/// Guards against daemons that do not send metrics of the catalogue: an answered request must be
/// counted by the router and by the agent.
#[gtest]
#[tokio::test]
async fn send_from_real_processes() {
    let server = tokio::net::UdpSocket::bind("127.0.0.1:0").await.expect("a port is free");
    let address = server.local_addr().expect("the socket has an address");
    let metrics = format!("[metrics]\nstatsd = \"{address}\"\n");
    let plan = FleetPlan {
        router_settings: metrics.clone(),
        agent_settings: metrics,
        ..plan("send_from_real_processes")
    };
    let fleet = start_fleet(plan).await;
    let answer = fetch(&fleet, "router-1", &FleetCall::completion("team-1", "hello", 8)).await;
    expect_that!(answer.status.as_u16(), eq(200));
    let mut expected = vec![
        "godwitcrank.router.requests:1|c|#node:router-1,team:team-1,service:bench,outcome:answered",
        "godwitcrank.agent.runs:1|c|#node:agent-engine-1,team:team-1,service:bench,outcome:answered",
        "godwitcrank.configuration-version:1|g|#node:router-1",
        "godwitcrank.peer.calls:1|c|#node:agent-engine-1,message:/peer/fetch",
    ];
    let deadline = tokio::time::Instant::now() + Duration::from_secs(10);
    let mut datagram = vec![0; 2000];
    while !expected.is_empty() {
        let received = tokio::time::timeout_at(deadline, server.recv(&mut datagram)).await;
        let Ok(received) = received else { break };
        let length = received.expect("the socket works");
        let text = String::from_utf8_lossy(&datagram[..length]).into_owned();
        expected.retain(|line| !text.lines().any(|sent| sent == *line));
    }
    expect_that!(expected, is_empty());
    fleet.close().await.expect("the fleet ends");
}
