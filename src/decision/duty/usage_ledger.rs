//! Counts the calls of each team that began to run, by windows of true time, over all routers.
//!
//! A router's counts of a window only grow and are reported in full, so a lost, late or repeated
//! report does no harm. What a router had reported before it ended stays in the ledgers of the
//! others.

use std::time::Duration;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, NodeId, TeamId, UsageWindow};

/// Windows that are kept besides the current one and those that may still be reported.
const SPARE_WINDOWS: u64 = 3;

/// Time after the end of a window before which it is not closed: reports of its last calls are on
/// their way.
const SETTLE_TIME: Duration = Duration::from_millis(800);

/// Fraction of the time until a report is due for which routers are awaited that have not reported
/// the end of the window.
const WAIT_FRACTION: f64 = 0.6;

/// Length of the windows and the time until the report of one is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowSchedule {
    /// Length of a window; window 0 begins at the Unix epoch.
    pub length: Duration,
    /// Time after the end of a window at which its report is due.
    pub due_after: Duration,
}

impl WindowSchedule {
    /// Returns the window that contains a time.
    pub fn window_at(&self, time: Duration) -> UsageWindow {
        let length = self.length.as_millis().max(1);
        UsageWindow::try_from(time.as_millis() / length).unwrap_or(UsageWindow::MAX)
    }

    /// Returns the number of windows whose counts are kept besides the current one.
    fn kept_windows(&self) -> u64 {
        let length = self.length.as_millis().max(1);
        let due = self.due_after.as_millis().div_ceil(length);
        u64::try_from(due).unwrap_or(u64::MAX).saturating_add(SPARE_WINDOWS)
    }

    /// Returns the end of a window.
    pub fn end_of(&self, window: UsageWindow) -> Duration {
        let length = u64::try_from(self.length.as_millis()).unwrap_or(u64::MAX);
        Duration::from_millis(window.saturating_add(1).saturating_mul(length))
    }
}

/// Counts of one window by team.
pub type WindowCounts = IndexMap<TeamId, u32>;

/// Counts of one router, as it reports them.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Window of the time of the report; the counts of all earlier windows are complete.
    pub current: UsageWindow,
    /// Counts of recent windows.
    pub windows: Vec<(UsageWindow, Vec<(TeamId, u32)>)>,
}

/// Final counts of a window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClosedWindow {
    /// The window.
    pub window: UsageWindow,
    /// Calls that began to run, by team in the order of names.
    pub counts: IndexMap<TeamId, u64>,
}

/// Counts of a router's own calls, and what the other routers have reported.
#[derive(Debug)]
pub struct UsageLedger {
    schedule: WindowSchedule,
    own: IndexMap<UsageWindow, WindowCounts>,
    peers: IndexMap<(NodeId, Incarnation), PeerUsage>,
}

#[derive(Debug, Default)]
struct PeerUsage {
    current: UsageWindow,
    windows: IndexMap<UsageWindow, WindowCounts>,
}

impl UsageLedger {
    /// Creates an empty ledger.
    pub fn new(schedule: WindowSchedule) -> Self {
        Self { schedule, own: IndexMap::new(), peers: IndexMap::new() }
    }

    /// Counts a call of this router that began to run at a true time.
    pub fn record_start(&mut self, team: &TeamId, at: Duration) {
        let window = self.schedule.window_at(at);
        let counts = self.own.entry(window).or_default();
        *counts.entry(TeamId::clone(team)).or_default() += 1;
    }

    /// Returns the report at a true time, and forgets windows that nobody asks for any more.
    pub fn report(&mut self, now: Duration) -> UsageReport {
        self.forget_old(now);
        let windows = self
            .own
            .iter()
            .filter(|(window, _)| self.schedule.end_of(**window) + self.schedule.due_after > now)
            .map(|(window, counts)| {
                let counts = counts.iter().map(|(team, count)| (TeamId::clone(team), *count));
                (*window, counts.collect())
            })
            .collect();
        UsageReport { current: self.schedule.window_at(now), windows }
    }

    /// Adds the report of another router. Counts only grow, so a report that was overtaken by a
    /// newer one changes nothing.
    pub fn record_report(&mut self, node: &NodeId, incarnation: Incarnation, report: &UsageReport) {
        let peer = self.peers.entry((NodeId::clone(node), incarnation)).or_default();
        peer.current = peer.current.max(report.current);
        for (window, counts) in &report.windows {
            let known = peer.windows.entry(*window).or_default();
            for (team, count) in counts {
                let total = known.entry(TeamId::clone(team)).or_default();
                *total = (*total).max(*count);
            }
        }
    }

    /// Closes the first window after `after` that is due to be reported and whose counts are
    /// complete, or as complete as they get in time. `alive` are the other routers.
    pub fn close_next<'a>(
        &mut self,
        after: UsageWindow,
        alive: impl IntoIterator<Item = &'a NodeId>,
        now: Duration,
    ) -> Option<ClosedWindow> {
        self.forget_old(now);
        let window = (after + 1).max(self.oldest_in_time(now));
        let ended_for = now.checked_sub(self.schedule.end_of(window))?;
        if ended_for < SETTLE_TIME {
            return None;
        }
        let is_complete = alive.into_iter().all(|node| self.has_reported(node, window));
        if !is_complete && ended_for < self.schedule.due_after.mul_f64(WAIT_FRACTION) {
            return None;
        }
        Some(ClosedWindow { window, counts: self.total(window) })
    }

    /// Returns the first window whose report is still in time.
    fn oldest_in_time(&self, now: Duration) -> UsageWindow {
        self.schedule.window_at(now.saturating_sub(self.schedule.due_after))
    }

    fn has_reported(&self, node: &NodeId, window: UsageWindow) -> bool {
        self.peers.iter().any(|((peer, _), usage)| peer == node && usage.current > window)
    }

    fn total(&self, window: UsageWindow) -> IndexMap<TeamId, u64> {
        let peers = self.peers.values().filter_map(|peer| peer.windows.get(&window));
        let mut total: IndexMap<TeamId, u64> = IndexMap::new();
        for (team, count) in self.own.get(&window).into_iter().chain(peers).flatten() {
            *total.entry(TeamId::clone(team)).or_default() += u64::from(*count);
        }
        total.sort_unstable_keys();
        total
    }

    fn forget_old(&mut self, now: Duration) {
        let oldest = self.schedule.window_at(now).saturating_sub(self.schedule.kept_windows());
        self.own.retain(|window, _| *window >= oldest);
        for peer in self.peers.values_mut() {
            peer.windows.retain(|window, _| *window >= oldest);
        }
        self.peers.retain(|_, peer| peer.current >= oldest);
    }
}
