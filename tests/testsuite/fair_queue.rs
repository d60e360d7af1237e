//! Tests of the fair queue: order by virtual time, charges and limits.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use godwitcrank::decision::fair_queue::{
    FairLimits, FairQueue, FairRefusal, FairnessPolicy, TeamOffer,
};
use godwitcrank::ids::{RequestId, TeamId};
use googletest::prelude::*;
use indexmap::IndexSet;
use proptest::prelude::{Strategy, any, prop, prop_assert, prop_assert_eq, proptest};

fn router(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn team_offer(request: RequestId, team: &str) -> TeamOffer {
    TeamOffer { request, team: team.into(), router: router(1), cost_hint: None }
}

fn queue_with(shares: &[(&str, f64)]) -> FairQueue {
    let mut queue = FairQueue::new(FairnessPolicy::Fleet, FairLimits::default());
    let shares: Vec<(TeamId, f64)> =
        shares.iter().map(|(team, share)| ((*team).into(), *share)).collect();
    queue.set_shares(shares.iter().map(|(team, share)| (team, *share)));
    queue
}

fn run_next(queue: &mut FairQueue, units: u64) -> RequestId {
    let request = queue.take().expect("an offer waits");
    queue.record_progress(request, units);
    queue.finish(request);
    request
}

/// Guards against a team with many requests that gets more than its share of the slots.
#[gtest]
fn take_flooding_team() {
    let mut queue = queue_with(&[("flood", 1.0), ("small", 3.0)]);
    for request in 0..400 {
        let router = router((request % 16) as u16);
        let small = TeamOffer { router, ..team_offer(request, "small") };
        queue.offer(small).expect("there is room");
        let flood = TeamOffer { router, ..team_offer(1000 + request, "flood") };
        queue.offer(flood).expect("there is room");
        if request >= 60 {
            run_next(&mut queue, 10);
        }
    }
    let (flood, small) = (queue.charged("flood"), queue.charged("small"));
    expect_that!(small as f64 / flood as f64, near(3.0, 0.1));
}

/// Guards against a baseline that does not keep the order of arrival.
#[gtest]
fn take_fifo_policy() {
    let mut queue = FairQueue::new(FairnessPolicy::Fifo, FairLimits::default());
    for request in 0..4 {
        let team = if request < 3 { "flood" } else { "small" };
        queue.offer(team_offer(request, team)).expect("there is room");
    }
    let order: Vec<RequestId> = (0..4).map(|_| run_next(&mut queue, 10)).collect();
    expect_that!(order, elements_are![&0, &1, &2, &3]);
}

/// Guards against a team that saves up credit while it is idle.
#[gtest]
fn offer_after_idle_time() {
    let mut queue = queue_with(&[("busy", 1.0), ("idle", 1.0)]);
    for request in 0..50 {
        queue.offer(team_offer(request, "busy")).expect("there is room");
    }
    for _ in 0..40 {
        run_next(&mut queue, 100);
    }
    queue.offer(team_offer(100, "idle")).expect("there is room");
    expect_that!(queue.virtual_time("idle"), ge(queue.virtual_time("busy")));
}

/// Guards against a team that gets extra service because service by other agents is not counted.
#[gtest]
fn charge_remote_other_agent() {
    let mut queue = queue_with(&[("here", 1.0), ("there", 1.0)]);
    queue.offer(team_offer(1, "there")).expect("there is room");
    queue.offer(team_offer(2, "here")).expect("there is room");
    queue.charge_remote(&"there".into(), 500);
    expect_that!(queue.take(), some(eq(2)));
}

/// Guards against starving the team with a lead when a partition ends: the service of 20 s arrives
/// at once, and without a cap the team would wait until the others have caught up.
#[gtest]
fn cap_lead_after_partition() {
    let mut queue = queue_with(&[("ahead", 1.0), ("behind", 1.0)]);
    let start = Instant::now();
    queue.offer(team_offer(1, "ahead")).expect("there is room");
    queue.offer(team_offer(2, "behind")).expect("there is room");
    queue.cap_lead(start);
    // 20 s of service for one team at 100 units/s.
    queue.charge_remote(&"ahead".into(), 2000);
    queue.cap_lead(start + Duration::from_secs(20));
    let lead = queue.virtual_time("ahead") - queue.virtual_time("behind");
    // 0.5 s of the fleet's work per share, and two requests.
    expect_that!(lead, le(0.5 * 100.0 / 2.0 + 2.0 * 32.0));
    expect_that!(lead, gt(0.0));
}

/// Guards against virtual times that jump when an operator changes a share.
#[gtest]
fn set_shares_while_running() {
    let mut queue = queue_with(&[("one", 1.0), ("two", 1.0)]);
    for request in 0..128 {
        let team = if request % 2 == 0 { "one" } else { "two" };
        queue.offer(team_offer(request, team)).expect("there is room");
    }
    (0..20).for_each(|_| _ = run_next(&mut queue, 10));
    let (one, two) = (queue.charged("one"), queue.charged("two"));
    expect_that!(one, eq(two));
    let one_id: TeamId = "one".into();
    queue.set_shares([(&one_id, 3.0)]);
    (0..32).for_each(|_| _ = run_next(&mut queue, 10));
    let gained = (queue.charged("one") - one) as f64 / (queue.charged("two") - two) as f64;
    expect_that!(gained, near(3.0, 0.5));
}

/// Guards against one router that fills the queue of a team so that other routers are refused.
#[gtest]
fn offer_beyond_router_bound() {
    let limits = FairLimits { router_offers: 2, ..FairLimits::default() };
    let mut queue = FairQueue::new(FairnessPolicy::Fleet, limits);
    for request in 0..2 {
        queue.offer(team_offer(request, "flood")).expect("there is room");
    }
    expect_that!(queue.offer(team_offer(2, "flood")), err(eq(FairRefusal::RouterFull)));
    let other = TeamOffer { router: router(2), ..team_offer(3, "flood") };
    expect_that!(queue.offer(other), ok(()));
}

/// Guards against raising the virtual time of a team that is already backlogged at other agents: it
/// would lose the service that it is behind.
#[gtest]
fn offer_team_backlogged_elsewhere() {
    let mut queue = queue_with(&[("busy", 1.0), ("due", 1.0)]);
    queue.set_backlogged_elsewhere(&IndexSet::from(["due".into()]));
    queue.offer(team_offer(1, "busy")).expect("there is room");
    run_next(&mut queue, 100);
    queue.offer(team_offer(2, "busy")).expect("there is room");
    queue.offer(team_offer(3, "due")).expect("there is room");
    expect_that!(queue.virtual_time("due"), lt(queue.virtual_time("busy")));
    expect_that!(queue.take(), some(eq(3)));
}

/// Operation of a random sequence.
#[derive(Clone, Debug)]
enum QueueStep {
    Offer(u8),
    Take,
    Progress(u8, u16),
    Finish(u8),
    Abandon(u8),
    Withdraw(u8),
}

fn queue_step() -> impl Strategy<Value = QueueStep> {
    (0u8..6, any::<u8>(), 0u16..500).prop_map(|(kind, number, units)| match kind {
        0 => QueueStep::Offer(number),
        1 => QueueStep::Take,
        2 => QueueStep::Progress(number, units),
        3 => QueueStep::Finish(number),
        4 => QueueStep::Abandon(number),
        _ => QueueStep::Withdraw(number),
    })
}

proptest! {
    /// Guards against units that are lost or counted twice: once all requests have ended, the total
    /// charge equals the work done, whatever the estimates were. Exported counters never decrease.
    #[test]
    fn finish_conserves_charges(steps in prop::collection::vec(queue_step(), 1..200)) {
        let mut queue = queue_with(&[("0", 1.0), ("1", 2.5)]);
        let mut running: Vec<(RequestId, u64)> = Vec::new();
        let mut expected = 0u64;
        let mut next = 0u128;
        let mut exported = 0u64;
        for step in steps {
            match step {
                QueueStep::Offer(number) => {
                    next += 1;
                    let _ = queue.offer(team_offer(next, if number % 2 == 0 { "0" } else { "1" }));
                }
                QueueStep::Take => running.extend(queue.take().map(|request| (request, 0))),
                QueueStep::Progress(number, units) if !running.is_empty() => {
                    let index = usize::from(number) % running.len();
                    running[index].1 = running[index].1.max(units.into());
                    queue.record_progress(running[index].0, units.into());
                }
                QueueStep::Finish(number) if !running.is_empty() => {
                    let (request, units) = running.swap_remove(usize::from(number) % running.len());
                    queue.finish(request);
                    expected += units;
                }
                QueueStep::Abandon(number) if !running.is_empty() => {
                    let (request, _) = running.swap_remove(usize::from(number) % running.len());
                    queue.abandon(request);
                }
                QueueStep::Withdraw(number) => queue.withdraw(u128::from(number)),
                _ => {}
            }
            let total: u64 = queue.exported().map(|(_, units)| units).sum();
            prop_assert!(total >= exported);
            exported = total;
        }
        for (request, units) in running {
            queue.finish(request);
            expected += units;
        }
        prop_assert_eq!(queue.charged("0") + queue.charged("1"), expected);
        prop_assert!(exported >= expected);
    }
}
