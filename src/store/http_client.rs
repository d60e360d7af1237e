//! HTTP client for the platform's services, which exchange JSON.

use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// Maximum size of a reply body in bytes, unless the client has a limit of its own.
const REPLY_BYTES_LIMIT: usize = 64 << 20;

/// Size of the read buffer of one connection in bytes, and so of the head of a reply.
const HEAD_BYTES_LIMIT: usize = 64 << 10;

/// TCP keep-alive: idle time before the first probe, and interval between probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// TCP keep-alive: unanswered probes after which a connection is closed.
const KEEP_ALIVE_RETRIES: u32 = 1;

/// Failure of a call to the platform.
#[derive(Debug, Display, Error)]
pub enum PlatformError {
    /// No connection was established; the call had no effect.
    #[display("cannot connect to {url}")]
    Unreachable {
        /// Called URL.
        url: String,
    },
    /// No complete reply arrived; a write may have taken effect.
    #[display("no reply from {url}: {cause}")]
    ReplyLost {
        /// Called URL.
        url: String,
        /// Description of the failure.
        cause: String,
    },
    /// The platform answered with an unexpected status; a 4xx status means that the call had no
    /// effect.
    #[display("{url} answered {status}")]
    Refused {
        /// Called URL.
        url: String,
        /// HTTP status.
        status: StatusCode,
    },
    /// The request or the reply could not be encoded or decoded.
    #[display("malformed reply from {url}: {cause}")]
    Malformed {
        /// Called URL.
        url: String,
        /// Description of the problem.
        cause: String,
    },
}

/// Status, headers and body of a reply.
#[derive(Debug)]
pub struct PlatformReply {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    url: String,
}

impl PlatformReply {
    /// Decodes the JSON body of a successful reply.
    pub fn decode<T: serde::de::DeserializeOwned>(self) -> Result<T, PlatformError> {
        serde_json::from_slice(&self.body)
            .map_err(|error| PlatformError::Malformed { url: self.url, cause: error.to_string() })
    }

    /// Converts a reply with an unexpected status into an error.
    pub fn into_error(self) -> PlatformError {
        PlatformError::Refused { url: self.url, status: self.status }
    }
}

/// Sends requests to one service of the platform.
#[derive(Clone, Debug)]
pub struct PlatformClient {
    base: String,
    timeout: Duration,
    reply_limit: usize,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl PlatformClient {
    /// Creates a client for the service at `base`, with a timeout for connecting and for each call.
    pub fn new(base: &Uri, timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(timeout));
        Self {
            base: base.to_string().trim_end_matches('/').to_owned(),
            timeout,
            reply_limit: REPLY_BYTES_LIMIT,
            client: build_client(connector),
        }
    }

    /// Sets the maximum size of a reply body in bytes.
    pub fn with_reply_limit(self, reply_limit: usize) -> Self {
        Self { reply_limit, ..self }
    }

    /// Enables TCP keep-alive and the TCP user timeout, which detect a silent connection while a
    /// reply is awaited.
    pub fn with_keep_alive(mut self) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(self.timeout));
        connector.set_keepalive(Some(KEEP_ALIVE_INTERVAL));
        connector.set_keepalive_interval(Some(KEEP_ALIVE_INTERVAL));
        connector.set_keepalive_retries(Some(KEEP_ALIVE_RETRIES));
        connector.set_tcp_user_timeout(Some(self.timeout));
        self.client = build_client(connector);
        self
    }

    /// Sends a request and reads the complete reply.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
    ) -> Result<PlatformReply, PlatformError> {
        self.send_with_timeout(method, path, body, self.timeout).await
    }

    /// Sends a request with its own timeout and reads the complete reply.
    pub async fn send_with_timeout(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<PlatformReply, PlatformError> {
        self.exchange(self.request(method, path, body, [])?, timeout).await
    }

    /// Sends a request with further headers and reads the complete reply.
    pub async fn send_with_headers(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        headers: impl IntoIterator<Item = (HeaderName, HeaderValue)>,
    ) -> Result<PlatformReply, PlatformError> {
        self.exchange(self.request(method, path, body, headers)?, self.timeout).await
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        headers: impl IntoIterator<Item = (HeaderName, HeaderValue)>,
    ) -> Result<Request<Full<Bytes>>, PlatformError> {
        let url = format!("{}{path}", self.base);
        let mut request = Request::builder()
            .method(method)
            .uri(&url)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| PlatformError::Malformed { url, cause: error.to_string() })?;
        request.headers_mut().extend(headers);
        Ok(request)
    }

    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        timeout: Duration,
    ) -> Result<PlatformReply, PlatformError> {
        let url = request.uri().to_string();
        let lost = |cause: String| PlatformError::ReplyLost { url: url.clone(), cause };
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    PlatformError::Unreachable { url: url.clone() }
                } else {
                    lost(error.to_string())
                }
            })?;
            let (head, body) = response.into_parts();
            let body = Limited::new(body, self.reply_limit).collect().await;
            let body = body.map_err(|error| lost(error.to_string()))?.to_bytes();
            let (status, headers) = (head.status, head.headers);
            Ok(PlatformReply { status, headers, body, url: url.clone() })
        };
        tokio::time::timeout(timeout, exchange)
            .await
            .map_err(|_| lost(format!("nothing within {timeout:?}")))?
    }
}

fn build_client(connector: HttpConnector) -> Client<HttpConnector, Full<Bytes>> {
    Client::builder(TokioExecutor::new()).http1_max_buf_size(HEAD_BYTES_LIMIT).build(connector)
}
