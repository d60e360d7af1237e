//! Log line about the load of a router that is short of processor time.

use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use super::GatewayContext;
use super::adapter::GatewayAdapter;

/// Time between two lines.
const INTERVAL: Duration = Duration::from_secs(1);

/// Lateness of a timer above which a line is written even if no caller was turned away.
const MIN_LOGGED_LATENESS: Duration = Duration::from_millis(15);

/// Calls and connections of callers since the counts were last taken.
#[derive(Debug, Default)]
pub(super) struct LoadCounts {
    admitted: AtomicU32,
    shed: AtomicU32,
    accepted: AtomicU32,
    handed_over: AtomicU32,
    closed: AtomicU32,
}

/// Counts that were taken.
#[derive(Clone, Copy, Debug)]
struct LoadCount {
    admitted: u32,
    shed: u32,
    accepted: u32,
    handed_over: u32,
    closed: u32,
}

impl LoadCounts {
    /// Counts a call that was admitted or shed.
    pub(super) fn count_call(&self, is_admitted: bool) {
        let counter = if is_admitted { &self.admitted } else { &self.shed };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a connection that is served or was closed unread.
    pub(super) fn count_connection(&self, is_served: bool) {
        let counter = if is_served { &self.accepted } else { &self.closed };
        counter.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a connection that is handed over to another router.
    pub(super) fn count_handoff(&self) {
        self.handed_over.fetch_add(1, Ordering::Relaxed);
    }

    fn take(&self) -> LoadCount {
        LoadCount {
            admitted: self.admitted.swap(0, Ordering::Relaxed),
            shed: self.shed.swap(0, Ordering::Relaxed),
            accepted: self.accepted.swap(0, Ordering::Relaxed),
            handed_over: self.handed_over.swap(0, Ordering::Relaxed),
            closed: self.closed.swap(0, Ordering::Relaxed),
        }
    }
}

/// Logs the load once a second while timers are late or callers are turned away.
#[derive(Debug)]
pub(super) struct LoadLog {
    updated_at: Instant,
    max_lateness: Duration,
}

impl LoadLog {
    /// Creates the log at the start of the router.
    pub(super) fn new(now: Instant) -> Self {
        Self { updated_at: now, max_lateness: Duration::ZERO }
    }

    /// Records how late a timer fired; when an update is due, logs the load since the last one.
    pub(super) fn update<A: GatewayAdapter>(
        &mut self,
        context: &GatewayContext<A>,
        lateness: Duration,
        now: Instant,
    ) {
        self.max_lateness = self.max_lateness.max(lateness);
        let interval = now.duration_since(self.updated_at);
        if interval < INTERVAL {
            return;
        }
        self.updated_at = now;
        let max_lateness = std::mem::take(&mut self.max_lateness);
        let count = context.admission.counts().take();
        if max_lateness > MIN_LOGGED_LATENESS || count.shed + count.handed_over + count.closed > 0 {
            log_load(context, interval, max_lateness, count);
        }
    }
}

fn log_load<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    interval: Duration,
    max_lateness: Duration,
    count: LoadCount,
) {
    let control = context.admission.control();
    let detector = control.detector();
    let control_events = context.control.max_capacity() - context.control.capacity();
    log::warn!(
        interval_ms = interval.as_millis() as u64,
        admitted = count.admitted, shed = count.shed,
        accepted = count.accepted, handed_over = count.handed_over, closed = count.closed,
        lateness_ms = detector.lateness().as_millis() as u64,
        max_lateness_ms = max_lateness.as_millis() as u64,
        demand = detector.demand(), sustainable_rate = control.sustainable_rate().round(),
        connections = context.connections.count(), calls = context.in_flight.count(),
        control_events = control_events;
        "router short of time"
    );
}
