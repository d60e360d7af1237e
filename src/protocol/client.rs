//! HTTP/2 client for calls to other processes of the system.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};

use super::codec::{CodecError, decode_message, encode_message};
use super::messages::PeerCall;
use super::version_exchange::VersionExchange;
use crate::metrics::{MetricDefinition, MetricLabel, MetricsClient, catalogue};

/// Interval of HTTP/2 pings on connections with open calls.
const PING_INTERVAL: Duration = Duration::from_millis(500);

/// Time within which a ping must be answered before the connection is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for setting up a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a reply in bytes.
const REPLY_LIMIT: usize = 16 << 20;

/// Failure of a call to another process.
#[derive(Debug, Display, Error)]
pub enum PeerError {
    /// No connection could be made; the call was not delivered.
    #[display("cannot connect to {address}")]
    Unreachable {
        /// The peer.
        address: SocketAddr,
    },
    /// The connection failed or timed out; the call may have been delivered.
    #[display("lost the call to {address}: {cause}")]
    Lost {
        /// The peer.
        address: SocketAddr,
        /// Description of the failure.
        cause: String,
    },
    /// The peer answered with an error status.
    #[display("{address} answered {status}")]
    Status {
        /// The peer.
        address: SocketAddr,
        /// HTTP status.
        status: StatusCode,
    },
    /// The call or the reply cannot be encoded or decoded.
    #[display("{_0}")]
    Codec(CodecError),
}

/// Client for calls to other processes of the system.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
    versions: VersionExchange,
    metrics: MetricsClient,
}

impl PeerClient {
    /// Creates a client whose calls time out after `timeout`.
    pub fn new(timeout: Duration, versions: VersionExchange) -> Self {
        Self { client: build_client(), timeout, versions, metrics: MetricsClient::default() }
    }

    /// Counts calls and their bytes in the given metrics.
    pub fn with_metrics(self, metrics: MetricsClient) -> Self {
        Self { metrics, ..self }
    }

    /// Creates a client that shares no connections with this one, for use after a connection went
    /// silent.
    pub fn with_new_connections(&self) -> Self {
        Self { client: build_client(), ..self.clone() }
    }

    /// Sends a message and decodes the reply.
    pub async fn call<M: PeerCall>(
        &self,
        address: SocketAddr,
        message: &M,
    ) -> Result<M::Reply, PeerError> {
        let exchange = async {
            let response = self.open(address, message).await?;
            let body = Limited::new(response.into_body(), REPLY_LIMIT).collect().await;
            body.map(|body| body.to_bytes())
                .map_err(|error| PeerError::Lost { address, cause: error.to_string() })
        };
        let bytes = tokio::time::timeout(self.timeout, exchange).await.map_err(|_| {
            PeerError::Lost { address, cause: format!("no reply within {:?}", self.timeout) }
        })??;
        self.count(&catalogue::PEER_BYTES, bytes.len(), M::PATH);
        decode_message(&bytes).map_err(PeerError::Codec)
    }

    /// Sends a message and returns the response as soon as its head has arrived. No timeout is
    /// applied; the caller sets its own.
    pub async fn open<M: PeerCall>(
        &self,
        address: SocketAddr,
        message: &M,
    ) -> Result<Response<Incoming>, PeerError> {
        let body = encode_message(message).map_err(PeerError::Codec)?;
        self.count(&catalogue::PEER_CALLS, 1, M::PATH);
        self.count(&catalogue::PEER_BYTES, body.len(), M::PATH);
        let uri = format!("http://{address}{}", M::PATH);
        let mut request = Request::builder()
            .method(M::METHOD)
            .uri(uri)
            .body(Full::new(body))
            .map_err(|error| PeerError::Lost { address, cause: error.to_string() })?;
        self.versions.write_headers(request.headers_mut());
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                PeerError::Unreachable { address }
            } else {
                PeerError::Lost { address, cause: error_chain(&error) }
            }
        })?;
        self.versions.read_headers(response.headers(), Some(address));
        if response.status().is_success() {
            Ok(response)
        } else {
            Err(PeerError::Status { address, status: response.status() })
        }
    }

    fn count(&self, definition: &MetricDefinition, count: usize, path: &str) {
        self.metrics.count(definition, count as u64, &[(MetricLabel::Message, path)]);
    }
}

fn build_client() -> Client<HttpConnector, Full<Bytes>> {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .timer(TokioTimer::new())
        .pool_timer(TokioTimer::new())
        .http2_only(true)
        .http2_keep_alive_interval(PING_INTERVAL)
        .http2_keep_alive_timeout(PING_TIMEOUT)
        .build(connector)
}

/// Formats an error with all its sources.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
