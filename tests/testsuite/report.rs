//! Burn report: recording, merging, order and rendering.

use std::sync::Arc;
use std::time::{Duration, Instant};

use godwitcrank::configuration::{ServiceKind, ServiceObjectives};
use godwitcrank::decision::burn_rate::BurnState;
use godwitcrank::ids::NodeId;
use godwitcrank::report::{
    AnswerOutcome, BurnEntry, BurnRecorder, BurnReport, ObjectiveKind, ServiceObservation,
    TokenGaps, render_html, render_text,
};
use godwitcrank_standin::fleet::{
    FleetCall, FleetPlan, NodeKind, OPERATOR_KEY, RunningFleet, wait_until,
};
use googletest::prelude::*;
use http::Method;
use serde_json::json;

use super::support::{fetch, plan, start_fleet};

fn model_objectives() -> ServiceObjectives {
    ServiceObjectives::default_for(ServiceKind::Model)
}

/// Returns an observation of an answer with 11 tokens; times are in milliseconds.
fn observation(team: &str, route: &str, first_token: u64, gap: u64) -> ServiceObservation {
    let mut gaps = TokenGaps::default();
    gaps.record(Duration::from_millis(gap * 10), 10);
    ServiceObservation {
        team: team.into(),
        service: "bench".into(),
        route: route.into(),
        outcome: AnswerOutcome::Answered,
        first_token: Some(Duration::from_millis(first_token)),
        total: Duration::from_millis(first_token + gap * 10),
        gaps,
    }
}

fn node_id(name: &str) -> NodeId {
    Arc::from(name)
}

/// Returns the report of a router that recorded each observation the given number of times.
fn record_report(name: &str, observations: &[(ServiceObservation, usize)]) -> BurnReport {
    let now = Instant::now();
    let mut recorder = BurnRecorder::new(100, now);
    for (observation, times) in observations {
        for _ in 0..*times {
            recorder.record(observation, model_objectives(), now);
        }
    }
    recorder.report(&node_id(name), 100, now)
}

/// Guards against a report that shows the wrong team or route as slow if only one of them is.
#[gtest]
fn report_slow_team_first() {
    let report = record_report(
        "router-1",
        &[
            (observation("quick", "/v1", 100, 20), 50),
            (observation("slow", "/v1", 100, 20), 50),
            (observation("slow", "/v2", 100, 90), 50),
        ],
    );
    let first = &report.entries[0];
    expect_that!((first.team.as_str(), first.route.as_str()), eq(("slow", "/v2")));
    let worst = first.worst_objective().expect("the entry has objectives");
    expect_that!(worst.objective, eq(ObjectiveKind::BetweenTokens));
    expect_that!(worst.state, eq(BurnState::FastBurn));
    for entry in &report.entries[1..] {
        expect_that!(entry.worst_objective().map(|worst| worst.state), some(eq(BurnState::Normal)));
    }
}

/// Guards against counting requests that the caller must change, or abandoned within the limit, as
/// failures of the service, and against ignoring callers that left because no token arrived.
#[gtest]
fn record_outcomes() {
    let case = |outcome, first_token: Option<u64>, total: u64| ServiceObservation {
        outcome,
        first_token: first_token.map(Duration::from_millis),
        total: Duration::from_millis(total),
        gaps: TokenGaps::default(),
        ..observation("team", "/v1", 0, 0)
    };
    let cases = [
        (case(AnswerOutcome::Answered, Some(10), 20), Some((1, 1)), Some((1, 1))),
        (case(AnswerOutcome::UpstreamError, Some(600), 700), Some((0, 1)), Some((0, 1))),
        (case(AnswerOutcome::CutOff, Some(10), 20), Some((0, 1)), Some((1, 1))),
        (case(AnswerOutcome::Refused, None, 20), Some((0, 1)), None),
        (case(AnswerOutcome::Rejected, None, 20), None, None),
        (case(AnswerOutcome::CallerLeft, None, 20), None, None),
        (case(AnswerOutcome::CallerLeft, None, 600), None, Some((0, 1))),
    ];
    for (observation, answered, first_token) in cases {
        let report = record_report("router-1", &[(observation.clone(), 1)]);
        let counts = |kind| {
            let objectives = report.entries[0].objectives.iter();
            let mut found = objectives.filter(|objective| objective.objective == kind);
            found
                .next()
                .map(|objective| (objective.windows.hour.good, objective.windows.hour.total))
        };
        let outcome = observation.outcome;
        expect_that!(counts(ObjectiveKind::Answered), eq(answered), "{outcome}");
        expect_that!(counts(ObjectiveKind::FirstToken), eq(first_token), "{outcome}");
    }
}

/// Guards against memory that grows without bound with the number of teams and routes.
#[gtest]
fn record_many_entries() {
    let now = Instant::now();
    let mut recorder = BurnRecorder::new(8, now);
    for number in 0..100_u64 {
        let seen = now + Duration::from_secs(number);
        recorder.record(
            &observation(&format!("team-{number}"), "/v1", 1, 1),
            model_objectives(),
            seen,
        );
    }
    let report = recorder.report(&node_id("router-1"), 5, now + Duration::from_secs(100));
    expect_that!(report.evicted, eq(92));
    expect_that!(report.entries, len(eq(5)));
    expect_that!(report.left_out, eq(3));
    let numbers = report.entries.iter().map(|entry| entry.team["team-".len()..].parse::<u64>());
    expect_that!(numbers.collect::<Vec<_>>(), each(ok(ge(&92))));
}

/// Guards against memory that grows with the number of distinct gap lengths in one answer, and
/// against losing gaps or the longest length.
#[gtest]
fn record_many_gap_lengths() {
    let mut gaps = TokenGaps::default();
    for length in 1..=10_000 {
        gaps.record(Duration::from_millis(length), 1);
    }
    expect_that!(gaps.iter().count(), le(64));
    expect_that!(gaps.iter().map(|(_, count)| count).sum::<u64>(), eq(10_000));
    expect_that!(gaps.iter().map(|(length, _)| length).max(), some(eq(10_000)));
}

/// Guards against a merged report that differs from that of one router with all requests, and
/// against counting a router twice.
#[gtest]
fn merge_two_routers() {
    let quick = observation("quick", "/v1", 100, 20);
    let slow = observation("slow", "/v1", 700, 90);
    let first = record_report("router-1", &[(slow.clone(), 6), (quick.clone(), 5)]);
    let second = record_report("router-2", &[(quick.clone(), 7), (slow.clone(), 6)]);
    expect_that!(first.entries[0].worst_objective().unwrap().windows.hour.total, ge(6));
    let merged = BurnReport::merge([first.clone(), second, first]);
    let expected = record_report("router-1", &[(slow, 12), (quick, 12)]);
    expect_that!(merged.entries, eq(&expected.entries));
    expect_that!(merged.routers, len(eq(2)));
    expect_that!(merged.entries[0].team, eq("slow"));
    expect_that!(merged.entries[0].worst_objective().unwrap().state, eq(BurnState::FastBurn));
}

/// Guards against a report that changes when it is encoded and decoded.
#[gtest]
fn report_json_round_trip() {
    let report = record_report("router-1", &[(observation("team", "/v1", 700, 90), 20)]);
    let text = serde_json::to_string(&report).expect("the report can be encoded");
    let read: BurnReport = serde_json::from_str(&text).expect("the report can be decoded");
    expect_that!(read, eq(&report));
    expect_that!(text, contains_substring(r#""state":"fast-burn""#));
}

/// Guards against a page that refers to other files, and against unescaped names.
#[gtest]
fn render_html_self_contained() {
    let report = record_report("router-1", &[(observation("<b>team&", "/v1", 700, 90), 20)]);
    let page = render_html(&report);
    expect_that!(page, contains_substring("&lt;b&gt;team&amp;"));
    expect_that!(page, contains_substring("<svg"));
    expect_that!(page, contains_substring("<polyline"));
    for reference in ["<b>team", "http:", "https:", "src=", "href=", "url(", "@import", "<script"] {
        expect_that!(page, not(contains_substring(reference)));
    }
}

/// Guards against a table that does not list the worst entry first.
#[gtest]
fn render_text_worst_first() {
    let slow = (observation("slow", "/v2", 100, 90), 50);
    let report = record_report("router-1", &[(observation("quick", "/v1", 100, 20), 50), slow]);
    let text = render_text(&report);
    let rows: Vec<&str> = text.lines().skip(2).collect();
    expect_that!(rows[0], starts_with("fast-burn"));
    expect_that!(rows[0], contains_substring("slow"));
    expect_that!(rows[1], starts_with("ok"));
}

/// Runs `godwitcrank report burn` for all routers of a fleet, with further arguments.
async fn run_report(fleet: &RunningFleet, arguments: &[&str]) -> std::process::Output {
    let key_file = fleet.folder().join("operator.key");
    std::fs::write(&key_file, OPERATOR_KEY).expect("the key can be written");
    let mut command = tokio::process::Command::new(env!("CARGO_BIN_EXE_godwitcrank"));
    command.args(["report", "burn", "--key-file"]).arg(&key_file).args(arguments);
    for router in fleet.nodes().filter(|node| node.kind == NodeKind::Router) {
        let address = router.process.address("admin").expect("routers serve administration");
        command.arg("--router").arg(format!("http://{address}"));
    }
    command.output().await.expect("the report can be run")
}

/// Returns the merged report of all routers.
async fn read_report(fleet: &RunningFleet) -> BurnReport {
    let output = run_report(fleet, &["--json"]).await;
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "the report failed: {errors}");
    serde_json::from_slice(&output.stdout).expect("the output is a report")
}

/// Sends `count` calls of each team to the engine and as many to the plain service, over both
/// routers.
async fn call_both_services(fleet: &RunningFleet, count: u64) {
    let calls = ["team-1", "team-2", "team-3"].into_iter().flat_map(|team| {
        (0..count).flat_map(move |number| {
            let completion = FleetCall::completion(team, &format!("prompt {number}"), 8);
            [completion, FleetCall::plain(team, Method::GET, "/status")]
        })
    });
    let answers = calls.enumerate().map(|(number, call)| async move {
        let router = format!("router-{}", 1 + number % 2);
        fetch(fleet, &router, &call).await.status.as_u16()
    });
    expect_that!(futures::future::join_all(answers).await, each(eq(&200)));
}

/// An engine is slow for one of three teams; all teams also call another service, over two routers.
/// Guards against a report that shows the wrong team or route as slow.
#[gtest]
#[tokio::test]
async fn report_burn_engine_slow_for_one_team() {
    let teams = ["team-1", "team-2", "team-3"].map(|team| (team.to_owned(), 1.0));
    let plan = FleetPlan {
        routers: 2,
        teams: teams.into(),
        engine_slots: 16,
        engine_arguments: ["--tokens-per-second", "100"].map(str::to_owned).to_vec(),
        ..plan("report_burn_engine_slow_for_one_team")
    };
    let fleet = start_fleet(plan).await;
    // A token takes 150 ms for team-2 and 10 ms for the others; the limit is 58 ms.
    let slow = json!({ "slow-factor": 15.0, "slow-team": "team-2" });
    fleet.set_behaviour("engine-1", &slow).await.expect("the engine takes the behaviour");
    // Requests wait for the engine's slots; with a long limit for the first token, only the time
    // between tokens misses its objective.
    let mut document = fleet.configuration_document();
    document["objectives"] = json!([{ "id": "bench", "service": "bench", "first-token": "60s" }]);
    fleet.put_configuration(&document).await.expect("the configuration is accepted");
    for router in ["router-1", "router-2"] {
        let in_force = || async {
            fleet
                .read_log(router)
                .is_ok_and(|log| log.matches("configuration in force").count() == 2)
        };
        wait_until("the objectives are in force", in_force).await.expect("a second version");
    }
    call_both_services(&fleet, 12).await;
    // Observations reach the control thread only after the answers have ended.
    let answered = |report: &BurnReport| {
        let objectives = report.entries.iter().flat_map(|entry| &entry.objectives);
        let answered =
            objectives.filter(|objective| objective.objective == ObjectiveKind::Answered);
        answered.map(|objective| objective.windows.hour.total).sum::<u64>()
    };
    wait_until("all requests are counted", || async { answered(&read_report(&fleet).await) == 72 })
        .await
        .expect("counts");
    let report = read_report(&fleet).await;
    expect_that!(report.routers, len(eq(2)));
    expect_that!(report.entries, len(eq(6)));
    let labels_of =
        |entry: &BurnEntry| (entry.team.clone(), entry.service.clone(), entry.route.clone());
    let first = &report.entries[0];
    let expected = ["team-2", "bench", "/v1/completions"].map(str::to_owned);
    expect_that!(labels_of(first), eq(&<(String, String, String)>::from(expected)));
    let worst = first.worst_objective().expect("the entry has objectives");
    expect_that!(worst.objective, eq(ObjectiveKind::BetweenTokens));
    expect_that!(worst.state, eq(BurnState::FastBurn));
    for entry in &report.entries[1..] {
        let state = entry.worst_objective().map(|worst| worst.state);
        expect_that!(state, some(eq(BurnState::Normal)), "{:?}", labels_of(entry));
    }
    let page = fleet.folder().join("burn.html");
    let output = run_report(&fleet, &["--html", &page.display().to_string()]).await;
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let row = text.lines().nth(2).unwrap_or_default().to_owned();
    expect_that!(row, all![starts_with("fast-burn"), contains_substring("team-2")], "{text}");
    let html = std::fs::read_to_string(&page).expect("the page was written");
    let section = html.find("<section>").expect("the page has plots");
    expect_that!(&html[section..section + 60], contains_substring("team-2: bench"));
    fleet.close().await.expect("the fleet ends");
}

/// Guards against a report that can be read without an operator's key.
#[gtest]
#[tokio::test]
async fn report_burn_without_key() {
    let fleet = start_fleet(plan("report_burn_without_key")).await;
    let router = fleet.node("router-1").expect("the router runs");
    let address = router.process.address("admin").expect("routers serve administration");
    let get = fleet.client().call(Method::GET, address, "/admin/burn", &json!(null));
    expect_that!(get.await.expect("an answer").status.as_u16(), eq(401));
    fleet.close().await.expect("the fleet ends");
}
