//! Tests of leases and fencing.

use std::time::{Duration, Instant};

use godwitcrank::decision::lease::{LeaseClaim, LeaseHolder, LeaseRow, LeaseWaiter, OrderFence};
use googletest::prelude::*;
use proptest::prelude::*;

const TERM: Duration = Duration::from_secs(3);

fn row(fencing: u64, row_version: u64) -> Option<LeaseRow> {
    Some(LeaseRow { holder: "router-1".into(), fencing, row_version })
}

/// Guards against taking over a lease that is still renewed, and against measuring the term from
/// anything but the last observed change.
#[gtest]
fn observe_renewed_row() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut waiter = LeaseWaiter::new(TERM);
    expect_that!(waiter.observe(row(4, 10), at(0)), none());
    expect_that!(waiter.observe(row(4, 10), at(2999)), none());
    expect_that!(waiter.observe(row(4, 11), at(3000)), none(), "renewed just in time");
    expect_that!(waiter.observe(row(4, 11), at(5999)), none());
    let claim = LeaseClaim { fencing: 5, expected: Some(11) };
    expect_that!(waiter.observe(row(4, 11), at(6000)), some(eq(&claim)));
}

/// Guards against a holder that measures its term from the end of a slow write.
#[gtest]
fn is_current_slow_write() {
    let start = Instant::now();
    let mut waiter = LeaseWaiter::new(TERM);
    let claim = waiter.observe(None, start).expect("the row is absent");
    expect_that!(claim, eq(&LeaseClaim { fencing: 1, expected: None }));
    let holder = waiter.acquire(&claim, 1, start);
    expect_that!(holder.is_current(start + TERM - Duration::from_millis(1)), eq(true));
    expect_that!(holder.is_current(start + TERM), eq(false));
    expect_that!(holder.should_renew(start + TERM / 3), eq(true));
    let holder = holder.renew(2, start + TERM / 2);
    expect_that!(holder.expected_version(), eq(2));
    expect_that!(holder.is_current(start + TERM), eq(true));
}

/// Guards against accepting an order with an old fencing number after one with a newer number.
#[gtest]
fn accept_old_number() {
    let mut fence = OrderFence::new(3);
    expect_that!(fence.accept(2), eq(false));
    expect_that!(fence.accept(3), eq(true));
    expect_that!(fence.accept(5), eq(true));
    expect_that!(fence.accept(4), eq(false));
    expect_that!(fence.highest(), eq(5));
}

/// Node in the simulation below.
enum ModelNode {
    Waiting(LeaseWaiter),
    Holding(LeaseHolder),
}

proptest! {
    /// Guards against a delayed write of a previous holder that takes effect, whatever the
    /// schedule.
    #[test]
    fn write_any_schedule(steps in prop::collection::vec((0usize..3, 0u64..2500), 1..80)) {
        let mut now = Instant::now();
        let mut stored: Option<LeaseRow> = None;
        let mut nodes: Vec<ModelNode> =
            (0..3).map(|_| ModelNode::Waiting(LeaseWaiter::new(TERM))).collect();
        let mut highest_effect = 0;
        for (index, pause) in steps {
            now += Duration::from_millis(pause);
            let node = nodes.remove(index);
            let stored_version = stored.as_ref().map(|row| row.row_version);
            let next = match node {
                ModelNode::Waiting(mut waiter) => match waiter.observe(stored.clone(), now) {
                    Some(claim) if claim.expected == stored_version => {
                        let written = stored_version.unwrap_or(0) + 1;
                        stored = row(claim.fencing, written);
                        ModelNode::Holding(waiter.acquire(&claim, written, now))
                    }
                    _ => ModelNode::Waiting(waiter),
                },
                ModelNode::Holding(holder) if stored_version == Some(holder.expected_version()) => {
                    prop_assert!(holder.fencing() >= highest_effect);
                    highest_effect = holder.fencing();
                    let written = holder.expected_version() + 1;
                    stored = row(holder.fencing(), written);
                    ModelNode::Holding(holder.renew(written, now))
                }
                ModelNode::Holding(holder) => ModelNode::Waiting(holder.into_waiter()),
            };
            nodes.insert(index, next);
        }
    }
}
