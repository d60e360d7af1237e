//! Observes callers' requests for metrics and the burn report.
//!
//! An observer lives from a request's admission to the end of its answer. It sends what it saw when
//! it is dropped, so that a caller that leaves is observed as well.

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

/// Observer of one request.
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
    /// Starts to observe an admitted request that arrived at `arrived`.
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

    /// Observes a refusal.
    pub fn refuse(mut self, refusal: CallerRefusal) -> Response {
        count_refusal(&self.context, refusal.reason);
        let response = refusal.into_response();
        let own_fault = response.status().is_client_error();
        self.outcome = if own_fault { AnswerOutcome::Rejected } else { AnswerOutcome::Refused };
        response
    }

    /// Passes an answer on and observes it to its end.
    pub fn pass_on(self, response: Response) -> Response {
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
                    observer.observe_piece(&bytes, event_stream, Instant::now());
                    Some((Ok(bytes), (body, Some(observer))))
                }
                Ok(None) => {
                    observer.end(status);
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

    fn observe_piece(&mut self, piece: &Bytes, event_stream: bool, now: Instant) {
        if event_stream {
            let tokens = count_tokens(piece);
            if self.first_token.is_some() {
                self.gaps.record(now.saturating_duration_since(self.last_token), tokens);
            }
            if tokens > 0 {
                self.last_token = now;
            }
        }
        self.first_token.get_or_insert(now);
    }

    fn end(&mut self, status: StatusCode) {
        // An answer without a body is complete with its head.
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
        // A full channel makes reports wait; they never hold a caller up.
        if let Err(error) = control.try_send(RouterEvent::Observed(observation)) {
            let event = error.into_inner();
            tokio::spawn(async move {
                let _ = control.send(event).await;
            });
        }
    }
}

/// Counts a refusal; requests that were not admitted have no observer.
pub fn count_refusal(context: &RouterContext, reason: RefusalReason) {
    let reason = reason.to_string();
    context.metrics.count(&catalogue::ROUTER_REFUSALS, 1, &[(MetricLabel::Reason, &reason)]);
}

/// Counts the tokens in a piece of an event stream, by the rule by which agents charge them. An
/// event that is split over two pieces counts where its line starts.
fn count_tokens(piece: &[u8]) -> u64 {
    piece.split(|byte| *byte == b'\n').filter(|line| is_token(line)).count() as u64
}
