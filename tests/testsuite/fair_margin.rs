//! Margin of the fairness rule in simulated fleets, second by second.
//!
//! The rule: in any six seconds, a team whose calls are refused gets at least half of what it asked
//! for or of what the best served team got, whichever is less second by second, less three of the
//! largest calls.

use std::ops::RangeInclusive;
use std::time::Duration;

use godwitcrank::ids::TeamId;
use googletest::prelude::*;
use indexmap::IndexMap;

use super::support::fleet_plan::{FleetPlan, ProcessorCosts, SimulatedTeam, TeamRecord};
use super::support::router_fleet::RouterFleet;

/// Length of the rule's window, in seconds.
const WINDOW_SECONDS: usize = 6;

/// Seconds after the start of traffic that are not judged, since nothing is cached then.
const WARM_UP_SECONDS: usize = 2;

/// Work of the largest call, in tokens.
const LARGEST_CALL: f64 = 9_300.0;

/// Small routers have 0.09 of a core, large ones half of one.
const SMALL: f64 = 0.09;
const LARGE: f64 = 0.5;

/// Fraction of a core of each router where all have the same size.
const ZONE_ROUTER: f64 = 0.19;

fn team(name: &str, rate: f64, home: Option<usize>) -> SimulatedTeam {
    SimulatedTeam { name: name.into(), rate, home, surges: Vec::new() }
}

/// Returns the least margin of a team over all windows from second `first`, as a fraction of what
/// the rule demands: negative where the rule is broken.
fn least_margin(records: &IndexMap<TeamId, TeamRecord>, team: &str, first: usize) -> f64 {
    let record = &records[team];
    let seconds = record.got.len() - 1;
    (first..=seconds - WINDOW_SECONDS)
        .map(|from| {
            let window = from..from + WINDOW_SECONDS;
            let demanded: f64 = window.clone().map(|second| demand(records, record, second)).sum();
            let got: f64 = record.got[window].iter().sum();
            (got - (demanded - 3.0 * LARGEST_CALL)) / demanded.max(1.0)
        })
        .fold(f64::INFINITY, f64::min)
}

fn demand(records: &IndexMap<TeamId, TeamRecord>, record: &TeamRecord, second: usize) -> f64 {
    let best = records.values().map(|other| other.got[second]).fold(0.0, f64::max);
    record.asked[second].min(best) / 2.0
}

fn describe(records: &IndexMap<TeamId, TeamRecord>) -> String {
    let thousands = |values: &[f64]| -> Vec<u64> {
        values.iter().map(|value| (value / 1000.0) as u64).collect()
    };
    records
        .iter()
        .map(|(name, record)| {
            let (asked, got) = (thousands(&record.asked), thousands(&record.got));
            format!("\n{name} asked {asked:?}\n{name} got   {got:?}")
        })
        .collect()
}

/// Runs the plan with three seeds and checks the margin of each team that is named, from second
/// `first`.
fn expect_margins(plan: &FleetPlan, teams: &[&str], first: usize) {
    for seed in 1..=3 {
        let records = RouterFleet::run(FleetPlan { seed, ..plan.clone() });
        for team in teams {
            let margin = least_margin(&records, team, first);
            expect_that!(margin, ge(0.0), "{team}, seed {seed}{}", describe(&records));
        }
    }
}

/// Returns a plan with two large teams, one of them at one small router at first; routers of two
/// sizes; equal engines.
fn small_routers_plan(long_answers: f64) -> FleetPlan {
    let mut teams = vec![team("one-router", 300.0, Some(0)), team("all-routers", 500.0, None)];
    teams.extend((0..10).map(|index| team(&format!("small-{index}"), 10.0, None)));
    FleetPlan {
        routers: vec![SMALL, SMALL, SMALL, SMALL, SMALL, SMALL, LARGE, LARGE],
        engines: 16,
        stated_rate: 2_800_000.0,
        teams,
        costs: ProcessorCosts::LOW,
        long_answers,
        length: Duration::from_secs(14),
        seed: 0,
    }
}

/// Guards against a small router whose overload control refuses calls that its processor bears, so
/// that a large team whose callers all meet it gets far less than the others. Fixed: two large
/// teams, one of them at one small router; routers of two sizes; equal engines.
#[gtest]
fn margin_large_team_at_small_router() {
    expect_margins(&small_routers_plan(0.0), &["one-router", "all-routers"], WARM_UP_SECONDS);
}

/// Guards against teams being served in proportion to what they ask for, when the engines do more
/// than the configuration states: with more than twice the work that they bear, a team of medium
/// size then gets less than half of its demand, and the largest several times as much. Fixed: one
/// flood and five teams of medium size, all at large routers; equal engines.
#[gtest]
fn margin_medium_team_beside_flood() {
    let mut teams = vec![team("flood", 1_000.0, None), team("one-router", 100.0, Some(0))];
    teams.extend((0..4).map(|index| team(&format!("medium-{index}"), 100.0, None)));
    let plan = FleetPlan {
        routers: vec![LARGE; 8],
        engines: 16,
        stated_rate: 2_800_000.0,
        teams,
        costs: ProcessorCosts::LOW,
        long_answers: 0.0,
        length: Duration::from_secs(14),
        seed: 0,
    };
    let teams = ["one-router", "medium-0", "medium-1", "medium-2", "medium-3"];
    expect_margins(&plan, &teams, WARM_UP_SECONDS);
}

/// Guards against a team that gets far less than the others in the first seconds of a flood: no
/// team has used much by then, so none counts as above the fair level, and the largest fill the
/// upstreams. Fixed: two floods at all routers, one large team at one small router.
#[gtest]
fn margin_large_team_from_first_second() {
    let mut teams = vec![
        team("one-router", 200.0, Some(0)),
        team("flood", 900.0, None),
        team("second-flood", 500.0, None),
    ];
    teams.extend((0..10).map(|index| team(&format!("small-{index}"), 10.0, None)));
    let plan = FleetPlan {
        routers: vec![SMALL, LARGE, LARGE, LARGE, LARGE, LARGE, LARGE, LARGE],
        engines: 16,
        stated_rate: 2_800_000.0,
        teams,
        costs: ProcessorCosts::LOW,
        long_answers: 0.0,
        length: Duration::from_secs(14),
        seed: 0,
    };
    expect_margins(&plan, &["one-router"], 0);
}

/// Guards against an overloaded router that spends its processor time on calls with long answers
/// and little other work, so that a large team at small routers gets far less than the others.
/// Fixed: two large teams, one of them at small routers; every third call has a long answer.
#[gtest]
fn margin_large_team_with_long_answers() {
    expect_margins(&small_routers_plan(0.33), &["one-router"], WARM_UP_SECONDS);
}

/// Returns a plan with a zone of one router, whose callers are a large team and a third of a flood;
/// the traffic of all teams grows, and then that of the flood alone.
fn zone_of_one_router_plan() -> FleetPlan {
    let burst = (Duration::from_millis(6_750), 2.6);
    let hot_team = (Duration::from_millis(9_870), 4.0);
    let mut teams = vec![
        team("one-zone", 110.0, Some(0)),
        team("flood", 117.0, Some(0)),
        team("flood", 273.0, None),
    ];
    teams.extend((0..10).map(|index| team(&format!("small-{index}"), 12.0, None)));
    for team in &mut teams {
        team.surges.push(burst);
        if &*team.name == "flood" {
            team.surges.push(hot_team);
        }
    }
    FleetPlan {
        routers: vec![ZONE_ROUTER; 5],
        engines: 18,
        stated_rate: 1_600_000.0,
        teams,
        costs: ProcessorCosts::LOW,
        long_answers: 0.33,
        length: Duration::from_secs(12),
        seed: 0,
    }
}

/// Guards against a large team that gets far less than the others since the only router of its zone
/// has no processor time left, while all other routers have. Fixed: five routers of one size; a
/// zone of one router with two fifths of all calls; a burst, and a flood after it; equal engines.
#[gtest]
fn margin_large_team_in_zone_of_one_router() {
    expect_margins(&zone_of_one_router_plan(), &["one-zone"], WARM_UP_SECONDS);
}

/// Seeds of the test of a team that the balancer sends to one router.
const PINNED_TEAM_SEEDS: RangeInclusive<u64> = 1..=5;

/// Returns a plan with a large team whose callers and retries all meet one small router while the
/// balancer has it in rotation, and two floods at all routers. One call of six has a long answer.
fn pinned_team_plan() -> FleetPlan {
    let mut teams = vec![
        team("one-router", 240.0, Some(0)),
        team("flood", 900.0, None),
        team("second-flood", 500.0, None),
    ];
    teams.extend((0..10).map(|index| team(&format!("small-{index}"), 10.0, None)));
    FleetPlan {
        routers: vec![SMALL, SMALL, LARGE, SMALL, LARGE, SMALL, LARGE, LARGE],
        engines: 16,
        stated_rate: 2_800_000.0,
        teams,
        costs: ProcessorCosts::LARGE_FLEET,
        long_answers: 0.16,
        length: Duration::from_secs(9),
        seed: 0,
    }
}

/// Guards against a team that gets far less than the others because all its callers, and their
/// retries, meet one small router that spends its time on refusing them. Fixed: two floods at all
/// routers, one large team at one small router; routers of two sizes; equal engines.
#[gtest]
fn margin_large_team_pinned_to_small_router() {
    for seed in PINNED_TEAM_SEEDS {
        let records = RouterFleet::run(FleetPlan { seed, ..pinned_team_plan() });
        let margin = least_margin(&records, "one-router", 0);
        expect_that!(margin, ge(0.0), "seed {seed}{}", describe(&records));
    }
}
