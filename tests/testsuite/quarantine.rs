//! Tests of the quarantine of requests that crash their upstream.

use std::time::{Duration, SystemTime};

use futures::future::join_all;

use godwitcrank::decision::quarantine::{
    QUARANTINE_PERIOD, QuarantineRegister, QuarantineState, RequestFingerprint, SUSPECT_PERIOD,
    SuspectRecord, crash_id, request_fingerprint,
};
use godwitcrank_standin::engine::completion_events;
use godwitcrank_standin::fleet::{FleetCall, FleetPlan, RunningFleet};
use googletest::prelude::*;
use proptest::prelude::*;
use serde_json::json;

use super::support::{fetch, plan, start_fleet};

const START: SystemTime = SystemTime::UNIX_EPOCH;

/// Guards against a repeated request that is not identified, and against different requests with
/// the same fingerprint.
#[gtest]
fn request_fingerprint_parts() {
    let first = request_fingerprint("bench", "/v1", b"crash");
    expect_that!(request_fingerprint("bench", "/v1", b"crash"), eq(first));
    for (service, route, body) in
        [("renewal", "/v1", "crash"), ("bench", "/v2", "crash"), ("bench", "/v", "1crash")]
    {
        expect_that!(request_fingerprint(service, route, body.as_bytes()), not(eq(first)));
    }
}

/// Guards against a request that crashes more than two upstreams, and against a quarantine that
/// never ends.
#[gtest]
fn record_crash_twice() {
    let mut register = QuarantineRegister::default();
    expect_that!(register.state(7, START), eq(QuarantineState::Normal));
    register.record_crash(crash_id("engine-1", "boot-a"), &[7], START);
    expect_that!(register.state(7, START), eq(QuarantineState::Alone));
    let second = START + Duration::from_secs(5);
    register.record_crash(crash_id("engine-2", "boot-b"), &[7], second);
    let until = second + QUARANTINE_PERIOD;
    expect_that!(register.state(7, second), eq(QuarantineState::Refused { until }));
    expect_that!(register.state(7, until), eq(QuarantineState::Normal));
}

/// Guards against counting one crash twice because two processes report it.
#[gtest]
fn record_crash_reported_twice() {
    let mut register = QuarantineRegister::default();
    let crash = crash_id("engine-1", "boot-a");
    register.record_crash(crash, &[7], START);
    register.record_crash(crash, &[7], START + Duration::from_secs(1));
    expect_that!(register.state(7, START), eq(QuarantineState::Alone));
}

/// Guards against requests that stay suspects after they ran alone without a crash.
#[gtest]
fn record_completion_without_crash() {
    let mut register = QuarantineRegister::default();
    register.record_crash(crash_id("engine-1", "boot-a"), &[7, 8], START);
    register.record_completion(8).expect("8 is a suspect");
    expect_that!(register.state(8, START), eq(QuarantineState::Normal));
    expect_that!(register.state(7, START), eq(QuarantineState::Alone));
    register.record_crash(crash_id("engine-2", "boot-b"), &[8], START);
    expect_that!(register.state(8, START), eq(QuarantineState::Alone));
}

/// Guards against suspects that never expire.
#[gtest]
fn expire_old_crash() {
    let mut register = QuarantineRegister::default();
    register.record_crash(crash_id("engine-1", "boot-a"), &[7], START);
    register.expire(START + SUSPECT_PERIOD);
    expect_that!(register.records().count(), eq(0));
}

#[derive(Clone, Debug)]
struct SuspectChange {
    fingerprint: RequestFingerprint,
    record: SuspectRecord,
}

fn suspect_change() -> impl Strategy<Value = SuspectChange> {
    let crashes = prop::collection::vec((0_u64..4, 0_u64..100), 0..3);
    let excused = prop::collection::vec(0_u64..4, 0..2);
    (0_u128..3, crashes, excused).prop_map(|(fingerprint, crashes, excused)| {
        let at = |seconds| START + Duration::from_secs(seconds);
        let crashes = crashes.into_iter().map(|(crash, seconds)| (crash, at(seconds))).collect();
        let excused = excused.into_iter().collect();
        SuspectChange { fingerprint, record: SuspectRecord { crashes, excused } }
    })
}

proptest! {
    /// Guards against registers that differ because records arrived in another order or twice.
    #[test]
    fn merge_any_order(changes in prop::collection::vec(suspect_change(), 0..12)) {
        let mut forward = QuarantineRegister::default();
        let mut backward = QuarantineRegister::default();
        for change in &changes {
            forward.merge(change.fingerprint, &change.record);
        }
        for change in changes.iter().rev().chain(&changes) {
            backward.merge(change.fingerprint, &change.record);
        }
        for (fingerprint, record) in forward.records() {
            let other = backward.records().find(|(other, _)| *other == fingerprint);
            prop_assert_eq!(Some(record), other.map(|(_, record)| record));
        }
    }
}

const ENGINES: usize = 4;

async fn count_crashes(fleet: &RunningFleet) -> u64 {
    let mut crashes = 0;
    for index in 1..=ENGINES {
        let counters =
            fleet.read_control(&format!("engine-{index}"), "counters").await.expect("counters");
        crashes += counters["crashes"].as_u64().expect("a count");
    }
    crashes
}

/// Guards against a request that is repeated through every router and crashes one engine after
/// another, and against the loss of other teams' requests that run at the same time.
#[gtest]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refuse_request_that_crashes_engines() {
    let plan = FleetPlan {
        routers: 2,
        engines: ENGINES,
        plain_services: 0,
        engine_arguments: vec!["--restart-ms".to_owned(), "300".to_owned()],
        ..plan("refuse_request_that_crashes_engines")
    };
    let fleet = start_fleet(plan).await;
    for index in 1..=ENGINES {
        let behaviour = json!({ "crash-marker": "POISON" });
        fleet.set_behaviour(&format!("engine-{index}"), &behaviour).await.expect("behaviour");
    }
    let crashing_call = FleetCall::completion("team-2", "POISON", 16);
    let other_calls = (0..60).map(|index| {
        let fleet = &fleet;
        async move {
            tokio::time::sleep(Duration::from_millis(100 * (index % 20))).await;
            let prompt = format!("other {index}");
            let call = FleetCall::completion("team-1", &prompt, 96);
            let router = if index % 2 == 0 { "router-1" } else { "router-2" };
            let answer = fetch(fleet, router, &call).await;
            (answer, completion_events(&prompt, 96))
        }
    });
    let senders = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let mut answers = Vec::new();
        for repeat in 0..6 {
            let router = if repeat % 2 == 0 { "router-1" } else { "router-2" };
            answers.push(fetch(&fleet, router, &crashing_call).await);
        }
        answers
    };
    let (answers, refusals) = tokio::join!(join_all(other_calls), senders);
    let crashes = count_crashes(&fleet).await;
    println!("crashes {crashes}");
    expect_that!(crashes, eq(2), "one as any request, one alone as a suspect");
    for (answer, expected) in answers {
        expect_that!(String::from_utf8_lossy(&answer.body), eq(expected.as_str()));
    }
    for refusal in &refusals {
        expect_that!(refusal.status.as_u16(), eq(503));
    }
    // The first call has run and crashed both engines, so it must not be reported as not run.
    expect_that!(refusals[0].headers["godwitcrank-was-run"], eq("unknown"));
    for refusal in &refusals[1..] {
        expect_that!(refusal.headers["godwitcrank-was-run"], eq("no"));
        expect_that!(refusal.headers.contains_key("retry-after"), eq(true));
        expect_that!(refusal.json().expect("JSON")["reason"], eq(&json!("quarantined")));
    }
    fleet.close().await.expect("the fleet ends");
}
