//! Server for callers: accepts connections, and admits and runs their calls.

use std::convert::Infallible;
use std::net::Shutdown;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use tokio::net::{TcpListener, TcpStream};

use super::GatewayContext;
use super::adapter::{CallCodec, GatewayAdapter};
use super::admit::admit;
use super::call_run::CallRun;
use super::events::ControlEvent;
use super::pool::set_timeouts;
use super::relay::{AnswerBody, full_body};
use super::tracked_body::TrackedBody;
use crate::decision::direct::{ConnectionAdmission, DrainSchedule};
use crate::lifecycle::daemon::{DrainingDaemon, ServingDaemon, StartingSlot};
use crate::routing::CallerLimits;
use crate::supervisor::StopSignal;

/// Minimum size of a buffer that hyper allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8192;

/// Limits on callers until a configuration is known.
const INITIAL_LIMITS: CallerLimits = CallerLimits {
    head_bytes: 16 << 10,
    body_bytes: 4 << 20,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};

/// Serves callers until `stop` is cancelled and the last call has ended.
pub async fn serve<A: GatewayAdapter>(
    context: Arc<GatewayContext<A>>,
    listener: Arc<TcpListener>,
    starting: StartingSlot,
    stop: StopSignal,
) -> eyre::Result<()> {
    let closing = StopSignal::new();
    let accepting = accept_callers(&context, &listener, &closing);
    let serving = async {
        match start_serving(&context, &starting, &stop).await {
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
    let schedule = *context
        .drain
        .get_or_init(|| DrainSchedule::new(Instant::now(), context.settings.stop_grace));
    context.send_event(ControlEvent::ShuttingDown);
    log::info!(calls = context.in_flight.count(); "draining");
    tokio::select! {
        accepted = &mut accepting => accepted?,
        () = tokio::time::sleep_until(schedule.accept_until().into()) => {}
    }
    close_listener(&listener);
    closing.cancel();
    // Waits for connections and not only for calls: a call may have arrived on a connection that
    // was about to be closed.
    let idle = context.connections.wait_idle();
    tokio::pin!(idle);
    if tokio::time::timeout_at(schedule.answer_by().into(), &mut idle).await.is_err() {
        context.answers_due.cancel();
        // The connections that are left at the end are counted below.
        let _ = tokio::time::timeout_at(schedule.abandon_at().into(), idle).await;
    }
    if context.connections.count() > 0 {
        log::warn!(calls = context.in_flight.count(); "stopped before all calls ended");
    }
    if let Some(draining) = draining {
        let ended = draining.close(Instant::now());
        log::info!(drained_in:? = ended.drained_in(); "stopped");
    }
    Ok(())
}

/// Reports the daemon as ready as soon as a configuration is known.
async fn start_serving<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    starting: &StartingSlot,
    stop: &StopSignal,
) -> Option<ServingDaemon> {
    let mut table = context.table.clone();
    tokio::select! {
        () = stop.cancelled() => return None,
        known = table.wait_for(Option::is_some) => {
            known.ok()?;
        }
    }
    let starting = starting.lock().await.take()?;
    log::info!("ready");
    Some(starting.serve())
}

/// Reports overload and recovery of the daemon until it is stopped.
async fn serve_until_stopped<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    mut serving: ServingDaemon,
    stop: &StopSignal,
) -> DrainingDaemon {
    let mut overload = context.overloaded.subscribe();
    // The context owns the sender, so the waits below end only with a value.
    loop {
        tokio::select! {
            () = stop.cancelled() => return serving.drain(Instant::now()),
            _ = overload.wait_for(|overloaded| *overloaded) => {}
        }
        let overloaded = serving.mark_overloaded();
        tokio::select! {
            () = stop.cancelled() => return overloaded.drain(Instant::now()),
            _ = overload.wait_for(|overloaded| !*overloaded) => {}
        }
        serving = overloaded.recover();
    }
}

async fn accept_callers<A: GatewayAdapter>(
    context: &Arc<GatewayContext<A>>,
    listener: &TcpListener,
    closing: &StopSignal,
) -> eyre::Result<()> {
    loop {
        match listener.accept().await {
            Ok((stream, caller)) => match admit_connection(context) {
                Ok(is_charged) => {
                    context.admission.counts().count_connection(true);
                    let guard = context.connections.enter();
                    context.metrics.caller_connections.inc();
                    let context = Arc::clone(context);
                    let connection = serve_connection(context, stream, is_charged, closing.clone());
                    tokio::spawn(async move {
                        connection.await;
                        drop(guard);
                    });
                }
                // A connection that is closed without a response allows the caller to try another
                // router.
                Err(reason) => {
                    context.admission.counts().count_connection(false);
                    log::info!(caller:% = caller; "connection closed: {reason}");
                    context.metrics.count_call(format!("connection closed: {reason}"));
                    context.metrics.closed_connections.inc();
                }
            },
            Err(error) => {
                // File descriptors may be used up for a moment; they are released as connections
                // end.
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

/// Stops listening, so that connections are refused and do not wait unread until the process ends.
fn close_listener(listener: &TcpListener) {
    if let Err(error) = SockRef::from(listener).shutdown(Shutdown::Both) {
        log::warn!("cannot close the listener: {error}");
    }
}

/// Decides about a new connection; returns whether its first call is charged already, or why it is
/// closed unread.
fn admit_connection<A: GatewayAdapter>(context: &GatewayContext<A>) -> Result<bool, &'static str> {
    if context.connections.count() >= context.connection_limit {
        return Err("too many are open");
    }
    match context.admission.control().try_admit_connection(Instant::now()) {
        ConnectionAdmission::Unlimited => Ok(false),
        ConnectionAdmission::Charged => Ok(true),
        ConnectionAdmission::Refused => Err("overloaded"),
    }
}

async fn serve_connection<A: GatewayAdapter>(
    context: Arc<GatewayContext<A>>,
    stream: TcpStream,
    is_charged: bool,
    closing: StopSignal,
) {
    if let Err(error) = set_timeouts(&stream) {
        log::debug!("caller's connection ended before it was set up: {error}");
        return;
    }
    let limits = context.limits();
    let service = {
        let context = Arc::clone(&context);
        let is_next_charged = AtomicBool::new(is_charged);
        service_fn(move |request| {
            let context = Arc::clone(&context);
            let is_charged = is_next_charged.swap(false, Ordering::Relaxed);
            // Without the box, hyper reserves the size of the whole future on every idle
            // connection.
            Box::pin(async move {
                let guard = context.in_flight.enter();
                let mut answer = handle(Arc::clone(&context), request, is_charged).await;
                if context.drain.get().is_some() || *context.overloaded.borrow() {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(answer.map(|body| TrackedBody::new(body, guard)))
            })
        })
    };
    let connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time + limits.head_time)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES) + MIN_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("caller's connection ended: {error}");
    }
}

/// Answers one call.
async fn handle<A: GatewayAdapter>(
    context: Arc<GatewayContext<A>>,
    request: Request<Incoming>,
    is_charged: bool,
) -> Response<AnswerBody> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    match admit(&context, head, body, arrived, is_charged).await {
        Ok(admitted_call) => CallRun::new(context, admitted_call).answer().await,
        Err(refusal) => {
            context.metrics.count_call(format!("refused {}", refusal.status().as_u16()));
            context.adapter.codec().refuse(&refusal).map(full_body)
        }
    }
}

/// Source of call ids.
pub type CallCounter = AtomicU64;

impl<A: GatewayAdapter> GatewayContext<A> {
    /// Returns the limits on callers in force.
    pub(super) fn limits(&self) -> CallerLimits {
        self.table.borrow().as_ref().map_or(INITIAL_LIMITS, |table| table.limits())
    }
}
