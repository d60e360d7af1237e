//! Fetches a router's report from its administration listener.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, StatusCode, Uri, header};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use super::document::BurnReport;

/// Timeout of the request to one router.
const FETCH_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a report in bytes.
const REPORT_BYTES_LIMIT: usize = 64 << 20;

/// Failure to fetch a router's report.
#[derive(Debug, Display, Error)]
pub enum FetchError {
    /// The router cannot be reached, or its answer was not complete.
    #[display("{router}: {cause}")]
    Unreachable {
        /// URL of the router.
        router: String,
        /// Description of the failure.
        cause: String,
    },
    /// The router refused, for example because of the operator's key.
    #[display("{router} answered {status}")]
    Refused {
        /// URL of the router.
        router: String,
        /// HTTP status.
        status: StatusCode,
    },
    /// The answer is not a report.
    #[display("{router}: malformed report: {cause}")]
    Malformed {
        /// URL of the router.
        router: String,
        /// Decoding error.
        cause: serde_json::Error,
    },
}

/// Fetches the report of the router whose administration listener is at `base`, with at most
/// `max_entries` entries.
pub async fn fetch_report(
    base: &Uri,
    operator_key: Option<&str>,
    max_entries: usize,
) -> Result<BurnReport, FetchError> {
    let router = base.to_string().trim_end_matches('/').to_owned();
    let unreachable = |cause: String| FetchError::Unreachable { router: router.clone(), cause };
    let mut request = Request::get(format!("{router}/admin/burn?most={max_entries}"));
    if let Some(key) = operator_key {
        request = request.header(header::AUTHORIZATION, format!("Bearer {key}"));
    }
    let request = request.body(Empty::<Bytes>::new());
    let request = request.map_err(|error| unreachable(error.to_string()))?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let exchange = async {
        let response = client.request(request).await;
        let response = response.map_err(|error| unreachable(error.to_string()))?;
        let status = response.status();
        if !status.is_success() {
            return Err(FetchError::Refused { router: router.clone(), status });
        }
        let body = Limited::new(response.into_body(), REPORT_BYTES_LIMIT).collect().await;
        body.map(|body| body.to_bytes()).map_err(|error| unreachable(error.to_string()))
    };
    let outcome = tokio::time::timeout(FETCH_TIMEOUT, exchange).await;
    let body =
        outcome.map_err(|_| unreachable(format!("no answer within {FETCH_TIMEOUT:?}")))??;
    serde_json::from_slice(&body)
        .map_err(|cause| FetchError::Malformed { router: router.clone(), cause })
}
