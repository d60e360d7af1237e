//! Server for the balancer's probes, with a bound on its connections.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, JoinSet};
use viz::Listener;

use super::connection_meter::ConnectionMeter;
use super::metered_stream::MeteredStream;
use crate::daemon::ready_response;
use crate::lifecycle::daemon::ReadyWatch;
use crate::server::ListenerSlot;
use crate::supervisor::StopSignal;

/// Time after which accepting is tried again after a failure.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Time within which the head of a probe has to follow the last answer or the connection.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);

/// Size of the buffers of one connection, in bytes; the minimum that hyper allows.
const BUFFER_BYTES: usize = 8192;

/// Answers probes on any path until `stop` is cancelled. Beyond `connection_limit` the connection
/// that was opened first is closed.
pub(super) async fn serve_ready(
    slot: ListenerSlot,
    ready: ReadyWatch,
    connection_limit: usize,
    stop: StopSignal,
) -> eyre::Result<()> {
    let Some(listener) = slot.get() else { return Ok(()) };
    let mut connections = ReadyConnections::new(connection_limit);
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => {
                slot.close();
                return Ok(());
            }
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => connections.serve(stream, ready.clone()).await,
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Open connections, the first one first. Dropping them closes all.
#[derive(Debug)]
struct ReadyConnections {
    limit: usize,
    tasks: JoinSet<()>,
    order: VecDeque<AbortHandle>,
}

impl ReadyConnections {
    fn new(limit: usize) -> Self {
        Self { limit, tasks: JoinSet::new(), order: VecDeque::new() }
    }

    async fn serve(&mut self, stream: TcpStream, ready: ReadyWatch) {
        while self.tasks.try_join_next().is_some() {}
        self.order.retain(|task| !task.is_finished());
        if self.order.len() >= self.limit
            && let Some(first) = self.order.pop_front()
        {
            first.abort();
            // The descriptor is free once the task has been dropped.
            tokio::task::yield_now().await;
        }
        self.order.push_back(self.tasks.spawn(serve_probes(stream, ready)));
    }
}

/// Answers the probes on a connection.
async fn serve_probes(stream: TcpStream, ready: ReadyWatch) {
    let meter = Arc::new(ConnectionMeter::new(Instant::now()));
    let service = service_fn(|_| async {
        meter.wait_read().await;
        Ok::<_, Infallible>(ready_response(&ready))
    });
    let stream = MeteredStream::new(stream, Arc::clone(&meter));
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_buf_size(BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    if let Err(error) = connection.await {
        log::debug!("caller's connection ended: {error}");
    }
}
