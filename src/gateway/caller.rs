//! Callers' connections: accepts them, reads calls and hands each to its run.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::{Duration, Instant};

use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use super::GatewayContext;
use super::admit::{admit, refuse_late_stream};
use super::call_run::CallRun;
use super::edge::{CallDialect, GatewayEdge};
use super::events::ControlEvent;
use super::pool::set_timeouts;
use super::relay::{AnswerBody, whole_body};
use super::tracked_body::TrackedBody;
use crate::lifecycle::daemon::{DrainingDaemon, ServingDaemon, StartingDaemon};
use crate::routing::CallerLimits;
use crate::supervisor::StopSignal;

/// Time after the stop signal after which no new stream is taken: streams last seconds, and the
/// balancer sends no new connections after two missed probes, a second apart.
const STREAMS_AFTER_STOP: Duration = Duration::from_millis(2500);

/// Time after the stop signal for which new connections are accepted.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(3600);

/// Time before the process is killed at which the remaining connections are given up.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Smallest buffer that hyper allows, in bytes.
const LEAST_BUFFER: usize = 8192;

/// Limits on callers before a configuration is known.
const INITIAL_LIMITS: CallerLimits = CallerLimits {
    head_bytes: 16 << 10,
    body_bytes: 4 << 20,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};

/// How far a stop has come, as connections see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DrainStage {
    /// Callers are taken.
    Serving,
    /// Connections are closed after the call that they carry.
    Draining,
    /// New streams are refused, besides.
    Refusing,
    /// Idle connections are closed too.
    Closing,
}

/// The daemon's life cycle; the first run of the server takes it.
pub type LifeSlot = Arc<tokio::sync::Mutex<Option<StartingDaemon>>>;

/// Serves callers until `stop` is cancelled and the last call has ended.
pub async fn serve<E: GatewayEdge>(
    context: Arc<GatewayContext<E>>,
    listener: Arc<TcpListener>,
    life: LifeSlot,
    stop: StopSignal,
) -> eyre::Result<()> {
    let (stage, stage_watch) = watch::channel(DrainStage::Serving);
    let accepting = accept_callers(&context, &listener, stage_watch);
    let serving = async {
        match start_serving(&context, &life, &stop).await {
            Some(serving) => Some(serve_until_stopped(&context, serving, &stop).await),
            None => {
                stop.cancelled().await;
                None
            }
        }
    };
    tokio::pin!(accepting);
    let draining = tokio::select! {
        accepted = &mut accepting => { accepted?; None }
        draining = serving => draining,
    };
    context.tell(ControlEvent::Leaving);
    stage.send_replace(DrainStage::Draining);
    log::info!(calls = context.in_flight.count(); "draining");
    let refusing = async {
        tokio::time::sleep(STREAMS_AFTER_STOP).await;
        stage.send_replace(DrainStage::Refusing);
        tokio::time::sleep(ACCEPT_AFTER_STOP - STREAMS_AFTER_STOP).await;
    };
    tokio::select! {
        accepted = &mut accepting => accepted?,
        () = refusing => {}
    }
    stage.send_replace(DrainStage::Closing);
    let left = context.settings.stop_grace.saturating_sub(ACCEPT_AFTER_STOP + STOP_MARGIN);
    // A call may have arrived on a connection that was about to be closed, so the connections'
    // ends count.
    if tokio::time::timeout(left, context.connections.wait_idle()).await.is_err() {
        log::warn!(calls = context.in_flight.count(); "stopped before all calls ended");
    }
    if let Some(draining) = draining {
        let ended = draining.close(Instant::now());
        log::info!(drained_in:? = ended.drained_in(); "stopped");
    }
    Ok(())
}

/// Reports the daemon as ready once a configuration is known.
async fn start_serving<E: GatewayEdge>(
    context: &GatewayContext<E>,
    life: &LifeSlot,
    stop: &StopSignal,
) -> Option<ServingDaemon> {
    let mut table = context.table.clone();
    tokio::select! {
        () = stop.cancelled() => return None,
        known = table.wait_for(Option::is_some) => {
            known.ok()?;
        }
    }
    let starting = life.lock().await.take()?;
    log::info!("ready");
    Some(starting.serve())
}

/// Reports whether the daemon keeps up with its callers until it is told to stop.
async fn serve_until_stopped<E: GatewayEdge>(
    context: &GatewayContext<E>,
    mut serving: ServingDaemon,
    stop: &StopSignal,
) -> DrainingDaemon {
    let mut overload = context.overloaded.subscribe();
    // The sender lives in the context, so the waits below end only with a value.
    loop {
        tokio::select! {
            () = stop.cancelled() => return serving.drain(Instant::now()),
            _ = overload.wait_for(|overloaded| *overloaded) => {}
        }
        let overloaded = serving.overload();
        tokio::select! {
            () = stop.cancelled() => return overloaded.drain(Instant::now()),
            _ = overload.wait_for(|overloaded| !*overloaded) => {}
        }
        serving = overloaded.relieve();
    }
}

async fn accept_callers<E: GatewayEdge>(
    context: &Arc<GatewayContext<E>>,
    listener: &TcpListener,
    stage: watch::Receiver<DrainStage>,
) -> eyre::Result<()> {
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => match refuse_connection(context) {
                None => {
                    let open = context.connections.enter();
                    let connection = serve_connection(Arc::clone(context), stream, stage.clone());
                    tokio::spawn(async move {
                        connection.await;
                        drop(open);
                    });
                }
                // A caller whose connection is closed unread may try another router at once.
                Some(reason) => {
                    log::info!(caller:% = caller; "connection closed: {reason}");
                    context.metrics.count_call(format!("connection closed: {reason}"));
                }
            },
            Err(error) => {
                // Descriptors may be used up for a moment; connections that end free them.
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Why a new connection is closed unread, if it is.
fn refuse_connection<E: GatewayEdge>(context: &GatewayContext<E>) -> Option<&'static str> {
    if context.connections.count() >= context.connection_limit {
        Some("too many are open")
    } else if !context.can_accept_connection(Instant::now()) {
        Some("overloaded")
    } else {
        None
    }
}

async fn serve_connection<E: GatewayEdge>(
    context: Arc<GatewayContext<E>>,
    stream: TcpStream,
    mut stage: watch::Receiver<DrainStage>,
) {
    if let Err(error) = set_timeouts(&stream) {
        log::debug!("caller's connection ended before it was set up: {error}");
        return;
    }
    let limits = context.limits();
    let service = {
        let stage = stage.clone();
        let context = Arc::clone(&context);
        service_fn(move |request| {
            let context = Arc::clone(&context);
            let stage = *stage.borrow();
            // hyper keeps room for the whole future on every idle connection unless it is boxed.
            Box::pin(async move {
                let work = context.in_flight.enter();
                let mut answer = handle(Arc::clone(&context), request, stage).await;
                if stage != DrainStage::Serving || *context.overloaded.borrow() {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(answer.map(|body| TrackedBody::new(body, work)))
            })
        })
    };
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time + limits.head_time)
        .max_buf_size(limits.head_bytes.max(LEAST_BUFFER) + LEAST_BUFFER)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let closing = async {
        // The stage's sender lives until the server has ended, and the connection with it.
        let _ = stage.wait_for(|stage| *stage == DrainStage::Closing).await;
    };
    let ended = tokio::select! {
        ended = &mut connection => ended,
        _ = closing => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("caller's connection ended: {error}");
    }
}

/// Answers one call.
async fn handle<E: GatewayEdge>(
    context: Arc<GatewayContext<E>>,
    request: Request<Incoming>,
    stage: DrainStage,
) -> Response<AnswerBody> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let admitted = admit(&context, head, body, arrived).await;
    match admitted.and_then(|subject| refuse_late_stream(subject, stage)) {
        Ok(subject) => CallRun::new(context, subject).answer().await,
        Err(refusal) => {
            context.metrics.count_call(format!("refused {}", refusal.status().as_u16()));
            context.edge.dialect().refuse(&refusal).map(whole_body)
        }
    }
}

/// Counter of calls.
pub type CallCounter = AtomicU64;

impl<E: GatewayEdge> GatewayContext<E> {
    /// Limits on callers in force.
    pub(super) fn limits(&self) -> CallerLimits {
        self.table.borrow().as_ref().map_or(INITIAL_LIMITS, |table| table.limits())
    }
}
