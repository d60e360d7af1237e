//! State of the fleet's duties on the control thread: the ledger of usage, the true time and the
//! holder of the duties.

use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use super::duties::DutyView;
use super::settings::DutySettings;
use crate::decision::direct::{PeerReport, PeerTable};
use crate::decision::duty::{
    ClosedWindow, DutyStatus, FleetClock, HolderWatch, UsageLedger, WindowSchedule,
};
use crate::ids::{NodeId, TeamId, UsageWindow};

/// Time between two reports of usage to the routers that collect it.
const USAGE_INTERVAL: Duration = Duration::from_millis(500);

/// Ledger, clock and holder, as one router knows them.
#[derive(Debug)]
pub(super) struct UsageState {
    schedule: WindowSchedule,
    ledger: UsageLedger,
    clock: FleetClock,
    /// True time since the Unix epoch minus the time of day of this VM, in milliseconds.
    correction: i64,
    holder: HolderWatch,
    own_status: Option<DutyStatus>,
    last_sent: Option<Instant>,
}

impl UsageState {
    /// Creates the state of a router that has just started.
    pub(super) fn new(settings: &DutySettings, now: Instant) -> Self {
        Self {
            schedule: settings.schedule,
            ledger: UsageLedger::new(settings.schedule),
            clock: FleetClock::default(),
            correction: 0,
            holder: HolderWatch::new(now),
            own_status: None,
            last_sent: None,
        }
    }

    /// Records a reading of the store's clock.
    pub(super) fn record_store_time(&mut self, time: Duration, at: Instant) {
        self.clock.record_store_time(time, at);
    }

    /// Records what this router holds of the duties.
    pub(super) fn set_own_status(&mut self, status: Option<DutyStatus>) {
        self.own_status = status;
    }

    /// Records the holder and the usage in the report of another router.
    pub(super) fn record_report(&mut self, report: &PeerReport, now: Instant) {
        if let Some(status) = report.duties {
            self.holder.record(&report.node, status, now);
        }
        if let Some(usage) = &report.usage {
            self.ledger.record_report(&report.node, report.incarnation, usage);
        }
    }

    /// Counts a call that began to run.
    pub(super) fn record_start(&mut self, team: &TeamId, at: Instant) {
        let elapsed = at.elapsed();
        self.ledger.record_start(team, self.true_time().saturating_sub(elapsed));
    }

    /// Closes the next window that can be closed.
    pub(super) fn close_next<'a>(
        &mut self,
        after: UsageWindow,
        alive: impl Iterator<Item = &'a NodeId>,
    ) -> Option<ClosedWindow> {
        let now = self.true_time();
        self.ledger.close_next(after, alive, now)
    }

    /// Returns the routers that are sent this router's usage now: the holder, and the first of the
    /// others, which takes over when the holder ends.
    pub(super) fn take_recipients(&mut self, peers: &PeerTable, now: Instant) -> Vec<SocketAddr> {
        self.correction = self.find_correction(peers, now);
        if self.last_sent.is_some_and(|at| now.duration_since(at) < USAGE_INTERVAL) {
            return Vec::new();
        }
        self.last_sent = Some(now);
        let holder = self.holder.holder(now);
        let holder_address = holder.and_then(|node| peers.address_of(node, now));
        holder_address.into_iter().chain(peers.first_address(holder, now)).collect()
    }

    /// Adds what every router is told to a report.
    pub(super) fn fill_report(&self, report: &mut PeerReport, now: Instant) {
        report.clock_offset = self.clock.own_offset(time_of_day(), now);
        report.duties = self.own_status;
    }

    /// Adds this router's usage to a report.
    pub(super) fn with_counts(&mut self, report: PeerReport) -> PeerReport {
        let now = self.true_time();
        PeerReport { usage: Some(self.ledger.report(now)), ..report }
    }

    /// Returns what the task that performs the duties has to know. A router that cannot serve does
    /// not compete for them.
    pub(super) fn duty_view(&self, can_serve: bool, position: u32, now: Instant) -> DutyView {
        DutyView {
            competes: can_serve && self.holder.should_compete(position, now),
            highest_fencing: self.holder.highest_fencing(),
            closed_through: self.holder.closed_through(),
            current: self.schedule.window_at(self.true_time()),
        }
    }

    fn find_correction(&self, peers: &PeerTable, now: Instant) -> i64 {
        let own = time_of_day();
        let true_time = self.clock.now(own, peers.clock_offsets(now), now);
        millis(true_time).saturating_sub(millis(own))
    }

    fn true_time(&self) -> Duration {
        let corrected = millis(time_of_day()).saturating_add(self.correction);
        Duration::from_millis(u64::try_from(corrected).unwrap_or_default())
    }
}

fn time_of_day() -> Duration {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default()
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
