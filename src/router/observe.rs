//! Measures callers' requests for metrics and the burn report.
//!
//! An observer exists from the admission of a request to the end of its answer. It sends its
//! measurements on drop, so that requests whose caller disconnects are included.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use futures::{StreamExt, TryStreamExt};
use http::{StatusCode, header};
use http_body_util::BodyDataStream;
use viz::{Body, Response};

use super::RouterContext;
use super::events::RouterEvent;
use super::refusal::{CallerRefusal, RefusalReason};
use crate::agent::is_token;
use crate::ids::{RouteId, ServiceId, TeamId};
use crate::lifecycle::request::RequestTicket;
use crate::metrics::{MetricLabel, catalogue};
use crate::report::{AnswerOutcome, ServiceObservation, TokenGaps};

/// Measurements of one request in progress.
pub struct RequestObserver {
    context: Arc<RouterContext>,
    team: TeamId,
    service: ServiceId,
    route: RouteId,
    arrived: Instant,
    first_token: Option<Instant>,
    last_token: Instant,
    gaps: TokenGaps,
    outcome: AnswerOutcome,
}

impl RequestObserver {
    /// Creates the observer of an admitted request that arrived at `arrived`.
    pub fn new(context: &Arc<RouterContext>, ticket: &RequestTicket, arrived: Instant) -> Self {
        Self {
            context: Arc::clone(context),
            team: ticket.team.clone(),
            service: ticket.service.clone(),
            route: ticket.route.clone(),
            arrived,
            first_token: None,
            last_token: arrived,
            gaps: TokenGaps::default(),
            outcome: AnswerOutcome::CallerLeft,
        }
    }

    /// Records a refusal and returns its response.
    pub fn finish_refused(mut self, refusal: CallerRefusal) -> Response {
        count_refusal(&self.context, refusal.reason);
        let response = refusal.into_response();
        let own_fault = response.status().is_client_error();
        self.outcome = if own_fault { AnswerOutcome::Rejected } else { AnswerOutcome::Refused };
        response
    }

    /// Wraps the body of an answer so that it is measured to its end.
    pub fn observe_response(self, response: Response) -> Response {
        let (parts, body) = response.into_parts();
        let event_stream = parts
            .headers
            .get(header::CONTENT_TYPE)
            .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
        let status = parts.status;
        let state = (BodyDataStream::new(body), Some(self));
        let stream = futures::stream::unfold(state, move |(mut body, observer)| async move {
            let mut observer = observer?;
            match body.try_next().await {
                Ok(Some(bytes)) => {
                    observer.observe_chunk(&bytes, event_stream, Instant::now());
                    Some((Ok(bytes), (body, Some(observer))))
                }
                Ok(None) => {
                    observer.finish_answered(status);
                    None
                }
                Err(error) => {
                    observer.outcome = AnswerOutcome::CutOff;
                    Some((Err(error), (body, None)))
                }
            }
        });
        Response::from_parts(parts, Body::from_stream(stream.boxed()))
    }

    fn observe_chunk(&mut self, chunk: &Bytes, event_stream: bool, now: Instant) {
        if event_stream {
            let tokens = count_tokens(chunk);
            if self.first_token.is_some() {
                self.gaps.record(now.saturating_duration_since(self.last_token), tokens);
            }
            if tokens > 0 {
                self.last_token = now;
            }
        }
        self.first_token.get_or_insert(now);
    }

    fn finish_answered(&mut self, status: StatusCode) {
        // An answer without a body is complete with its headers.
        self.first_token.get_or_insert_with(Instant::now);
        self.outcome = if status.is_server_error() {
            AnswerOutcome::UpstreamError
        } else {
            AnswerOutcome::Answered
        };
    }

    fn send_metrics(&self, observation: &ServiceObservation) {
        let metrics = &self.context.metrics;
        let outcome = observation.outcome.to_string();
        let labels = [
            (MetricLabel::Team, &*self.team),
            (MetricLabel::Service, &*self.service),
            (MetricLabel::Outcome, outcome.as_str()),
        ];
        metrics.count(&catalogue::ROUTER_REQUESTS, 1, &labels);
        let service = [(MetricLabel::Service, &*self.service)];
        if let Some(time) = observation.first_token {
            metrics.time(&catalogue::ROUTER_FIRST_TOKEN_TIME, time, &service);
        }
        if observation.outcome.counts_as_answered().is_some() {
            metrics.time(&catalogue::ROUTER_ANSWER_TIME, observation.total, &service);
        }
    }
}

impl Drop for RequestObserver {
    fn drop(&mut self) {
        let observation = ServiceObservation {
            team: self.team.clone(),
            service: self.service.clone(),
            route: self.route.clone(),
            outcome: self.outcome,
            first_token: self.first_token.map(|time| time.duration_since(self.arrived)),
            total: self.arrived.elapsed(),
            gaps: std::mem::take(&mut self.gaps),
        };
        self.send_metrics(&observation);
        let control = self.context.control.clone();
        // With a full channel the report is sent from a task of its own, so that the caller does
        // not wait.
        if let Err(error) = control.try_send(RouterEvent::RequestObserved(observation)) {
            let event = error.into_inner();
            tokio::spawn(async move {
                let _ = control.send(event).await;
            });
        }
    }
}

/// Counts a refusal in the metrics. Called directly for requests that were not admitted, which
/// have no observer.
pub fn count_refusal(context: &RouterContext, reason: RefusalReason) {
    let reason = reason.to_string();
    context.metrics.count(&catalogue::ROUTER_REFUSALS, 1, &[(MetricLabel::Reason, &reason)]);
}

/// Counts the tokens in a chunk of an event stream by the same rule as the agents' accounting. An
/// event that spans two chunks is counted in the one where its line starts.
fn count_tokens(chunk: &[u8]) -> u64 {
    chunk.split(|byte| *byte == b'\n').filter(|line| is_token(line)).count() as u64
}
