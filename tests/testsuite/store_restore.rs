//! What a router keeps and distrusts when the store was restored from an older copy.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use godwitcrank::decision::direct::{DirectDispatcher, TrialStage, VersionTrial};
use godwitcrank::ids::StoreRevision;
use godwitcrank::protocol::{decode_message, encode_message};
use godwitcrank::routing::{
    CallerLimits, FleetView, MoveOrder, RouteConfiguration, UpstreamEntry, ViewBatch, ViewChange,
    ViewPart,
};
use googletest::prelude::*;
use indexmap::IndexMap;

use crate::support::direct_path::fleet_bounds;

/// Revision of both parts before the restore.
const KNOWN: StoreRevision = StoreRevision::new(1, 50);

/// Revision of the restored store when a router reads it.
const RESTORED: StoreRevision = StoreRevision::new(2, 30);

/// Time after a restore at which missing upstreams are still used.
const HELD: Duration = Duration::from_millis(2400);

/// Time after a restore from which missing upstreams count as gone.
const EXPIRED: Duration = Duration::from_millis(2600);

/// Time after a restore from which orders without a row are no longer in force.
const ORDERS_EXPIRED: Duration = Duration::from_secs(31);

fn started(seconds: u64) -> Option<SystemTime> {
    Some(UNIX_EPOCH + Duration::from_secs(seconds))
}

fn upstream(leaving: bool, started: Option<SystemTime>) -> ViewChange {
    let entry = UpstreamEntry {
        service: "model".into(),
        address: ([127, 0, 0, 1], 9000).into(),
        data_centre: "caerdydd".into(),
        version: "v1".into(),
        slots: 8,
        leaving,
        cold_left: Duration::ZERO,
        started,
    };
    ViewChange::Upstream("a".into(), entry)
}

fn configuration(version: u64) -> ViewChange {
    ViewChange::Configuration(Arc::new(RouteConfiguration {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        teams: Vec::new(),
        limits: CallerLimits {
            head_bytes: 16_384,
            body_bytes: 1 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        },
        work_rate: None,
    }))
}

fn order(target: &str, revision: StoreRevision) -> MoveOrder {
    MoveOrder {
        service: "model".into(),
        target: target.into(),
        duration: Duration::from_secs(20),
        revision,
    }
}

/// Returns the whole part as it is read at a revision. The rows of upstreams have this version.
fn whole(
    part: ViewPart,
    revision: StoreRevision,
    changes: Vec<ViewChange>,
    version: u64,
) -> ViewBatch {
    let ids = changes.iter().filter_map(|change| match change {
        ViewChange::Upstream(id, _) => Some(id.clone()),
        _ => None,
    });
    let row_versions: IndexMap<_, _> = ids.map(|id| (id, version)).collect();
    ViewBatch { part, revision, complete: true, changes, row_versions }
}

fn fed(part: ViewPart, revision: StoreRevision, change: ViewChange) -> ViewBatch {
    let changes = vec![change];
    ViewBatch { part, revision, complete: false, changes, row_versions: IndexMap::new() }
}

/// Returns a view that knows these rows of one part before the restore.
fn known_view(part: ViewPart, changes: Vec<ViewChange>, now: Instant) -> FleetView {
    let mut view = FleetView::default();
    view.apply(whole(part, KNOWN, changes, KNOWN.version), now);
    view
}

fn is_ready(view: &FleetView) -> bool {
    view.entries().get("a").is_some_and(|entry| !entry.leaving)
}

/// Guards against comparing versions of different eras.
#[gtest]
fn revision_orders_era_before_version() {
    expect_that!(RESTORED, gt(KNOWN));
    expect_that!(StoreRevision::new(2, 31), gt(RESTORED));
    expect_that!(StoreRevision::new(0, 90), lt(KNOWN));
}

/// Guards against routers of an earlier release, which know no eras, not being understood.
#[gtest]
fn revision_without_era_is_plain_number() {
    let plain = encode_message(&50_u64).expect("it can be encoded");
    let old = StoreRevision::new(0, 50);
    expect_that!(encode_message(&old).expect("it can be encoded"), eq(&plain));
    expect_that!(decode_message::<StoreRevision>(&plain).expect("it is valid"), eq(old));
    for revision in [KNOWN, StoreRevision::new(u64::from(u32::MAX), u64::MAX)] {
        let bytes = encode_message(&revision).expect("it can be encoded");
        expect_that!(decode_message::<StoreRevision>(&bytes).expect("it is valid"), eq(revision));
    }
}

/// Guards against changes of a restored store that are ignored as older, and against a feed of one
/// era that continues the state of another.
#[gtest]
fn apply_new_era_needs_whole_part() {
    let now = Instant::now();
    let part = ViewPart::Operators;
    let mut view = known_view(part, vec![configuration(4)], now);
    view.apply(fed(part, StoreRevision::new(2, 31), configuration(5)), now);
    expect_that!(view.revision(part), eq(KNOWN));
    view.apply(whole(part, RESTORED, vec![configuration(3)], 0), now);
    expect_that!(view.revision(part), eq(RESTORED));
    view.apply(fed(part, StoreRevision::new(2, 31), configuration(5)), now);
    view.apply(fed(part, StoreRevision::new(1, 60), configuration(6)), now);
    expect_that!(view.configuration().map(|held| held.version), some(eq(5)));
}

/// Guards against a configuration with a lower version taking effect in a new era.
#[gtest]
fn apply_new_era_lower_configuration_never_reverts() {
    let now = Instant::now();
    let mut view = known_view(ViewPart::Operators, vec![configuration(4)], now);
    view.apply(whole(ViewPart::Operators, RESTORED, vec![configuration(3)], 0), now);
    expect_that!(view.configuration().map(|held| held.version), some(eq(4)));
}

/// Guards against upstreams that are left out because the store lost their rows, or used for good.
#[gtest]
fn apply_new_era_missing_upstream_is_held() {
    let now = Instant::now();
    let part = ViewPart::Upstreams;
    let mut view = known_view(part, vec![upstream(false, None)], now);
    view.apply(whole(part, RESTORED, Vec::new(), 0), now);
    // The part may be read more than once.
    view.apply(whole(part, RESTORED, Vec::new(), 0), now);
    expect_that!(view.remove_expired(now + HELD), is_empty());
    expect_that!(is_ready(&view), eq(true));
    expect_that!(view.export().entries, is_empty());
    let changes = view.remove_expired(now + EXPIRED);
    expect_that!(changes, elements_are![eq(&ViewChange::UpstreamGone("a".into()))]);
    view.apply(fed(part, StoreRevision::new(2, 31), upstream(false, None)), now + EXPIRED);
    expect_that!(is_ready(&view), eq(true));
}

/// Guards against ending the use of an upstream that has written its row again, and against using
/// one that was removed after the restore.
#[gtest]
fn apply_new_era_later_row_ends_hold() {
    let now = Instant::now();
    let part = ViewPart::Upstreams;
    let later = StoreRevision::new(2, 31);
    for (row, is_used) in
        [(upstream(false, None), true), (ViewChange::UpstreamGone("a".into()), false)]
    {
        let mut view = known_view(part, vec![upstream(false, None)], now);
        view.apply(whole(part, RESTORED, Vec::new(), 0), now);
        view.apply(fed(part, later, row), now);
        expect_that!(is_ready(&view), eq(is_used));
        view.remove_expired(now + EXPIRED);
        expect_that!(is_ready(&view), eq(is_used));
    }
}

/// Guards against calls to an upstream that is ready only by a row from before its shutdown.
#[gtest]
fn apply_new_era_withdrawn_upstream_needs_later_row() {
    let now = Instant::now();
    let part = ViewPart::Upstreams;
    let withdrawals = [upstream(true, started(5)), ViewChange::UpstreamGone("a".into())];
    for withdrawal in withdrawals {
        for (case, start, version, is_used) in [
            ("same row", 5, 10, false),
            ("earlier process", 4, 10, false),
            ("later process", 6, 10, true),
            ("row later than the withdrawal", 5, 61, true),
        ] {
            let before = StoreRevision::new(1, 60);
            let mut view = known_view(part, vec![upstream(false, started(5))], now);
            view.apply(fed(part, before, withdrawal.clone()), now);
            let rows = vec![upstream(false, started(start))];
            view.apply(whole(part, RESTORED, rows.clone(), version), now);
            expect_that!(is_ready(&view), eq(is_used), "{case} after {withdrawal:?}");
            view.apply(whole(part, RESTORED, rows, version), now);
            expect_that!(is_ready(&view), eq(is_used), "{case} read twice");
            view.remove_expired(now + EXPIRED);
            expect_that!(is_ready(&view), eq(is_used), "{case} after the hold");
            let later = StoreRevision::new(2, 31);
            view.apply(fed(part, later, upstream(false, started(5))), now);
            expect_that!(is_ready(&view), eq(true), "{case} written again");
        }
    }
}

/// Guards against a row of an upstream's earlier process replacing that of the running one.
#[gtest]
fn apply_new_era_earlier_process_is_stale() {
    let now = Instant::now();
    let part = ViewPart::Upstreams;
    let mut view = known_view(part, vec![upstream(false, started(9))], now);
    view.apply(whole(part, RESTORED, vec![upstream(false, started(5))], 10), now);
    expect_that!(view.entries()["a"].started, eq(started(9)));
    view.remove_expired(now + EXPIRED);
    expect_that!(view.entries(), is_empty());
}

/// Guards against calls to a data centre whose order to take it out the store has lost.
#[gtest]
fn apply_new_era_taken_out_stays_out() {
    let now = Instant::now();
    let part = ViewPart::Operators;
    let out = || ViewChange::TakenOut("caerdydd".into());
    let later = StoreRevision::new(2, 31);
    let mut view = known_view(part, vec![out()], now);
    view.apply(whole(part, RESTORED, Vec::new(), 0), now);
    expect_that!(view.remove_expired(now + EXPIRED), is_empty());
    expect_that!(view.taken_out().len(), eq(1));
    expect_that!(view.export().taken_out.len(), eq(1));
    view.apply(fed(part, later, out()), now);
    expect_that!(view.remove_expired(now + ORDERS_EXPIRED), is_empty());
    let back = ViewChange::TakenBack("caerdydd".into());
    view.apply(fed(part, StoreRevision::new(2, 32), back.clone()), now);
    expect_that!(view.taken_out(), is_empty());
    // Without a row for good, an order that was removed unnoticed doesn't stay.
    let mut view = known_view(part, vec![out()], now);
    view.apply(whole(part, RESTORED, Vec::new(), 0), now);
    let changes = view.remove_expired(now + ORDERS_EXPIRED);
    expect_that!(changes, elements_are![eq(&back)]);
}

/// Guards against a version move that ends, or goes to an earlier target, because the store lost
/// its order.
#[gtest]
fn apply_new_era_move_order_is_held() {
    let now = Instant::now();
    let part = ViewPart::Operators;
    for stored in [None, Some(order("v2", StoreRevision::new(2, 20)))] {
        let known = ViewChange::MoveOrdered(order("v3", KNOWN));
        let mut view = known_view(part, vec![known], now);
        let rows = stored.clone().map(ViewChange::MoveOrdered).into_iter().collect();
        view.apply(whole(part, RESTORED, rows, 0), now);
        expect_that!(&*view.moves()["model"].target, eq("v3"));
        view.remove_expired(now + ORDERS_EXPIRED);
        let target = view.moves().get("model").map(|order| order.target.clone());
        expect_that!(target, eq(&stored.map(|order| order.target)));
    }
}

/// Guards against peers' views undoing what a router holds after a restore.
#[gtest]
fn import_new_era_holds_the_same() {
    let now = Instant::now();
    let mut peer = known_view(ViewPart::Upstreams, vec![upstream(false, None)], now);
    peer.apply(whole(ViewPart::Upstreams, RESTORED, Vec::new(), 0), now);
    let mut view = known_view(ViewPart::Upstreams, vec![upstream(false, None)], now);
    view.import(peer.export(), now);
    expect_that!(view.revision(ViewPart::Upstreams), eq(RESTORED));
    expect_that!(is_ready(&view), eq(true));
    view.remove_expired(now + EXPIRED);
    expect_that!(is_ready(&view), eq(false));
}

/// Guards against a peer that started after the restore, and knows only the copy, bringing back an
/// upstream that was about to stop; and against one that is ready again staying unused.
#[gtest]
fn import_withdrawn_upstream_needs_later_row() {
    let now = Instant::now();
    let part = ViewPart::Upstreams;
    let ready = || vec![upstream(false, started(5))];
    let mut view = known_view(part, vec![upstream(true, started(5))], now);
    let mut peer = FleetView::default();
    peer.apply(whole(part, RESTORED, ready(), 10), now);
    view.import(peer.export(), now);
    expect_that!(view.revision(part), eq(RESTORED));
    expect_that!(is_ready(&view), eq(false));
    let later = StoreRevision::new(2, 31);
    let row_versions = IndexMap::from_iter([("a".into(), later.version)]);
    let complete = false;
    peer.apply(ViewBatch { part, revision: later, complete, changes: ready(), row_versions }, now);
    view.import(peer.export(), now);
    expect_that!(is_ready(&view), eq(true));
}

fn recorded_trial(stage: TrialStage, now: Instant) -> VersionTrial {
    let mut trial = VersionTrial::new(order("v2", KNOWN), now);
    trial.apply_recorded(TrialStage::Trial);
    trial.apply_recorded(stage);
    trial
}

/// Guards against a final record that stays lost, and against one that is written without end.
#[gtest]
fn renew_order_requests_final_record_again() {
    for stage in [TrialStage::Done, TrialStage::TakenBack] {
        let now = Instant::now();
        let mut trial = recorded_trial(stage, now);
        expect_that!(trial.take_record_request(now), none());
        trial.renew_order(order("v2", RESTORED));
        expect_that!(trial.take_record_request(now), some(eq(stage)));
        let later = now + Duration::from_secs(1);
        expect_that!(trial.take_record_request(later), some(eq(stage)));
        trial.apply_recorded(stage);
        expect_that!(trial.take_record_request(later + Duration::from_secs(1)), none());
        expect_that!(trial.stage(), eq(stage));
    }
}

/// Guards against a move under way whose record stays lost, and against one that is written without
/// end.
#[gtest]
fn renew_order_requests_running_record_again() {
    let now = Instant::now();
    let mut trial = VersionTrial::new(order("v2", KNOWN), now);
    trial.apply_recorded(TrialStage::Trial);
    expect_that!(trial.take_record_request(now), none());
    trial.renew_order(order("v2", RESTORED));
    expect_that!(trial.take_record_request(now), some(eq(TrialStage::Trial)));
    trial.apply_recorded(TrialStage::Trial);
    expect_that!(trial.take_record_request(now + Duration::from_secs(1)), none());
    expect_that!(trial.stage(), eq(TrialStage::Trial));
}

fn dispatcher(now: Instant, first: MoveOrder) -> DirectDispatcher {
    let mut dispatcher =
        DirectDispatcher::new("r1".into(), "caerdydd".into(), IndexMap::new(), fleet_bounds());
    let revision = first.revision;
    dispatcher.apply(&ViewChange::MoveOrdered(first), now);
    dispatcher.apply_move_record(&"model".into(), revision, TrialStage::TakenBack, now);
    dispatcher
}

/// Returns the records that a dispatcher requests.
fn requests(dispatcher: &mut DirectDispatcher, now: Instant) -> Vec<TrialStage> {
    dispatcher.evaluate_moves(now).into_iter().filter_map(|step| step.request).collect()
}

/// Guards against a move that starts over although the router knows how it ended, and against a
/// later order with the same target being taken for the ended one.
#[gtest]
fn apply_order_written_again_keeps_end() {
    let now = Instant::now();
    let again = |revision| ViewChange::MoveOrdered(order("v2", revision));
    let late = now + ORDERS_EXPIRED;
    for (case, is_removed, revision, at, expected) in [
        ("read in the new era", false, RESTORED, now, TrialStage::TakenBack),
        ("read after it was removed", true, RESTORED, now, TrialStage::TakenBack),
        ("ordered anew long after", true, RESTORED, late, TrialStage::Trial),
        ("ordered anew without restore", true, StoreRevision::new(1, 60), now, TrialStage::Trial),
    ] {
        let mut dispatcher = dispatcher(now, order("v2", KNOWN));
        if is_removed {
            dispatcher.apply(&ViewChange::MoveEnded("model".into()), now);
        }
        dispatcher.record_store_restore(now);
        dispatcher.apply(&again(revision), at);
        // Only a record that is final already is written at once.
        let later = at + Duration::from_secs(3);
        expect_that!(requests(&mut dispatcher, later), elements_are![eq(&expected)], "{case}");
    }
}

/// Guards against a router that newly records an end right after a restore, before another one has
/// written a lost record again.
#[gtest]
fn evaluate_after_restore_records_nothing_new() {
    let now = Instant::now();
    let mut dispatcher =
        DirectDispatcher::new("r1".into(), "caerdydd".into(), IndexMap::new(), fleet_bounds());
    dispatcher.apply(&ViewChange::MoveOrdered(order("v2", RESTORED)), now);
    dispatcher.record_store_restore(now);
    expect_that!(requests(&mut dispatcher, now + Duration::from_secs(1)), is_empty());
    expect_that!(requests(&mut dispatcher, now + Duration::from_secs(3)).len(), eq(1));
}
