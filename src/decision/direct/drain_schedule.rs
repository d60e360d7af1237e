//! Time limits of a graceful shutdown, and which calls are still sent to upstreams during it.

use std::time::{Duration, Instant};

use crate::routing::CallKind;

/// Time after the stop signal during which new streams are accepted. Streams last seconds, and the
/// balancer sends no new connections after two missed probes, a second apart.
const STREAM_DRAIN_TIME: Duration = Duration::from_millis(2500);

/// Time after the stop signal during which new connections are accepted.
const ACCEPT_DRAIN_TIME: Duration = Duration::from_millis(3600);

/// Time before the process is killed at which the remaining connections are abandoned.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Time for writing an answer to its caller before the connections are abandoned.
const ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// A call that is about to be sent to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedSend {
    /// Kind of the call's route.
    pub kind: CallKind,
    /// Whether the call was not sent before.
    pub is_first: bool,
    /// When the call ends at the latest.
    pub ends_by: Instant,
}

/// Time limits of a graceful shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DrainSchedule {
    started: Instant,
    grace: Duration,
}

impl DrainSchedule {
    /// Creates the schedule of a shutdown that started at `started`, after which the process is
    /// killed when `grace` has passed.
    pub fn new(started: Instant, grace: Duration) -> Self {
        Self { started, grace }
    }

    /// Returns until when connections are accepted.
    pub fn accept_until(&self) -> Instant {
        (self.started + ACCEPT_DRAIN_TIME).min(self.abandon_at())
    }

    /// Returns when the remaining connections are abandoned.
    pub fn abandon_at(&self) -> Instant {
        self.started + self.grace.saturating_sub(STOP_MARGIN)
    }

    /// Returns by when every call has to be answered.
    pub fn answer_by(&self) -> Instant {
        self.started + self.grace.saturating_sub(STOP_MARGIN + ANSWER_MARGIN)
    }

    /// Returns whether a call may still be sent: it has to end in time even if its upstream takes
    /// all the time that the call has left.
    pub fn allows(&self, send: &PlannedSend, now: Instant) -> bool {
        let is_new_stream = send.kind == CallKind::Stream && send.is_first;
        let is_late_stream = is_new_stream && now >= self.started + STREAM_DRAIN_TIME;
        !is_late_stream && send.ends_by <= self.answer_by()
    }
}
