//! HTTP client for the agent's upstream.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::Deserialize;

use super::confirmed_stream::ConfirmingConnector;
use super::events::UpstreamHealth;
use crate::answer_checks::is_final;
use crate::decision::admission::HealthReport;
use crate::headers::apply_headers;
use crate::ids::{AttemptId, RequestId, format_request_id};
use crate::lifecycle::request::RequestTicket;
use crate::protocol::{RequestContent, RunState};

/// Timeout for setting up a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a health check.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum size of a health report in bytes.
const MAX_HEALTH_BYTES: usize = 64 << 10;

/// Health report in the format of the upstream.
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawHealth {
    boot_id: String,
    slots: Option<u32>,
    cold: Option<bool>,
}

impl From<RawHealth> for HealthReport {
    fn from(raw: RawHealth) -> Self {
        Self { boot: raw.boot_id.into(), slots: raw.slots, cold: raw.cold }
    }
}

/// Failure of a call to the upstream before the head of its answer arrived.
#[derive(Debug, Display, Error)]
pub enum UpstreamError {
    /// The request is not valid HTTP.
    #[display("the request is not valid HTTP: {_0}")]
    Invalid(http::Error),
    /// The call failed.
    #[display("the upstream failed: {_0}")]
    Failed(hyper_util::client::legacy::Error),
    /// The status of the answer ends no call.
    #[display("no call ends with the status {_0:?}")]
    #[error(ignore)]
    NoFinalStatus(StatusCode),
}

impl UpstreamError {
    /// Returns whether the upstream may have run the request.
    pub fn run_state(&self) -> RunState {
        match self {
            Self::Failed(error) if error.is_connect() => RunState::No,
            Self::Failed(_) | Self::NoFinalStatus(_) => RunState::Unknown,
            Self::Invalid(_) => RunState::No,
        }
    }
}

/// Returns the name of an attempt in the header `x-request-id`. It starts with the request's id and
/// differs between attempts, so that a cancellation cannot hit a later attempt at the same upstream.
pub fn attempt_name(request: RequestId, attempt: AttemptId) -> String {
    format!("{}-{}", format_request_id(request), format_request_id(attempt))
}

/// Client for one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamClient {
    base: String,
    client: Client<ConfirmingConnector, Full<Bytes>>,
    /// Client that opens a new connection for each request, used for non-repeatable requests and
    /// for resuming streams. If the upstream closes an idle connection while a request is written
    /// to it, it is unknown whether the request was run, and the caller would not get an outcome.
    single_use: Client<ConfirmingConnector, Full<Bytes>>,
}

impl UpstreamClient {
    /// Creates a client for the upstream at `base`.
    pub fn new(base: &Uri) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let connector = ConfirmingConnector::from(connector);
        // The library must not resend requests; retries are decided by the retry policy.
        let mut builder = Client::builder(TokioExecutor::new());
        builder.retry_canceled_requests(false);
        let client = builder.build(connector.clone());
        let single_use = builder.pool_max_idle_per_host(0).build(connector);
        Self { base: base.to_string().trim_end_matches('/').to_owned(), client, single_use }
    }

    /// Checks the upstream's health.
    pub async fn health(&self) -> UpstreamHealth {
        tokio::time::timeout(HEALTH_TIMEOUT, self.read_health())
            .await
            .unwrap_or(UpstreamHealth::Unknown)
    }

    async fn read_health(&self) -> UpstreamHealth {
        let request = Request::get(format!("{}/health", self.base)).body(Full::default());
        let Ok(request) = request else { return UpstreamHealth::Unknown };
        let response = match self.client.request(request).await {
            Ok(response) => response,
            Err(error) if error.is_connect() => return UpstreamHealth::ConnectionRefused,
            Err(_) => return UpstreamHealth::Unknown,
        };
        if !response.status().is_success() {
            return UpstreamHealth::Responding;
        }
        let Ok(body) = Limited::new(response.into_body(), MAX_HEALTH_BYTES).collect().await else {
            return UpstreamHealth::Unknown;
        };
        serde_json::from_slice::<RawHealth>(&body.to_bytes())
            .map_or(UpstreamHealth::Responding, |raw| UpstreamHealth::Reported(raw.into()))
    }

    /// Sends a caller's request under the attempt's name and returns the response once its head has
    /// arrived.
    pub async fn send(
        &self,
        name: &str,
        ticket: &RequestTicket,
        content: RequestContent,
    ) -> Result<Response<Incoming>, UpstreamError> {
        let method = Method::from_bytes(content.method.as_bytes())
            .map_err(|error| UpstreamError::Invalid(error.into()))?;
        let mut message = Request::builder()
            .method(method)
            .uri(format!("{}{}", self.base, content.path))
            .body(Full::new(content.body))
            .map_err(UpstreamError::Invalid)?;
        let headers = message.headers_mut();
        apply_headers(&content.headers, headers);
        if let Ok(value) = HeaderValue::from_str(name) {
            headers.insert("x-request-id", value);
        }
        if let Ok(value) = HeaderValue::from_str(&ticket.team) {
            headers.insert("godwitcrank-team", value);
        }
        let client = if ticket.repeatable { &self.client } else { &self.single_use };
        check_status(client.request(message).await.map_err(UpstreamError::Failed)?)
    }

    /// Resumes a stream on a new connection, after the token with the given index.
    pub async fn resume_stream(
        &self,
        name: &str,
        after: Option<u64>,
    ) -> Result<Response<Incoming>, UpstreamError> {
        let after = after.map_or_else(String::new, |index| format!("?after={index}"));
        let path = format!("/v1/streams/{name}{after}");
        self.call(Method::GET, &path).await
    }

    /// Cancels a stream.
    pub async fn cancel_stream(&self, name: &str) -> Result<(), UpstreamError> {
        let path = format!("/v1/streams/{name}");
        self.call(Method::DELETE, &path).await.map(|_| ())
    }

    async fn call(&self, method: Method, path: &str) -> Result<Response<Incoming>, UpstreamError> {
        let message = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base))
            .body(Full::default())
            .map_err(UpstreamError::Invalid)?;
        check_status(self.single_use.request(message).await.map_err(UpstreamError::Failed)?)
    }
}

fn check_status(response: Response<Incoming>) -> Result<Response<Incoming>, UpstreamError> {
    let status = response.status();
    if is_final(status) { Ok(response) } else { Err(UpstreamError::NoFinalStatus(status)) }
}
