//! Tests of the decisions about duties that one router performs for the fleet.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

use godwitcrank::decision::duty::{
    ClockContinuity, ClosedWindow, DutyStatus, FleetClock, HolderWatch, UsageLedger, UsageRecord,
    UsageReport, WindowSchedule,
};
use godwitcrank::decision::lease::{LeaseClaim, LeaseRow};
use godwitcrank::ids::{NodeId, TeamId};
use godwitcrank::lease::{JobLease, LeaseTable, LeaseWrite};
use googletest::prelude::*;

const SCHEDULE: WindowSchedule =
    WindowSchedule { length: Duration::from_secs(5), due_after: Duration::from_secs(10) };

/// Start of window 1,000 of [`SCHEDULE`].
const START: Duration = Duration::from_secs(5_000);

fn node(name: &str) -> NodeId {
    NodeId::from(name)
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

fn report(current: u64, window: u64, count: u32) -> UsageReport {
    UsageReport { current, windows: vec![(window, vec![(TeamId::from("clocks"), count)])] }
}

fn total(closed: Option<&ClosedWindow>) -> Option<u64> {
    closed.map(|closed| closed.counts.values().sum())
}

/// Guards against closing a window before the reports of its last calls have arrived, and against
/// waiting for a silent router until the report is overdue.
#[gtest]
fn close_next_waits_for_routers() {
    let peers = [node("r2"), node("r3")];
    let mut ledger = UsageLedger::new(SCHEDULE);
    ledger.record_start(&TeamId::from("clocks"), START + millis(100));
    ledger.record_report(&peers[0], 1, &report(1_001, 1_000, 7));
    let ended = START + Duration::from_secs(5);
    expect_that!(ledger.close_next(999, &peers, ended + millis(100)), none(), "too early");
    expect_that!(ledger.close_next(999, &peers, ended + Duration::from_secs(5)), none(), "r3");
    let overdue = ledger.close_next(999, &peers, ended + Duration::from_secs(7));
    expect_that!(total(overdue.as_ref()), some(eq(8)));
    ledger.record_report(&peers[1], 1, &report(1_001, 1_000, 2));
    let complete = ledger.close_next(999, &peers, ended + Duration::from_secs(1));
    expect_that!(total(complete.as_ref()), some(eq(10)));
    expect_that!(ledger.close_next(1_000, &peers, ended + Duration::from_secs(1)), none(), "next");
}

/// Guards against counting a call twice when a report is repeated or overtaken, or when a router
/// restarts, and against forgetting what a router had reported before it ended.
#[gtest]
fn record_report_repeated_and_restarted() {
    let peer = node("r2");
    let mut ledger = UsageLedger::new(SCHEDULE);
    ledger.record_report(&peer, 1, &report(1_000, 1_000, 7));
    ledger.record_report(&peer, 1, &report(1_000, 1_000, 5));
    ledger.record_report(&peer, 1, &report(1_000, 1_000, 7));
    ledger.record_report(&peer, 2, &report(1_001, 1_000, 3));
    let closed = ledger.close_next(999, [], START + Duration::from_secs(6));
    expect_that!(total(closed.as_ref()), some(eq(10)));
}

/// Guards against a holder that reports every window of a long gap, of which it has no counts.
#[gtest]
fn close_next_long_gap_skips_overdue_windows() {
    let mut ledger = UsageLedger::new(SCHEDULE);
    let closed = ledger.close_next(900, [], START).expect("a window has ended");
    expect_that!(closed.window, eq(998));
}

/// Guards against windows whose borders jump with the time of day of single VMs.
#[gtest]
fn now_third_of_clocks_jump() {
    let at = Instant::now();
    let mut clock = FleetClock::default();
    expect_that!(clock.now(START, [], at), eq(START), "no reading of the store yet");
    clock.record_store_time(Duration::from_secs(60), at);
    let offset = clock.own_offset(START, at).expect("the store was read");
    let later = at + Duration::from_secs(4);
    let true_time = START + Duration::from_secs(4);
    let peers = [offset, offset + 3, offset - 2, offset + 2_000, offset - 5_000];
    for jumped in
        [true_time, true_time + Duration::from_secs(2), true_time - Duration::from_secs(2)]
    {
        let now = clock.now(jumped, peers, later);
        expect_that!(now.abs_diff(true_time), le(millis(5)), "{jumped:?}");
    }
}

/// Guards against a holder that goes on with its term after its VM was suspended, which its
/// monotonic clock does not show.
#[gtest]
fn check_suspended_vm() {
    let (at, wall) = (Instant::now(), SystemTime::now());
    let mut continuity = ClockContinuity::new(at, wall);
    expect_true!(continuity.advanced_alike(at + millis(300), wall + millis(310)));
    expect_false!(continuity.advanced_alike(at + millis(600), wall + Duration::from_secs(4)));
    expect_true!(continuity.advanced_alike(at + millis(900), wall + millis(4_300)));
    expect_false!(continuity.advanced_alike(at + millis(1_200), wall), "set back");
}

/// Guards against a fleet whose routers all read the lease whenever they like, and against routers
/// that follow a holder that was replaced.
#[gtest]
fn should_compete_by_position() {
    let start = Instant::now();
    let mut watch = HolderWatch::new(start);
    let status = |fencing, window| DutyStatus { fencing, closed_through: Some(window) };
    watch.record(&node("r1"), status(4, 20), start + millis(1_000));
    watch.record(&node("r2"), status(3, 22), start + millis(1_100));
    expect_that!(watch.holder(start + millis(2_000)), some(eq(&node("r1"))));
    expect_that!(watch.highest_fencing(), eq(4));
    expect_that!(watch.closed_through(), some(eq(22)), "also of a holder that was replaced");
    let silent = start + millis(2_600);
    expect_that!(watch.holder(silent), none());
    expect_true!(watch.should_compete(0, silent));
    expect_false!(watch.should_compete(1, silent));
    expect_true!(watch.should_compete(1_000, start + Duration::from_secs(6)), "bounded");
}

/// Guards against a second report of a window with other counts after the store has lost the record
/// of it.
#[gtest]
fn resume_after_restored_record() {
    let closed = |window| ClosedWindow { window, counts: Default::default() };
    let record = UsageRecord::default().with_closed(closed(40), 3).with_closed(closed(41), 3);
    expect_that!(UsageRecord::resume_after(Some(&record), 3, None, 50), eq(41));
    expect_that!(UsageRecord::resume_after(Some(&record), 3, Some(45), 50), eq(45));
    expect_that!(UsageRecord::resume_after(Some(&record), 4, None, 50), eq(49));
    expect_that!(UsageRecord::resume_after(None, 4, Some(51), 50), eq(51));
    expect_that!(UsageRecord::resume_after(None, 0, None, 50), eq(49));
}

/// A lease row in memory; writes may be applied without an answer.
#[derive(Default)]
struct MemoryRow {
    row: Mutex<Option<LeaseRow>>,
    loses_answers: Mutex<HashMap<NodeId, bool>>,
}

/// Access of one node to the row.
struct NodeTable<'a> {
    row: &'a MemoryRow,
    node: NodeId,
}

impl LeaseTable for NodeTable<'_> {
    type Error = &'static str;

    fn node(&self) -> &NodeId {
        &self.node
    }

    async fn read(&self) -> std::result::Result<Option<LeaseRow>, Self::Error> {
        Ok(self.row.row.lock().expect("no holder panicked").clone())
    }

    async fn write(&self, claim: LeaseClaim) -> std::result::Result<LeaseWrite, Self::Error> {
        let mut row = self.row.row.lock().expect("no holder panicked");
        let version = row.as_ref().map_or(0, |row| row.row_version);
        if claim.expected.unwrap_or(0) != version {
            return Ok(LeaseWrite::Conflict);
        }
        let (holder, fencing) = (self.node.clone(), claim.fencing);
        *row = Some(LeaseRow { holder, fencing, row_version: version + 1 });
        let losses = self.row.loses_answers.lock().expect("no holder panicked");
        if losses.get(&self.node).copied().unwrap_or_default() {
            return Err("the answer was lost");
        }
        Ok(LeaseWrite::Written(version + 1))
    }
}

/// Guards against two holders, or none, when the answer to the acquiring write is lost.
#[gtest]
#[tokio::test]
async fn refresh_answer_lost_one_holder() {
    let term = Duration::from_secs(3);
    let start = Instant::now();
    let row = MemoryRow::default();
    let first = NodeTable { row: &row, node: node("r1") };
    let second = NodeTable { row: &row, node: node("r2") };
    row.loses_answers.lock().expect("no holder panicked").insert(node("r1"), true);
    let lease = JobLease::waiting(term).refresh(&first, start).await;
    expect_that!(lease.fencing(start), none(), "it is not known whether the row was written");
    let other = JobLease::waiting(term).refresh(&second, start).await;
    expect_that!(other.fencing(start), none());
    row.loses_answers.lock().expect("no holder panicked").clear();
    let lease = lease.refresh(&first, start + millis(500)).await;
    expect_that!(lease.fencing(start + millis(500)), some(eq(1)));
    let other = other.refresh(&second, start + term).await;
    expect_that!(other.fencing(start + term), some(eq(2)), "not renewed for a term");
    let lease = lease.refresh(&first, start + term).await;
    expect_that!(lease.fencing(start + term), none());
}

/// Guards against windows that are forgotten before they are closed, when reports are due many
/// windows later.
#[gtest]
fn close_next_many_windows_until_due() {
    let schedule = WindowSchedule { length: Duration::from_secs(1), ..SCHEDULE };
    let silent = [node("r2")];
    let mut ledger = UsageLedger::new(schedule);
    ledger.record_start(&TeamId::from("clocks"), START);
    let window = schedule.window_at(START);
    for second in 1..=6 {
        let now = START + Duration::from_secs(second);
        expect_that!(ledger.close_next(window - 1, &silent, now), none());
    }
    let closed = ledger.close_next(window - 1, &silent, START + Duration::from_secs(8));
    expect_that!(total(closed.as_ref()), some(eq(1)));
}
