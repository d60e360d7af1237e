//! Configuration changes through the administration API, with real processes.

use std::time::{Duration, Instant};

use godwitcrank_standin::fleet::{FleetCall, FleetPlan, RunningFleet};
use googletest::prelude::*;
use http::{Method, StatusCode};
use serde_json::{Value, json};

use super::support::operator::{
    get_document, lowest_version, peer_addresses, put_entry, read_version, send_admin_request,
};
use super::support::{fetch, plan, start_fleet};

/// Target of the design page: a change is in force on all processes within this time of its
/// acceptance.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(6);

/// Waits until all nodes hold a version and returns the time since `since`; panics after
/// [`IN_FORCE_LIMIT`].
async fn wait_in_force(fleet: &RunningFleet, version: u64, since: Instant) -> Duration {
    while lowest_version(fleet).await < version {
        let elapsed = since.elapsed();
        assert!(
            elapsed < IN_FORCE_LIMIT,
            "version {version} is not in force everywhere after {elapsed:?}"
        );
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    since.elapsed()
}

fn three_centre_plan(name: &str) -> FleetPlan {
    let data_centres = ["caerdydd", "abertawe", "aberystwyth"].map(str::to_owned).to_vec();
    FleetPlan { routers: 3, engines: 9, data_centres, faults: true, ..plan(name) }
}

/// Guards against a change that stays on the accepting router when the store fails right after it,
/// and against a router that is restarted during the outage and does not become ready, or does so
/// with an older version.
#[gtest]
#[tokio::test]
async fn put_entry_store_down() {
    let mut fleet = start_fleet(three_centre_plan("put_entry_store_down")).await;
    let version = put_entry(&fleet, "router-1", "teams/team-1", &json!({ "share": 3.0 })).await;
    let accepted = Instant::now();
    fleet.set_store_behaviour(&json!({ "mode": "down" })).await.expect("a store that is down");
    let propagation = wait_in_force(&fleet, version, accepted).await;
    let restarted = Instant::now();
    fleet.restart("router-2").await.expect("a restart");
    fleet.wait_ready().await.expect("a ready router");
    let recovery = wait_in_force(&fleet, version, restarted).await;
    let answer = fetch(&fleet, "router-2", &FleetCall::completion("team-1", "x", 4)).await;
    expect_that!(answer.status, eq(StatusCode::OK));
    println!("in force everywhere after {propagation:?}; after the restart {recovery:?}");
    fleet.close().await.expect("the fleet ends");
}

/// Two operators change the configuration concurrently. Guards against lost updates, versions that
/// decrease, and conflict responses that do not list the competing changes.
#[gtest]
#[tokio::test]
async fn put_configuration_racing_operators() {
    let fleet = start_fleet(three_centre_plan("put_configuration_racing_operators")).await;
    let start =
        get_document(&fleet, "router-1", "teams/team-1").await["share"].as_f64().expect("a share");
    let watch_versions = async {
        let addresses = peer_addresses(&fleet);
        let mut seen = vec![0; addresses.len()];
        loop {
            for (address, seen) in addresses.iter().zip(&mut seen) {
                let held = read_version(&fleet, *address).await;
                assert!(held >= *seen, "{address} fell from version {seen} to {held}");
                *seen = held;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let race =
        async { tokio::join!(add_shares(&fleet, "router-1"), add_shares(&fleet, "router-3")) };
    let ((first_accepted, first_refused), (second_accepted, second_refused)) = tokio::select! {
        outcome = race => outcome,
        () = watch_versions => unreachable!("the loop does not end"),
    };
    let accepted = first_accepted + second_accepted;
    let refused = first_refused + second_refused;
    expect_that!(accepted, ge(100));
    expect_that!(refused, ge(1), "no change met a concurrent one");
    let current = get_document(&fleet, "router-2", "audit").await;
    let last = current["audit"].as_array().expect("a list").last().expect("a record").clone();
    wait_in_force(&fleet, last["version"].as_u64().expect("a version"), Instant::now()).await;
    let end =
        get_document(&fleet, "router-2", "teams/team-1").await["share"].as_f64().expect("a share");
    expect_that!(end, eq(start + f64::from(accepted)), "no accepted change was lost");
    expect_that!(current["audit"].as_array().map(Vec::len), some(eq(accepted as usize)));
    println!("{accepted} changes accepted, {refused} refused");
    fleet.close().await.expect("the fleet ends");
}

/// Adds 1 to a share until 50 changes were accepted, each based on the version just read. Returns
/// the numbers of accepted and refused changes.
async fn add_shares(fleet: &RunningFleet, router: &str) -> (u32, u32) {
    let (mut accepted, mut refused) = (0, 0);
    while accepted < 50 {
        let mut current = get_document(fleet, router, "configuration").await;
        let version = current["version"].as_u64();
        let mut document = current["document"].take();
        let share = document["teams"][0]["share"].as_f64().expect("a share");
        document["teams"][0]["share"] = json!(share + 1.0);
        let answer =
            send_admin_request(fleet, router, Method::PUT, "configuration", version, &document)
                .await;
        if answer.status.is_success() {
            accepted += 1;
            continue;
        }
        let conflicts = [StatusCode::CONFLICT, StatusCode::PRECONDITION_FAILED];
        let body = answer.json().expect("JSON");
        assert!(conflicts.contains(&answer.status), "{} {body}", answer.status);
        assert!(body["changes"].as_array().is_some_and(|changes| !changes.is_empty()), "{body}");
        refused += 1;
        assert!(refused < 2000, "{accepted} changes accepted, {refused} refused");
    }
    (accepted, refused)
}

/// Guards against requests that are served without a key, changes of the whole configuration
/// without `If-Match`, changes that fail the check, unknown lists, and plans that are not applied
/// once and as a whole.
#[gtest]
#[tokio::test]
async fn put_invalid_requests() {
    let fleet = start_fleet(FleetPlan { plain_services: 0, ..plan("put_invalid_requests") }).await;
    let admin = fleet.node("router-1").expect("a node").process.address("admin").expect("admin");
    let client = fleet.client();
    let anonymous = client.call(Method::GET, admin, "/admin/teams", &Value::Null).await;
    expect_that!(anonymous.expect("an answer").status, eq(StatusCode::UNAUTHORIZED));
    let document = get_document(&fleet, "router-1", "configuration").await["document"].clone();
    let send = async |method: Method, path: &str, base: Option<u64>, body: &Value| {
        let answer = send_admin_request(&fleet, "router-1", method, path, base, body).await;
        (answer.status.as_u16(), answer.json().expect("JSON"))
    };
    let (status, _) = send(Method::PUT, "configuration", None, &document).await;
    expect_that!(status, eq(428));
    let (status, body) = send(Method::PUT, "teams/team-1", None, &json!({ "share": -1 })).await;
    expect_that!(status, eq(422));
    expect_that!(body["findings"][0]["place"], eq(&json!("/teams/0/share")));
    let (status, _) = send(Method::PUT, "crews/a", None, &json!({})).await;
    expect_that!(status, eq(404));
    let sheet = json!("kind,name,value,key-hash,deadline\nteam,team-2,5,,2099-01-01T00:00:00Z\n");
    let (status, body) = send(Method::POST, "plan?dry-run=true", None, &sheet).await;
    expect_that!(status, eq(200));
    expect_that!(body["changes"].as_array().map(Vec::len), some(eq(1)));
    let (_, imported) = send(Method::POST, "plan", None, &sheet).await;
    let (_, repeated) = send(Method::POST, "plan", None, &sheet).await;
    expect_that!(repeated["version"], eq(&imported["version"]));
    expect_that!(repeated["changes"], eq(&json!([])));
    fleet.close().await.expect("the fleet ends");
}
