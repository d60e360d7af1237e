//! Which connections a router hands over, and to which routers.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use godwitcrank::decision::direct::{
    HandoffOffer, HandoffTargets, OverloadControl, PeerReport, PeerTable,
};
use godwitcrank::ids::StoreRevision;
use googletest::prelude::*;

const INTERVAL: Duration = Duration::from_millis(100);

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn offer(port: u16, data_centre: &str, spare_rate: f64) -> HandoffOffer {
    HandoffOffer { address: address(port), data_centre: data_centre.into(), spare_rate }
}

fn targets(offers: &[HandoffOffer]) -> HandoffTargets {
    let mut targets = HandoffTargets::new("caerdydd".into());
    targets.update(offers, INTERVAL, Instant::now());
    targets
}

fn count_taken(targets: &mut HandoffTargets, port: u16) -> usize {
    std::iter::from_fn(|| targets.take()).filter(|target| *target == address(port)).count()
}

/// Guards against connections that go to another data centre while a router of the same one has
/// time: bytes between data centres are dear.
#[gtest]
fn take_same_data_centre_first() {
    let mut targets = targets(&[offer(1, "abertawe", 1_000.0), offer(2, "caerdydd", 100.0)]);
    let first: Vec<_> = (0..5).filter_map(|_| targets.take()).collect();
    expect_that!(first, each(eq(&address(2))));
    expect_that!(targets.take(), some(eq(address(1))));
}

/// Guards against a router that gets more connections than it offered until its next report.
#[gtest]
fn take_offer_used_up() {
    let mut targets = targets(&[offer(1, "caerdydd", 200.0)]);
    // Half of 200 calls per second, for 0.1 s.
    expect_that!(count_taken(&mut targets, 1), eq(10));
    expect_that!(targets.is_available(), eq(false));
}

/// Guards against a burst of connections on old offers after the router itself stood still.
#[gtest]
fn update_after_pause_uses_short_interval() {
    let mut targets = HandoffTargets::new("caerdydd".into());
    targets.update(&[offer(1, "caerdydd", 200.0)], Duration::from_secs(5), Instant::now());
    expect_that!(count_taken(&mut targets, 1), le(20));
}

/// Guards against callers who all wait for a router that cannot be reached.
#[gtest]
fn record_unreachable_left_out_for_a_while() {
    let offers = [offer(1, "caerdydd", 200.0)];
    let now = Instant::now();
    let mut targets = targets(&offers);
    targets.record_unreachable(address(1), now);
    expect_that!(targets.take(), none());
    targets.update(&offers, INTERVAL, now + INTERVAL);
    expect_that!(targets.take(), none());
    targets.update(&offers, INTERVAL, now + Duration::from_secs(2));
    expect_that!(targets.take(), some(eq(address(1))));
}

/// Guards against calls that an older configuration handles, since their connection was handed to
/// a router that does not have the newest one yet.
#[gtest]
fn offers_older_configuration_left_out() {
    let now = Instant::now();
    let mut peers = PeerTable::default();
    for (node, operators) in [("behind", 4), ("level", 5), ("ahead", 6)] {
        let mut report = PeerReport::new(node.into(), address(9), 1, 1);
        report.operators = StoreRevision::new(0, operators);
        report.offer = Some(offer(operators as u16, "caerdydd", 100.0));
        peers.record(report, now);
    }
    let addresses: Vec<_> = peers
        .offers(StoreRevision::new(0, 5), now)
        .into_iter()
        .map(|offer| offer.address)
        .collect();
    expect_that!(addresses, unordered_elements_are![eq(&address(5)), eq(&address(6))]);
}

/// Guards against connections that go on being handed to a router that stands still, and against
/// none being handed over in large fleets, whose routers report less often.
#[gtest]
fn offers_silent_peer_left_out() {
    const REPORTS: u32 = 20;
    for (interval, silence, is_usable) in
        [(100, 400, true), (100, 600, false), (300, 1_000, true), (300, 1_300, false)]
    {
        let start = Instant::now();
        let interval = Duration::from_millis(interval);
        let mut peers = PeerTable::default();
        for number in 0..REPORTS {
            let mut report = PeerReport::new("spare".into(), address(9), 1, u64::from(number) + 1);
            report.offer = Some(offer(1, "caerdydd", 100.0));
            peers.record(report, start + interval * number);
        }
        let now = start + interval * (REPORTS - 1) + Duration::from_millis(silence);
        expect_that!(
            !peers.offers(StoreRevision::default(), now).is_empty(),
            eq(is_usable),
            "{interval:?} {silence} ms"
        );
    }
}

/// Guards against a router that takes over others' connections when it is late or nearly out of
/// connections itself.
#[gtest]
fn spare_rate_busy_router_offers_nothing() {
    let start = Instant::now();
    let mut control = OverloadControl::new(0.5, start);
    control.record(Duration::from_millis(1), 0.1, INTERVAL, start + INTERVAL);
    expect_that!(control.spare_rate(), gt(500.0));
    control.record(Duration::from_millis(1), 0.6, INTERVAL, start + 2 * INTERVAL);
    expect_that!(control.spare_rate(), eq(0.0));
    control.record(Duration::from_millis(60), 0.1, INTERVAL, start + 3 * INTERVAL);
    expect_that!(control.spare_rate(), eq(0.0));
}
