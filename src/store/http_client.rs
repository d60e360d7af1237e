//! JSON over HTTP to the platform.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Largest reply that is read into memory, in bytes.
const REPLY_LIMIT: usize = 64 << 20;

/// Silence after which a connection is probed, and the pause between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection is given up.
const PROBE_LIMIT: u32 = 1;

/// Failure of a call to the platform.
#[derive(Debug, Display, Error)]
pub enum PlatformError {
    /// No connection could be made; the call had no effect.
    #[display("cannot connect to {url}")]
    Unreachable {
        /// Called URL.
        url: String,
    },
    /// No whole reply arrived; a write may have taken effect.
    #[display("no reply from {url}: {cause}")]
    ReplyLost {
        /// Called URL.
        url: String,
        /// What happened.
        cause: String,
    },
    /// The platform refused the call; it had no effect.
    #[display("{url} answered {status}")]
    Refused {
        /// Called URL.
        url: String,
        /// HTTP status.
        status: StatusCode,
    },
    /// The reply is not what the platform documents.
    #[display("malformed reply from {url}: {cause}")]
    Malformed {
        /// Called URL.
        url: String,
        /// What is wrong.
        cause: String,
    },
}

/// Status and body of a reply.
#[derive(Debug)]
pub struct PlatformReply {
    /// HTTP status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
    url: String,
}

impl PlatformReply {
    /// Decodes a successful reply.
    pub fn decode<T: serde::de::DeserializeOwned>(self) -> Result<T, PlatformError> {
        serde_json::from_slice(&self.body)
            .map_err(|error| PlatformError::Malformed { url: self.url, cause: error.to_string() })
    }

    /// Turns an unexpected status into an error.
    pub fn refuse(self) -> PlatformError {
        PlatformError::Refused { url: self.url, status: self.status }
    }
}

/// Sends requests to one service of the platform.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    base: String,
    timeout: Duration,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl PlatformClient {
    /// Creates a client for the service at `base`; calls are given up after `timeout`.
    pub fn new(base: &Uri, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { base: base.to_string().trim_end_matches('/').to_owned(), timeout, client }
    }

    /// Notices connections that went silent while a reply is awaited, by keep-alive probes.
    pub fn probed(mut self) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(self.timeout));
        connector.set_keepalive(Some(PROBE_INTERVAL));
        connector.set_keepalive_interval(Some(PROBE_INTERVAL));
        connector.set_keepalive_retries(Some(PROBE_LIMIT));
        connector.set_tcp_user_timeout(Some(self.timeout));
        self.client = Client::builder(TokioExecutor::new()).build(connector);
        self
    }

    /// Sends one request and reads the whole reply.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<PlatformReply, PlatformError> {
        self.send_within(method, path, body, self.timeout).await
    }

    /// Sends one request whose reply may take longer than others.
    pub async fn send_within(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<PlatformReply, PlatformError> {
        let url = format!("{}{path}", self.base);
        let request = Request::builder()
            .method(method)
            .uri(&url)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| PlatformError::Malformed {
                url: url.clone(),
                cause: error.to_string(),
            })?;
        let lost = |cause: String| PlatformError::ReplyLost { url: url.clone(), cause };
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    PlatformError::Unreachable { url: url.clone() }
                } else {
                    lost(error.to_string())
                }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), REPLY_LIMIT).collect().await;
            let body = body.map_err(|error| lost(error.to_string()))?.to_bytes();
            Ok(PlatformReply { status, body, url: url.clone() })
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| lost(format!("nothing within {timeout:?}")))?
    }
}
