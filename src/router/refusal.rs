//! Responses to refused requests.

use std::time::Duration;

use http::{HeaderName, HeaderValue, Response, StatusCode, header};
use serde::Serialize;
use viz::Body;

use crate::decision::claim_limiter::STORE_DOWN_RETRY_AFTER;
use crate::decision::dispatch::DispatchRefusal;
use crate::decision::quarantine::QUARANTINE_PERIOD;
use crate::protocol::RunState;

/// Header that states whether a refused request was run.
pub const WAS_RUN_HEADER: HeaderName = HeaderName::from_static("godwitcrank-was-run");

/// Reason for a refusal, as stated in the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum RefusalReason {
    /// The API key belongs to no team.
    #[display("unknown-key")]
    UnknownKey,
    /// No service has the name in the path.
    #[display("unknown-service")]
    UnknownService,
    /// The request is malformed.
    #[display("malformed")]
    Malformed,
    /// The body is larger than the limit.
    #[display("too-large")]
    TooLarge,
    /// The team's queue is full.
    #[display("team-queue-full")]
    TeamQueueFull,
    /// The router's body budget or event channel is full.
    #[display("overloaded")]
    Overloaded,
    /// No upstream of the service takes work.
    #[display("no-upstream")]
    NoUpstream,
    /// No upstream had a free slot in time.
    #[display("queue-timeout")]
    QueueTimeout,
    /// The router has no configuration yet, or its control thread restarted and lost the request.
    #[display("not-ready")]
    NotReady,
    /// The router is probably cut off from the fleet.
    #[display("cut-off")]
    CutOff,
    /// The upstream failed before the answer was complete.
    #[display("upstream-failed")]
    UpstreamFailed,
    /// A request with the same key may be running.
    #[display("in-progress")]
    InProgress,
    /// The request may have run, and its answer is lost.
    #[display("outcome-unknown")]
    OutcomeUnknown,
    /// The request has run, and its answer was too large to store.
    #[display("answer-not-kept")]
    AnswerNotKept,
    /// The idempotency key was used with another method, path or body.
    #[display("key-reused")]
    KeyReused,
    /// The idempotency key has had too many cancelled attempts.
    #[display("attempts-exhausted")]
    AttemptsExhausted,
    /// The table service does not answer, so the request cannot be claimed.
    #[display("store-down")]
    StoreDown,
    /// The claim rate exceeds the agent's limit or that of the table service.
    #[display("claim-rate")]
    ClaimRate,
    /// The request was in flight when two upstreams crashed.
    #[display("quarantined")]
    Quarantined,
}

impl RefusalReason {
    fn status(self) -> StatusCode {
        match self {
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::UnknownService => StatusCode::NOT_FOUND,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TeamQueueFull => StatusCode::TOO_MANY_REQUESTS,
            Self::InProgress | Self::AnswerNotKept | Self::KeyReused | Self::AttemptsExhausted => {
                StatusCode::CONFLICT
            }
            Self::Overloaded
            | Self::NoUpstream
            | Self::QueueTimeout
            | Self::NotReady
            | Self::CutOff
            | Self::StoreDown
            | Self::ClaimRate
            | Self::Quarantined => StatusCode::SERVICE_UNAVAILABLE,
            Self::UpstreamFailed | Self::OutcomeUnknown => StatusCode::BAD_GATEWAY,
        }
    }

    fn retry_after(self) -> Option<Duration> {
        match self {
            Self::UnknownKey
            | Self::UnknownService
            | Self::Malformed
            | Self::TooLarge
            | Self::OutcomeUnknown
            | Self::AnswerNotKept
            | Self::KeyReused
            | Self::AttemptsExhausted => None,
            Self::TeamQueueFull
            | Self::Overloaded
            | Self::QueueTimeout
            | Self::UpstreamFailed
            | Self::InProgress
            | Self::ClaimRate => Some(Duration::from_secs(1)),
            Self::StoreDown => Some(STORE_DOWN_RETRY_AFTER),
            Self::Quarantined => Some(QUARANTINE_PERIOD),
            Self::NoUpstream | Self::NotReady | Self::CutOff => Some(Duration::from_secs(5)),
        }
    }
}

impl From<DispatchRefusal> for RefusalReason {
    fn from(refusal: DispatchRefusal) -> Self {
        match refusal {
            DispatchRefusal::TeamQueueFull => Self::TeamQueueFull,
            DispatchRefusal::NoUpstream => Self::NoUpstream,
            DispatchRefusal::QueueTimeout => Self::QueueTimeout,
            DispatchRefusal::Quarantined => Self::Quarantined,
            DispatchRefusal::CutOff => Self::CutOff,
        }
    }
}

/// A refusal, with whether the request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerRefusal {
    /// Reason.
    pub reason: RefusalReason,
    /// Whether the request was run.
    pub run_state: RunState,
}

#[derive(Serialize)]
struct RefusalBody {
    reason: RefusalReason,
    was_run: RunState,
    retry_after: Option<u64>,
}

impl CallerRefusal {
    /// Refuses a request that was not run.
    pub fn not_run(reason: RefusalReason) -> Self {
        Self { reason, run_state: RunState::No }
    }

    /// Refuses a request that may have run.
    pub fn unknown(reason: RefusalReason) -> Self {
        Self { reason, run_state: RunState::Unknown }
    }

    /// Refuses a request that has run.
    pub fn has_run(reason: RefusalReason) -> Self {
        Self { reason, run_state: RunState::Yes }
    }

    /// Builds the response for the caller.
    pub fn into_response(self) -> Response<Body> {
        let retry_after = self.reason.retry_after().map(|delay| delay.as_secs());
        let body = RefusalBody { reason: self.reason, was_run: self.run_state, retry_after };
        // Encoding cannot fail: the body has only strings, integers and enums.
        let text = serde_json::to_string(&body).unwrap_or_default();
        let mut response = Response::new(Body::from(http_body_util::Full::from(text)));
        *response.status_mut() = self.reason.status();
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
        let was_run = match self.run_state {
            RunState::No => "no",
            RunState::Unknown => "unknown",
            RunState::Yes => "yes",
        };
        headers.insert(WAS_RUN_HEADER, HeaderValue::from_static(was_run));
        if let Some(seconds) = retry_after {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
