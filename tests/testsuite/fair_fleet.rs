//! Fair share and admission limits with real processes: floods, partitions, restarts, cold engines.

use std::sync::Arc;
use std::time::{Duration, Instant};

use godwitcrank_standin::fleet::{CheckedCall, FleetPlan, RouterBalancer, RunningFleet};
use godwitcrank_standin::load::{CallTarget, ClosedLoad};
use godwitcrank_standin::proxy::{LinkBehaviour, LinkMode};
use googletest::prelude::*;
use indexmap::IndexMap;
use serde_json::json;
use tokio::sync::Semaphore;

use super::support::{plan, start_fleet};

/// Part of its fair portion that each backlogged team must receive in any 10 s.
const MIN_PORTION: f64 = 0.9;

/// Time over which portions are measured.
const WINDOW: Duration = Duration::from_secs(10);

/// Time after the end of a fault within which portions must be fair again.
const RECOVERY: Duration = Duration::from_secs(5);

/// Time until every team is backlogged and the engines' admission limits have grown.
const RAMP_UP: Duration = Duration::from_secs(3);

const TEAMS: [(&str, f64); 3] = [("flood", 1.0), ("small", 1.0), ("large", 2.0)];

/// Limits the fleets of this module to one at a time. More would compete for processors and distort
/// the measured portions, and the readiness on which other tests rely.
static FLEET_PERMITS: Semaphore = Semaphore::const_new(1);

/// Plans three engines in three data centres. Requests have 1 to 16 tokens, and about 140 a second
/// are served, so that single requests hardly affect the portions.
fn share_plan(name: &str, policy: &str) -> FleetPlan {
    let settings = format!("[fairness]\npolicy = \"{policy}\"\n");
    FleetPlan {
        routers: 3,
        engines: 3,
        plain_services: 0,
        engine_slots: 4,
        teams: TEAMS.map(|(team, share)| (team.to_owned(), share)).into(),
        data_centres: ["caerdydd", "abertawe", "aberystwyth"].map(str::to_owned).to_vec(),
        router_settings: settings.clone(),
        agent_settings: settings,
        ..plan(name)
    }
}

/// Starts callers of a team at the given routers.
fn start_callers(fleet: &RunningFleet, team: &str, routers: &[&str], callers: u64) -> ClosedLoad {
    let addresses = routers.iter().map(|router| fleet.caller_address(router).expect("a router"));
    let balancer = RouterBalancer::start(addresses.collect());
    let name = team.to_owned();
    let source =
        Arc::new(move |number| CheckedCall::completion(&name, &format!("{name} {number}"), 16));
    ClosedLoad::start(CallTarget::Routers(Arc::new(balancer)), callers, source)
}

/// Starts a load in which one team floods one router while the others use all routers.
fn start_flood(fleet: &RunningFleet) -> Vec<ClosedLoad> {
    let all = ["router-1", "router-2", "router-3"];
    vec![
        start_callers(fleet, "flood", &["router-1"], 100),
        start_callers(fleet, "small", &all, 15),
        start_callers(fleet, "large", &all, 24),
    ]
}

/// Returns the tokens that each team has received, from the engines' own counters.
async fn service(fleet: &RunningFleet) -> IndexMap<&'static str, f64> {
    let mut service = IndexMap::new();
    for engine in ["engine-1", "engine-2", "engine-3"] {
        let counters = fleet.read_control(engine, "counters").await.expect("counters");
        for (team, _) in TEAMS {
            let counts = &counters["by-team"][team];
            let tokens = ["prompt-tokens", "completion-tokens"].map(|name| counts[name].as_f64());
            *service.entry(team).or_insert(0.0) += tokens.into_iter().flatten().sum::<f64>();
        }
    }
    service
}

/// Measures over the next `WINDOW` what part of its fair portion each team receives; returns the
/// lowest.
async fn measure_portion(fleet: &RunningFleet) -> f64 {
    let before = service(fleet).await;
    tokio::time::sleep(WINDOW).await;
    let after = service(fleet).await;
    let gained = |team: &str| after[team] - before[team];
    let total: f64 = TEAMS.iter().map(|(team, _)| gained(team)).sum();
    let shares: f64 = TEAMS.iter().map(|(_, share)| share).sum();
    let portions = TEAMS.iter().map(|(team, share)| gained(team) / (total * share / shares));
    portions.fold(f64::INFINITY, f64::min)
}

/// Guards against a team that gets more than its portion by flooding one router. With
/// `policy = "fifo"`, that is without fair queues, the portions must be unfair.
#[gtest]
#[tokio::test]
async fn flood_through_one_router() {
    let _permit = FLEET_PERMITS.acquire().await.expect("never closed");
    let run = async |policy: &str| {
        let fleet = start_fleet(share_plan("flood_through_one_router", policy)).await;
        let loads = start_flood(&fleet);
        tokio::time::sleep(RAMP_UP).await;
        let portion = measure_portion(&fleet).await;
        loads.into_iter().for_each(ClosedLoad::abort);
        fleet.close().await.expect("the fleet ends");
        portion
    };
    expect_that!(run("fleet").await, ge(MIN_PORTION));
    expect_that!(run("fifo").await, lt(MIN_PORTION));
}

/// Guards against shares that depend on which routers a team uses.
#[gtest]
#[tokio::test]
async fn uneven_disjoint_routers() {
    let _permit = FLEET_PERMITS.acquire().await.expect("never closed");
    let fleet = start_fleet(share_plan("uneven_disjoint_routers", "fleet")).await;
    let loads = vec![
        start_callers(&fleet, "flood", &["router-1"], 60),
        start_callers(&fleet, "small", &["router-2"], 15),
        start_callers(&fleet, "large", &["router-3"], 24),
    ];
    tokio::time::sleep(RAMP_UP).await;
    expect_that!(measure_portion(&fleet).await, ge(MIN_PORTION));
    loads.into_iter().for_each(ClosedLoad::abort);
    fleet.close().await.expect("the fleet ends");
}

/// Guards against debts from a partition that starve teams after it has healed, and against an
/// account exchange that does not resume.
#[gtest]
#[tokio::test]
async fn partition_of_one_centre() {
    let _permit = FLEET_PERMITS.acquire().await.expect("never closed");
    let plan = FleetPlan { faults: true, ..share_plan("partition_of_one_centre", "fleet") };
    let fleet = start_fleet(plan).await;
    let loads = start_flood(&fleet);
    tokio::time::sleep(RAMP_UP).await;
    let cut = ["router-1", "agent-engine-1"];
    let known = ["router-2", "router-3", "agent-engine-2", "agent-engine-3"];
    let crosses = |source: &str, target: &str| {
        (cut.contains(&source) && known.contains(&target))
            || (known.contains(&source) && cut.contains(&target))
    };
    let behaviour = |mode| LinkBehaviour { mode, ..LinkBehaviour::default() };
    fleet.set_links(behaviour(LinkMode::Cut), crosses).await.expect("links");
    tokio::time::sleep(Duration::from_secs(5)).await;
    fleet.set_links(behaviour(LinkMode::Pass), crosses).await.expect("links");
    tokio::time::sleep(RECOVERY).await;
    expect_that!(measure_portion(&fleet).await, ge(MIN_PORTION));
    loads.into_iter().for_each(ClosedLoad::abort);
    fleet.close().await.expect("the fleet ends");
}

/// Guards against restarts that lose the accounts and so give a flooding team more than its portion.
#[gtest]
#[tokio::test]
async fn restart_during_flood() {
    let _permit = FLEET_PERMITS.acquire().await.expect("never closed");
    let mut fleet = start_fleet(share_plan("restart_during_flood", "fleet")).await;
    let mut loads = start_flood(&fleet);
    tokio::time::sleep(RAMP_UP).await;
    // Each data centre has a router and an agent, so one of these is an account parent.
    for node in ["router-1", "agent-engine-1"] {
        fleet.restart(node).await.expect("a restart");
    }
    let restarted = Instant::now();
    fleet.wait_ready().await.expect("a ready fleet");
    // The restarted router has a new address, so the callers are started again.
    loads.into_iter().for_each(ClosedLoad::abort);
    loads = start_flood(&fleet);
    tokio::time::sleep(RECOVERY.saturating_sub(restarted.elapsed())).await;
    expect_that!(measure_portion(&fleet).await, ge(MIN_PORTION));
    loads.into_iter().for_each(ClosedLoad::abort);
    fleet.close().await.expect("the fleet ends");
}

/// Guards against full load on engines that have just started or turned cold without warning, since
/// an engine under more load than it can take crashes. An engine that turns cold between the
/// agent's health check and the arrival of the request, less than a millisecond later, cannot be
/// protected; at 12 requests a second that may happen in one of six rounds, but hardly in two.
#[gtest]
#[tokio::test]
async fn cold_without_warning() {
    let _permit = FLEET_PERMITS.acquire().await.expect("never closed");
    let engine_arguments =
        ["--cold-start-ms", "1000", "--tokens-per-second", "25"].map(str::to_owned).to_vec();
    let plan = FleetPlan { engine_arguments, ..share_plan("cold_without_warning", "fleet") };
    let fleet = start_fleet(plan).await;
    let loads = start_flood(&fleet);
    tokio::time::sleep(2 * RAMP_UP).await;
    for round in 0..6 {
        let engine = format!("engine-{}", 1 + round % 3);
        fleet.set_behaviour(&engine, &json!({ "cold": true })).await.expect("an engine");
        tokio::time::sleep(Duration::from_secs(1)).await;
    }
    let mut over_cold_events = 0;
    for engine in ["engine-1", "engine-2", "engine-3"] {
        let counters = fleet.read_control(engine, "counters").await.expect("counters");
        over_cold_events += counters["over-cold-events"].as_u64().expect("a number");
        expect_that!(counters["running-maximum"], eq(&json!(4)), "{engine} had full load");
    }
    expect_that!(over_cold_events, le(1));
    loads.into_iter().for_each(ClosedLoad::abort);
    fleet.close().await.expect("the fleet ends");
}
