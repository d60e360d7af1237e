//! Writes one log line at the end of each call, with the values that decided its outcome.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;

use super::adapter::GatewayRefusal;
use super::call_run::AdmittedCall;
use super::observe::GatewayMetrics;
use super::relay::RelayError;
use crate::decision::direct::CallGrant;
use crate::ids::{CallId, RouteId, TeamId, UpstreamId};

/// Collects the progress of a call and logs it when dropped.
pub struct CallLog {
    id: CallId,
    attempt: String,
    route: RouteId,
    team: Option<TeamId>,
    tokens_in: u32,
    tokens_out: u32,
    arrived: Instant,
    metrics: Arc<GatewayMetrics>,
    upstream: Option<UpstreamId>,
    sends: u32,
    placement: Duration,
    expected_wait: Duration,
    first_event: Option<Duration>,
    outcome: Option<String>,
}

impl CallLog {
    /// Creates the log of a call.
    pub fn new(admitted: &AdmittedCall, metrics: Arc<GatewayMetrics>) -> Self {
        let prompt = admitted.metadata.prompt.as_ref();
        Self {
            id: admitted.id,
            attempt: admitted.metadata.attempt.clone(),
            route: Arc::clone(&admitted.route.name),
            team: admitted.team.clone(),
            tokens_in: prompt.map_or(0, |prompt| prompt.tokens_in),
            tokens_out: prompt.map_or(0, |prompt| prompt.tokens_out),
            arrived: admitted.arrived,
            metrics,
            upstream: None,
            sends: 0,
            placement: Duration::ZERO,
            expected_wait: Duration::ZERO,
            first_event: None,
            outcome: None,
        }
    }

    /// Records the time until the control thread decided.
    pub fn record_placement(&mut self, waited: Duration) {
        self.placement += waited;
        GatewayMetrics::observe(&self.metrics.placement, waited);
    }

    /// Records a send to an upstream.
    pub fn record_send(&mut self, grant: &CallGrant) {
        self.sends += 1;
        self.upstream = Some(Arc::clone(&grant.upstream));
        self.expected_wait = grant.expected_wait;
    }

    /// Records the first event of the answer.
    pub fn record_first_event(&mut self, objective: Duration) {
        let waited = self.arrived.elapsed();
        GatewayMetrics::observe(&self.metrics.first_event, waited);
        self.first_event = Some(waited);
        if waited > objective {
            self.outcome = Some("late, caller left".to_owned());
        }
    }

    /// Records a complete answer of an upstream.
    pub fn record_answer(&mut self, status: StatusCode, objective: Duration) {
        let waited = self.arrived.elapsed();
        self.first_event = Some(waited);
        GatewayMetrics::observe(&self.metrics.first_event, waited);
        let late = if waited > objective { "late " } else { "" };
        self.outcome = Some(format!("{late}{}", status.as_u16()));
    }

    /// Records a refusal.
    pub fn record_refusal(&mut self, refusal: &GatewayRefusal) {
        self.outcome = Some(match refusal {
            GatewayRefusal::NotRun { cause, .. } => format!("refused {cause}"),
            other => format!("refused {}", other.status().as_u16()),
        });
    }

    /// Records the end of a stream.
    pub fn record_completion(&mut self) {
        self.outcome = Some("completed".to_owned());
    }

    /// Records that a stream was cut off.
    pub fn record_failure(&mut self, error: RelayError) {
        self.outcome = Some(format!("broken off: {error}"));
    }
}

impl Drop for CallLog {
    fn drop(&mut self) {
        let outcome = self.outcome.as_deref().unwrap_or("caller left");
        self.metrics.count_call(outcome);
        log::info!(
            id = self.id, attempt = self.attempt, route = &*self.route,
            team = self.team.as_deref().unwrap_or("-"),
            tokens_in = self.tokens_in, tokens_out = self.tokens_out,
            upstream = self.upstream.as_deref().unwrap_or("-"), sends = self.sends,
            placement_ms = self.placement.as_millis() as u64,
            expected_ms = self.expected_wait.as_millis() as u64,
            first_ms = self.first_event.map_or(-1, |time| time.as_millis() as i64),
            total_ms = self.arrived.elapsed().as_millis() as u64; "call ended: {outcome}"
        );
    }
}
