//! Pool of connections to upstreams.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper_util::rt::TokioIo;
use indexmap::IndexMap;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::connection_end::EndError;
use super::observe::GatewayMetrics;
use crate::answer_checks::wait_closed;
use crate::ids::UpstreamId;

/// Time limit for opening a connection: several round trips between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which unacknowledged bytes end a connection (`TCP_USER_TIMEOUT`), so that a silent
/// connection is detected well before callers give up.
pub const UNACKNOWLEDGED_LIMIT: Duration = Duration::from_millis(900);

/// Idle time before the first keep-alive probe, and the interval between probes.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Idle time after which a connection is not reused when its upstream states no limit.
const DEFAULT_IDLE_LIMIT: Duration = Duration::from_secs(4);

/// Margin by which a connection is discarded before the idle limit that its upstream states.
const IDLE_MARGIN: Duration = Duration::from_millis(600);

/// Maximum number of idle connections to one upstream.
const MAX_IDLE_CONNECTIONS: usize = 40;

/// Size of the read and write buffer of one connection, in bytes; the minimum that hyper allows.
const BUFFER_BYTES: usize = 8192;

/// Failure to open a connection. Nothing was sent.
#[derive(Debug, Display, Error)]
pub enum ConnectError {
    /// No connection could be opened.
    #[display("cannot connect to {address}: {cause}")]
    Unreachable {
        /// Address of the upstream.
        address: SocketAddr,
        /// Description of the failure.
        cause: String,
    },
}

/// Failure to send a call.
#[derive(Debug)]
pub enum SendError {
    /// The connection ended before the call was written.
    Unsent,
    /// The connection ended, and the call may have run.
    Broken(hyper::Error),
}

/// A connection in use by one call.
#[derive(Debug)]
pub struct LeasedConnection {
    upstream: UpstreamId,
    sender: SendRequest<Full<Bytes>>,
    task: ConnectionTask,
    reused: bool,
}

/// Task of a connection, which returns how it ended. Dropping it aborts the task, and so closes the
/// connection.
#[derive(Debug)]
struct ConnectionTask(JoinHandle<Result<(), EndError>>);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    task: ConnectionTask,
    address: SocketAddr,
    idle_since: Instant,
    idle_until: Instant,
}

impl LeasedConnection {
    /// Returns whether the connection was used for other calls before.
    pub fn is_reused(&self) -> bool {
        self.reused
    }

    /// Sends a call and waits for the head of the answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        match self.sender.try_send_request(request).await {
            Ok(response) => Ok(response),
            Err(mut error) => match error.take_message() {
                Some(_) => Err(SendError::Unsent),
                None => Err(SendError::Broken(error.into_error())),
            },
        }
    }

    /// Waits for the end of the connection, which its upstream must have begun. It is in order if
    /// the upstream has received all that was sent. May be called once.
    pub async fn confirm_end(&mut self) -> Result<(), EndError> {
        (&mut self.task.0).await.unwrap_or(Err(EndError::Aborted))
    }
}

/// Idle connections by upstream.
#[derive(Debug)]
pub struct UpstreamPool {
    idle_connections: Mutex<IndexMap<UpstreamId, Vec<IdleConnection>>>,
    metrics: Arc<GatewayMetrics>,
}

impl UpstreamPool {
    /// Creates an empty pool.
    pub fn new(metrics: Arc<GatewayMetrics>) -> Self {
        Self { idle_connections: Mutex::default(), metrics }
    }

    /// Takes a connection that has been idle for less than `idle_limit`, or opens one.
    pub async fn lease(
        &self,
        upstream: &UpstreamId,
        address: SocketAddr,
        idle_limit: Duration,
    ) -> Result<LeasedConnection, ConnectError> {
        if let Some(leased) = self.take_idle(upstream, address, idle_limit) {
            return Ok(leased);
        }
        self.metrics.connections.inc();
        connect(upstream, address).await
    }

    /// Returns a connection to the pool after a complete answer.
    pub fn release(
        &self,
        leased: LeasedConnection,
        address: SocketAddr,
        stated_limit: Option<Duration>,
    ) {
        let limit = stated_limit
            .map_or(DEFAULT_IDLE_LIMIT, |stated_limit| stated_limit.saturating_sub(IDLE_MARGIN));
        if leased.sender.is_closed() || limit.is_zero() {
            return;
        }
        let LeasedConnection { upstream, sender, task, .. } = leased;
        let idle_since = Instant::now();
        let mut idle_connections =
            self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle_connections.entry(upstream).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection {
                sender,
                task,
                address,
                idle_since,
                idle_until: idle_since + limit,
            });
        }
    }

    /// Closes expired connections.
    pub fn remove_expired(&self) {
        let now = Instant::now();
        let mut idle_connections =
            self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner);
        for connections in idle_connections.values_mut() {
            connections.retain(|idle| now < idle.idle_until && !idle.sender.is_closed());
        }
        idle_connections.retain(|_, connections| !connections.is_empty());
    }

    fn take_idle(
        &self,
        upstream: &UpstreamId,
        address: SocketAddr,
        idle_limit: Duration,
    ) -> Option<LeasedConnection> {
        let now = Instant::now();
        let mut idle_connections =
            self.idle_connections.lock().unwrap_or_else(PoisonError::into_inner);
        let connections = idle_connections.get_mut(upstream)?;
        connections.retain(|idle| {
            now < idle.idle_until && idle.address == address && !idle.sender.is_closed()
        });
        let index = connections.iter().rposition(|idle| {
            idle.sender.is_ready() && now.duration_since(idle.idle_since) < idle_limit
        })?;
        let IdleConnection { sender, task, .. } = connections.remove(index);
        Some(LeasedConnection { upstream: UpstreamId::clone(upstream), sender, task, reused: true })
    }
}

async fn connect(
    upstream: &UpstreamId,
    address: SocketAddr,
) -> Result<LeasedConnection, ConnectError> {
    let unreachable = |cause: String| ConnectError::Unreachable { address, cause };
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
        .await
        .map_err(|_| unreachable(format!("no connection within {CONNECT_TIMEOUT:?}")))?
        .map_err(|error| unreachable(error.to_string()))?;
    set_timeouts(&stream).map_err(|error| unreachable(error.to_string()))?;
    let (sender, mut connection) = Builder::new()
        .max_buf_size(BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| unreachable(error.to_string()))?;
    let task = tokio::spawn(async move {
        // The call in progress gets the error from the sender.
        if let Err(error) = (&mut connection).await {
            log::debug!("connection to an upstream ended: {error}");
            return Err(error.into());
        }
        Ok(wait_closed(&connection.into_parts().io.into_inner()).await?)
    });
    let task = ConnectionTask(task);
    Ok(LeasedConnection { upstream: UpstreamId::clone(upstream), sender, task, reused: false })
}

/// Sets the socket options by which a connection ends when its peer is silent.
pub fn set_timeouts(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    let keepalive =
        TcpKeepalive::new().with_time(PROBE_INTERVAL).with_interval(PROBE_INTERVAL).with_retries(2);
    socket.set_tcp_keepalive(&keepalive)
}
