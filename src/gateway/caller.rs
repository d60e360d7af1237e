//! Server for callers: runs the calls on their connections, and its graceful shutdown.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::header::CONNECTION;
use http::{HeaderValue, Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpStream;

use super::GatewayContext;
use super::accept::{CallerListeners, ConnectionOrigin, accept_callers};
use super::adapter::{CallCodec, GatewayAdapter};
use super::admit::{RefusedCall, admit};
use super::call_run::CallRun;
use super::connection_end::{UnframedAnswers, break_off};
use super::connection_meter::{ConnectionMeter, MeteredCall};
use super::events::ControlEvent;
use super::metered_stream::MeteredStream;
use super::pool::set_timeouts;
use super::relay::{AnswerBody, full_body};
use super::tracked_body::TrackedBody;
use crate::decision::direct::DrainSchedule;
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
    listeners: Arc<CallerListeners>,
    starting: StartingSlot,
    stop: StopSignal,
) -> eyre::Result<()> {
    let closing = StopSignal::new();
    let accepting = accept_callers(&context, &listeners, &closing);
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
    listeners.stop_listening();
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

/// A connection that this router serves, of a caller or of another router for one of its callers.
pub(super) struct CallerConnection {
    pub(super) stream: TcpStream,
    pub(super) origin: ConnectionOrigin,
    /// Whether the first call was charged as the connection was accepted.
    pub(super) is_charged: bool,
    /// Meter of what it holds.
    pub(super) meter: Arc<ConnectionMeter>,
}

/// Serves the calls on a connection; when `closing` is cancelled, it ends as soon as it is idle.
pub(super) async fn serve_connection<A: GatewayAdapter>(
    context: Arc<GatewayContext<A>>,
    connection: CallerConnection,
    closing: StopSignal,
) {
    let CallerConnection { stream, origin, is_charged, meter } = connection;
    if let Err(error) = set_timeouts(&stream) {
        log::debug!("caller's connection ended before it was set up: {error}");
        return;
    }
    let limits = context.limits();
    let unframed = UnframedAnswers::default();
    let metered_stream = MeteredStream::new(stream, Arc::clone(&meter));
    let service = {
        let context = Arc::clone(&context);
        let unframed = unframed.clone();
        let is_next_charged = AtomicBool::new(is_charged);
        service_fn(move |request: Request<Incoming>| {
            unframed.record_call(request.version());
            let context = Arc::clone(&context);
            let meter = Arc::clone(&meter);
            let is_charged = is_next_charged.swap(false, Ordering::Relaxed);
            // Without the box, hyper reserves the size of the whole future on every idle
            // connection.
            Box::pin(async move {
                // Answers that a caller does not read must not pile up.
                meter.wait_read().await;
                let guard = context.in_flight.enter();
                let arrived = Instant::now();
                let call = MeteredCall::new(meter, arrived);
                let mut answer =
                    handle(Arc::clone(&context), request, call.meter(), arrived, is_charged).await;
                if origin == ConnectionOrigin::Router || context.sends_callers_away() {
                    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
                }
                Ok::<_, Infallible>(answer.map(|body| TrackedBody::new(body, guard, call)))
            })
        })
    };
    let mut connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_time + limits.head_time)
        .max_buf_size(limits.head_bytes.max(MIN_BUFFER_BYTES) + MIN_BUFFER_BYTES)
        .serve_connection(TokioIo::new(metered_stream), service);
    let ended = tokio::select! {
        ended = &mut connection => Some(ended),
        () = closing.cancelled() => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            Pin::new(&mut connection).graceful_shutdown();
            (&mut connection).await
        }
    };
    if let Err(error) = ended {
        log::debug!("caller's connection ended: {error}");
        if unframed.are_possible() {
            break_off(connection.into_parts().io.inner().stream());
        }
    }
}

/// Answers one call.
async fn handle<A: GatewayAdapter>(
    context: Arc<GatewayContext<A>>,
    request: Request<Incoming>,
    meter: &ConnectionMeter,
    arrived: Instant,
    is_charged: bool,
) -> Response<AnswerBody> {
    let (head, body) = request.into_parts();
    match admit(&context, head, body, meter, arrived, is_charged).await {
        Ok(admitted_call) => CallRun::new(context, admitted_call).answer().await,
        Err(RefusedCall { refusal, is_read }) => {
            context.metrics.count_call(format!("refused {}", refusal.status().as_u16()));
            let mut answer = context.adapter.codec().refuse(&refusal).map(full_body);
            if !is_read {
                answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            answer
        }
    }
}

/// Source of call ids.
pub type CallCounter = AtomicU64;

impl<A: GatewayAdapter> GatewayContext<A> {
    /// Returns whether connections are closed after an answer, so that callers open new ones, which
    /// may reach other routers.
    fn sends_callers_away(&self) -> bool {
        self.drain.get().is_some() || *self.overloaded.borrow() || self.admission.hands_over()
    }

    /// Returns the limits on callers in force.
    pub(super) fn limits(&self) -> CallerLimits {
        self.table.borrow().as_ref().map_or(INITIAL_LIMITS, |table| table.limits())
    }
}
