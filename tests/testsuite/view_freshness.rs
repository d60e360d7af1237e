//! Which routers ask the source for a part of the view, and when.

use std::time::{Duration, Instant};

use godwitcrank::decision::direct::{PeerReport, PeerTable, ViewFreshness};
use godwitcrank::ids::{NodeId, StoreRevision};
use godwitcrank::routing::ViewPart;
use googletest::prelude::*;

/// Time within which a change must be in force.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(2);

const TICK: Duration = Duration::from_millis(100);

/// Reports of other routers arrive this long after they were sent, and once a tick.
const REPORT_DELAY: Duration = Duration::from_millis(10);

const REVISION: StoreRevision = StoreRevision::new(0, 7);

fn node(index: usize) -> NodeId {
    format!("router-{index:03}").into()
}

fn report(index: usize, sequence: u64, age: Duration) -> PeerReport {
    PeerReport {
        operators: REVISION,
        upstreams: REVISION,
        view_ages: vec![(ViewPart::Operators, age)],
        ..PeerReport::new(node(index), ([127, 0, 0, 1], 7400).into(), 1, sequence)
    }
}

/// Checks that the routers of a fleet requested, and the greatest age of a router's view.
struct FleetOutcome {
    checks: usize,
    greatest_age: Duration,
}

/// Lets a fleet run in ticks. Each check is answered at once, unless the router is `deaf`.
fn run_fleet(routers: usize, deaf: usize, ticks: u32) -> FleetOutcome {
    let start = Instant::now();
    let mut fleet: Vec<(ViewFreshness, PeerTable)> = (0..routers)
        .map(|_| {
            let mut freshness = ViewFreshness::default();
            freshness.confirm(ViewPart::Operators, start);
            (freshness, PeerTable::default())
        })
        .collect();
    let mut outcome = FleetOutcome { checks: 0, greatest_age: Duration::ZERO };
    for tick in 1..=ticks {
        let now = start + TICK * tick;
        for (index, (freshness, peers)) in fleet.iter_mut().enumerate() {
            if let Some(at) = peers.confirmed_at(ViewPart::Operators, REVISION, now) {
                freshness.confirm(ViewPart::Operators, at);
            }
            let age = freshness.age(ViewPart::Operators, now).expect("it was confirmed");
            outcome.greatest_age = outcome.greatest_age.max(age);
            let position = peers.count_before(&node(index), now);
            for part in freshness.take_due_checks(position, now) {
                outcome.checks += 1;
                if index >= deaf {
                    freshness.confirm(part, now);
                }
            }
        }
        exchange_reports(&mut fleet, u64::from(tick), now + REPORT_DELAY);
    }
    outcome
}

fn exchange_reports(fleet: &mut [(ViewFreshness, PeerTable)], sequence: u64, now: Instant) {
    let ages: Vec<Duration> = fleet
        .iter()
        .map(|(freshness, _)| freshness.age(ViewPart::Operators, now).expect("it was confirmed"))
        .collect();
    for (receiver, (_, peers)) in fleet.iter_mut().enumerate() {
        for (sender, age) in ages.iter().enumerate().filter(|(sender, _)| *sender != receiver) {
            peers.record(report(sender, sequence, *age), now);
        }
    }
}

/// Guards against a router that relies on a part for as long as a change may take, although nobody
/// has confirmed it: alone, in a fleet, and behind routers that get no answers.
#[gtest]
fn take_due_checks_age_stays_below_bound() {
    for (routers, deaf) in [(1, 0), (5, 0), (5, 4), (40, 0), (40, 20)] {
        let outcome = run_fleet(routers, deaf, 300);
        let limit = IN_FORCE_WITHIN.mul_f64(0.75);
        expect_that!(outcome.greatest_age, lt(limit), "{routers} routers, {deaf} deaf");
    }
}

/// Guards against every router of a fleet asking for itself, which a large fleet cannot afford:
/// the number of checks must not grow with the number of routers.
#[gtest]
fn take_due_checks_one_router_asks_for_all() {
    const TICKS: u32 = 300;
    let alone = run_fleet(1, 0, TICKS).checks;
    for routers in [5, 40] {
        let checks = run_fleet(routers, 0, TICKS).checks;
        expect_that!(checks, le(alone + routers), "{routers} routers");
    }
}

/// Guards against taking the confirmation of a peer that has another revision for one of the own.
#[gtest]
fn confirmed_at_other_revision_is_ignored() {
    let now = Instant::now() + Duration::from_secs(10);
    let mut peers = PeerTable::default();
    peers.record(report(1, 1, TICK), now);
    let part = ViewPart::Operators;
    expect_that!(peers.confirmed_at(part, REVISION, now), some(eq(now - TICK)));
    for other in [StoreRevision::new(0, 8), StoreRevision::new(1, 7)] {
        expect_that!(peers.confirmed_at(part, other, now), none());
    }
    expect_that!(peers.confirmed_at(ViewPart::Upstreams, REVISION, now), none());
}
