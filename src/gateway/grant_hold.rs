//! Reports the end of a grant exactly once, also when the caller leaves.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::GatewayContext;
use super::adapter::GatewayAdapter;
use super::events::{ControlEvent, ControlSender, tell};
use super::observe::GatewayMetrics;
use crate::decision::direct::CallOutcome;
use crate::ids::GrantId;

/// Use of a grant that has not ended.
#[derive(Debug)]
pub struct GrantHold {
    control: ControlSender,
    metrics: Arc<GatewayMetrics>,
    grant: GrantId,
    due: Instant,
    began: bool,
    late: bool,
    ended: bool,
}

impl GrantHold {
    /// Starts the use of a grant by a call that arrived at `arrived`.
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
            due: arrived + objective,
            began: false,
            late: false,
            ended: false,
        }
    }

    /// Reports the first event.
    pub fn begin(&mut self) {
        if !self.began {
            self.began = true;
            self.late = Instant::now() > self.due;
            self.tell(ControlEvent::Began(self.grant));
        }
    }

    /// Reports the end.
    pub fn end(mut self, outcome: CallOutcome) {
        self.report(outcome);
    }

    fn report(&mut self, outcome: CallOutcome) {
        self.ended = true;
        self.metrics.count_send(outcome);
        let late = if self.began { self.late } else { Instant::now() > self.due };
        self.tell(ControlEvent::Ended { grant: self.grant, outcome, late });
    }

    fn tell(&self, event: ControlEvent) {
        tell(&self.control, &self.metrics, event);
    }
}

impl Drop for GrantHold {
    fn drop(&mut self) {
        if !self.ended {
            self.report(CallOutcome::Abandoned);
        }
    }
}
