//! One log line for the end of each call, with what decided it.

use std::sync::Arc;
use std::time::{Duration, Instant};

use http::StatusCode;

use super::adapter::GatewayRefusal;
use super::call_run::CallSubject;
use super::observe::GatewayMetrics;
use super::relay::RelayError;
use crate::decision::direct::CallGrant;
use crate::ids::{CallId, RouteId, TeamId, UpstreamId};

/// Collects what happened to a call and writes it when the call ends.
pub struct CallLog {
    id: CallId,
    attempt: String,
    route: RouteId,
    team: Option<TeamId>,
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
    /// Starts the record of a call.
    pub fn new(subject: &CallSubject, metrics: Arc<GatewayMetrics>) -> Self {
        Self {
            id: subject.id,
            attempt: subject.metadata.attempt.clone(),
            route: Arc::clone(&subject.route.name),
            team: subject.team.clone(),
            arrived: subject.arrived,
            metrics,
            upstream: None,
            sends: 0,
            placement: Duration::ZERO,
            expected_wait: Duration::ZERO,
            first_event: None,
            outcome: None,
        }
    }

    /// Notes the time until the control thread decided.
    pub fn placed(&mut self, waited: Duration) {
        self.placement += waited;
        GatewayMetrics::observe(&self.metrics.placement, waited);
    }

    /// Notes a send.
    pub fn sent(&mut self, grant: &CallGrant) {
        self.sends += 1;
        self.upstream = Some(Arc::clone(&grant.upstream));
        self.expected_wait = grant.expected_wait;
    }

    /// Notes the first event.
    pub fn began(&mut self, objective: Duration) {
        let waited = self.arrived.elapsed();
        GatewayMetrics::observe(&self.metrics.first_event, waited);
        self.first_event = Some(waited);
        if waited > objective {
            self.outcome = Some("late, caller left".to_owned());
        }
    }

    /// Notes a whole answer of an upstream.
    pub fn answered(&mut self, status: StatusCode, objective: Duration) {
        let waited = self.arrived.elapsed();
        self.first_event = Some(waited);
        GatewayMetrics::observe(&self.metrics.first_event, waited);
        let late = if waited > objective { "late " } else { "" };
        self.outcome = Some(format!("{late}{}", status.as_u16()));
    }

    /// Notes a refusal.
    pub fn refused(&mut self, refusal: &GatewayRefusal) {
        self.outcome = Some(match refusal {
            GatewayRefusal::NotRun { cause, .. } => format!("refused {cause}"),
            other => format!("refused {}", other.status().as_u16()),
        });
    }

    /// Notes the end of a stream.
    pub fn completed(&mut self) {
        self.outcome = Some("completed".to_owned());
    }

    /// Notes that a stream was broken off.
    pub fn broken(&mut self, error: RelayError) {
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
            upstream = self.upstream.as_deref().unwrap_or("-"), sends = self.sends,
            placement_ms = self.placement.as_millis() as u64,
            expected_ms = self.expected_wait.as_millis() as u64,
            first_ms = self.first_event.map_or(-1, |time| time.as_millis() as i64),
            total_ms = self.arrived.elapsed().as_millis() as u64; "call ended: {outcome}"
        );
    }
}
