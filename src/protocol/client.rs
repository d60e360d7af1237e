//! HTTP/2 client for calls to other processes.

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

/// A connection whose ping is not answered within this time is closed.
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for a TCP connection to be set up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest reply that is read into memory, in bytes.
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
    /// The connection failed or was silent; the call may have been delivered.
    #[display("lost the call to {address}: {cause}")]
    Lost {
        /// The peer.
        address: SocketAddr,
        /// What happened.
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

/// Calls other processes of the system.
#[derive(Clone, Debug)]
pub struct PeerClient {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
    versions: VersionExchange,
    metrics: MetricsClient,
}

impl PeerClient {
    /// Creates a client whose calls are given up after `timeout`.
    pub fn new(timeout: Duration, versions: VersionExchange) -> Self {
        Self { client: build_client(), timeout, versions, metrics: MetricsClient::default() }
    }

    /// Counts calls and their bytes.
    pub fn metered(self, metrics: MetricsClient) -> Self {
        Self { metrics, ..self }
    }

    /// Creates a client that shares no connection with this one, for use when a connection went
    /// silent.
    pub fn fresh(&self) -> Self {
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

    /// Sends a message and returns the response as soon as its head has arrived. The caller sets
    /// the time limits.
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
        self.versions.stamp(request.headers_mut());
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                PeerError::Unreachable { address }
            } else {
                PeerError::Lost { address, cause: error_chain(&error) }
            }
        })?;
        self.versions.observe(response.headers(), Some(address));
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
