//! Reports the end of a grant exactly once, even if the caller leaves.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;

use super::GatewayContext;
use super::adapter::{AnswerMetadata, GatewayAdapter};
use super::events::{ControlEvent, ControlSender, send_event};
use super::observe::GatewayMetrics;
use crate::decision::direct::{CallOutcome, ReceivedLoad};
use crate::ids::{CallId, GrantId};

/// A grant in use. Dropping it reports that the caller left.
#[derive(Debug)]
pub struct GrantGuard {
    control: ControlSender,
    metrics: Arc<GatewayMetrics>,
    grant: GrantId,
    objective_deadline: Instant,
    sent_at: Instant,
    first_event_seen: bool,
    writes: u32,
    late: bool,
    /// Load that the upstream stated, until it is reported.
    stated: Option<ReceivedLoad>,
    ended: bool,
}

impl GrantGuard {
    /// Creates the guard for a grant of a call that arrived at `arrived`.
    pub fn new<A: GatewayAdapter>(
        context: &GatewayContext<A>,
        grant: GrantId,
        arrived: Instant,
        objective: Duration,
    ) -> Self {
        Self {
            control: context.control.clone(),
            metrics: Arc::clone(&context.metrics),
            grant,
            objective_deadline: arrived + objective,
            sent_at: Instant::now(),
            first_event_seen: false,
            writes: 0,
            late: false,
            stated: None,
            ended: false,
        }
    }

    /// Records that the call is being sent.
    pub fn record_send(&mut self) {
        self.sent_at = Instant::now();
    }

    /// Returns whether the first event was reported.
    pub fn first_event_seen(&self) -> bool {
        self.first_event_seen
    }

    /// Counts a write of the stream.
    pub fn record_write(&mut self) {
        self.writes += 1;
    }

    /// Reports the first event, which lay at this router for about `own_delay`.
    pub fn record_first_event(&mut self, own_delay: Duration) {
        let now = Instant::now();
        self.first_event_seen = true;
        self.late = now > self.objective_deadline;
        let waited = now.duration_since(self.sent_at);
        let (grant, stated) = (self.grant, self.stated.take());
        self.send_event(ControlEvent::FirstEvent { grant, waited, own_delay, stated });
    }

    /// Reports what the upstream states about itself in the head of its answer to `call`. Its load
    /// is reported with the next event.
    pub fn record_statements(&mut self, call: CallId, answer: &AnswerMetadata, status: StatusCode) {
        self.stated = answer.load.map(|load| ReceivedLoad { load, at: Instant::now() });
        for notice in answer.notices() {
            self.send_event(ControlEvent::Notice { grant: self.grant, call, notice, status });
        }
    }

    /// Reports the end.
    pub fn end(mut self, outcome: CallOutcome) {
        self.report(outcome);
    }

    fn report(&mut self, outcome: CallOutcome) {
        self.ended = true;
        self.metrics.count_send(outcome);
        let late = if self.first_event_seen {
            self.late
        } else {
            Instant::now() > self.objective_deadline
        };
        let (grant, writes, stated) = (self.grant, self.writes, self.stated.take());
        self.send_event(ControlEvent::Ended { grant, outcome, late, writes, stated });
    }

    fn send_event(&self, event: ControlEvent) {
        send_event(&self.control, &self.metrics, event);
    }
}

impl Drop for GrantGuard {
    fn drop(&mut self) {
        if !self.ended {
            self.report(CallOutcome::Abandoned);
        }
    }
}
