//! Sends one attempt to the upstream and reads its answer, over several connections if necessary.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::TryStreamExt;
use http::{Response, header};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;

use super::AgentContext;
use super::answers::AnswerBuffer;
use super::claims::OutcomeCapture;
use super::engine_stream::{EventScanner, ResponseMode};
use super::meter::{ServiceMeter, TokenCounter};
use super::upstream::UpstreamError;
use crate::configuration::ServiceKind;
use crate::headers::forwarded_headers;
use crate::ids::{RequestId, format_request_id};
use crate::lifecycle::request::RequestTicket;
use crate::protocol::{AnswerHead, RequestContent, RunFailure, RunState};

/// Time without a token after which a stream is resumed on a new connection. Resuming the stream of
/// an engine that is only slow does no harm.
const STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

/// Upper limit of that time, which doubles while new connections bring no token either.
const MAX_STREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Consecutive failed resumptions after which the stream is considered lost.
const MAX_RESUME_ATTEMPTS: u32 = 4;

/// Pause between two resumptions.
const RESUME_PAUSE: Duration = Duration::from_millis(100);

/// Token index above that of any answer. A stream resumed after it contains only its end.
const AFTER_LAST_TOKEN: u64 = 1 << 53;

/// Time without data after which a call to a plain service is abandoned. A silent connection would
/// otherwise occupy its slot for ever.
const PLAIN_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// End of a run at the upstream.
pub enum RunEnd {
    /// The answer is complete.
    Answered {
        /// HTTP status.
        status: u16,
        /// Capture of the answer for the claim row.
        capture: OutcomeCapture,
    },
    /// The answer could not be completed.
    Failed {
        /// Kind of failure.
        failure: RunFailure,
        /// Description of the cause.
        reason: String,
        /// Whether the upstream may have run the request.
        run_state: RunState,
    },
}

impl RunEnd {
    /// Returns the end of a run whose connection failed.
    fn connection_lost(reason: impl ToString) -> Self {
        let (failure, run_state) = (RunFailure::Broke, RunState::Unknown);
        Self::Failed { failure, reason: reason.to_string(), run_state }
    }

    /// Returns the end of a run that was cancelled.
    pub fn cancelled(reason: &str) -> Self {
        let (failure, run_state) = (RunFailure::Cancelled, RunState::Unknown);
        Self::Failed { failure, reason: reason.to_owned(), run_state }
    }
}

impl From<UpstreamError> for RunEnd {
    fn from(error: UpstreamError) -> Self {
        let run_state = error.run_state();
        let failure = match run_state {
            RunState::No => RunFailure::Unreachable,
            RunState::Unknown | RunState::Yes => RunFailure::Broke,
        };
        Self::Failed { failure, reason: error.to_string(), run_state }
    }
}

/// One attempt at the upstream.
pub struct UpstreamRun<'a> {
    /// Shared state of the agent.
    pub context: &'a Arc<AgentContext>,
    /// The request.
    pub request: RequestId,
    /// Name of the attempt at the upstream.
    pub name: String,
    /// Buffer for the answer.
    pub buffer: &'a AnswerBuffer,
    /// Meter of the run's service.
    pub meter: &'a ServiceMeter,
}

impl UpstreamRun<'_> {
    /// Runs the request.
    pub async fn run(&self, ticket: &RequestTicket, content: RequestContent) -> RunEnd {
        let mode = if self.is_model() { ResponseMode::of(&content.body) } else { None };
        match mode {
            Some(ResponseMode::Streamed) => self.run_streamed(ticket, content).await,
            Some(ResponseMode::Buffered) => tokio::select! {
                end = self.run_plain(ticket, content) => end,
                reason = self.watch_buffered() => RunEnd::connection_lost(reason),
            },
            None => self.run_plain(ticket, content).await,
        }
    }

    async fn run_plain(&self, ticket: &RequestTicket, content: RequestContent) -> RunEnd {
        let send = self.context.upstream_client.send(&self.name, ticket, content);
        match tokio::time::timeout(PLAIN_IDLE_TIMEOUT, send).await {
            Ok(Ok(response)) => self.read_plain(response).await,
            Ok(Err(error)) => error.into(),
            Err(_) => RunEnd::connection_lost(format!("no answer within {PLAIN_IDLE_TIMEOUT:?}")),
        }
    }

    async fn run_streamed(&self, ticket: &RequestTicket, content: RequestContent) -> RunEnd {
        let send = self.context.upstream_client.send(&self.name, ticket, content);
        match tokio::time::timeout(STREAM_IDLE_TIMEOUT, send).await {
            Ok(Ok(response)) if is_event_stream(&response) => self.read_stream(response).await,
            Ok(Ok(response)) => self.read_plain(response).await,
            Ok(Err(error)) => error.into(),
            Err(_) => match self.resume(None).await {
                Ok(response) => self.read_stream(response).await,
                Err(reason) => RunEnd::connection_lost(reason),
            },
        }
    }

    /// Watches a buffered completion through its resumable stream, on separate connections. Returns
    /// the reason when the engine does not know the completion, or has ended it and the answer
    /// still does not arrive on the original connection.
    async fn watch_buffered(&self) -> String {
        tokio::time::sleep(STREAM_IDLE_TIMEOUT).await;
        loop {
            let response = match self.resume(Some(AFTER_LAST_TOKEN)).await {
                Ok(response) => response,
                Err(reason) => return reason,
            };
            let end = BodyDataStream::new(response.into_body()).try_for_each(async |_| Ok(()));
            match tokio::time::timeout(MAX_STREAM_IDLE_TIMEOUT, end).await {
                Ok(Ok(())) => {
                    tokio::time::sleep(STREAM_IDLE_TIMEOUT / 2).await;
                    return "the engine has ended and its answer does not come".to_owned();
                }
                Ok(Err(_)) | Err(_) => tokio::time::sleep(RESUME_PAUSE).await,
            }
        }
    }

    /// Cancels the stream at a model engine when the answer is no longer needed.
    pub async fn cancel(&self) {
        if !self.is_model() {
            return;
        }
        if let Err(error) = self.context.upstream_client.cancel_stream(&self.name).await {
            let request = format_request_id(self.request);
            log::debug!(request; "cannot cancel the stream: {error}");
        }
    }

    fn is_model(&self) -> bool {
        let configuration = self.context.configuration.borrow();
        let service = configuration.as_ref().and_then(|configuration| {
            configuration.checked.services.get(&self.context.upstream.service)
        });
        service.is_some_and(|service| service.kind == ServiceKind::Model)
    }

    fn write_head(&self, response: &Response<Incoming>) -> (u16, OutcomeCapture) {
        let status = response.status().as_u16();
        let head = AnswerHead { status, headers: forwarded_headers(response.headers()) };
        let mut capture = OutcomeCapture::default();
        capture.record_head(&head);
        self.buffer.write_head(head);
        (status, capture)
    }

    async fn write_data(
        &self,
        bytes: Bytes,
        capture: &mut OutcomeCapture,
        counter: &mut TokenCounter<'_>,
    ) {
        if !bytes.is_empty() {
            capture.append(&bytes);
            counter.count(&bytes);
            self.buffer.write_data(bytes).await;
        }
    }

    async fn read_plain(&self, response: Response<Incoming>) -> RunEnd {
        let mut counter = TokenCounter::new(self.meter, is_event_stream(&response));
        let (status, mut capture) = self.write_head(&response);
        let mut body = BodyDataStream::new(response.into_body());
        loop {
            match tokio::time::timeout(PLAIN_IDLE_TIMEOUT, body.try_next()).await {
                Ok(Ok(Some(bytes))) => self.write_data(bytes, &mut capture, &mut counter).await,
                Ok(Ok(None)) => return RunEnd::Answered { status, capture },
                Ok(Err(error)) => return RunEnd::connection_lost(error),
                Err(_) => {
                    return RunEnd::connection_lost(format!("silent for {PLAIN_IDLE_TIMEOUT:?}"));
                }
            }
        }
    }

    async fn read_stream(&self, response: Response<Incoming>) -> RunEnd {
        let (status, mut capture) = self.write_head(&response);
        let mut counter = TokenCounter::new(self.meter, true);
        let mut scanner = EventScanner::default();
        let mut body = BodyDataStream::new(response.into_body());
        let mut idle_timeout = STREAM_IDLE_TIMEOUT;
        loop {
            let interruption = match tokio::time::timeout(idle_timeout, body.try_next()).await {
                Ok(Ok(Some(bytes))) => {
                    idle_timeout = STREAM_IDLE_TIMEOUT;
                    match scanner.push(&bytes) {
                        Ok(events) => self.write_data(events, &mut capture, &mut counter).await,
                        // The engine would send the same again.
                        Err(error) => return RunEnd::connection_lost(error),
                    }
                    continue;
                }
                Ok(Ok(None)) if scanner.is_finished() => {
                    return RunEnd::Answered { status, capture };
                }
                Ok(Ok(None)) => "the stream ended early".to_owned(),
                Ok(Err(error)) => error.to_string(),
                Err(_) => {
                    let reason = format!("silent for {idle_timeout:?}");
                    idle_timeout = (idle_timeout * 2).min(MAX_STREAM_IDLE_TIMEOUT);
                    reason
                }
            };
            let request = format_request_id(self.request);
            log::info!(request; "resuming the stream: {interruption}");
            scanner.discard_pending();
            match self.resume(scanner.last_index()).await {
                Ok(response) => body = BodyDataStream::new(response.into_body()),
                Err(reason) => return RunEnd::connection_lost(format!("{interruption}; {reason}")),
            }
        }
    }

    /// Resumes the stream on a new connection, after the token with the given index.
    async fn resume(&self, after: Option<u64>) -> Result<Response<Incoming>, String> {
        let mut reason = String::new();
        for _ in 0..MAX_RESUME_ATTEMPTS {
            let resume = self.context.upstream_client.resume_stream(&self.name, after);
            match tokio::time::timeout(STREAM_IDLE_TIMEOUT, resume).await {
                Ok(Ok(response)) if response.status().is_success() => return Ok(response),
                // A restarted engine does not know the stream.
                Ok(Ok(response)) => {
                    return Err(format!("resumption answered {}", response.status()));
                }
                Ok(Err(error)) => reason = error.to_string(),
                Err(_) => reason = "resumption got no answer".to_owned(),
            }
            tokio::time::sleep(RESUME_PAUSE).await;
        }
        Err(reason)
    }
}

fn is_event_stream(response: &Response<Incoming>) -> bool {
    let kind = response.headers().get(header::CONTENT_TYPE).and_then(|value| value.to_str().ok());
    response.status().is_success() && kind.is_some_and(|kind| kind.starts_with("text/event-stream"))
}
