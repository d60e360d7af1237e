//! Callers' connections: accepts them, reads calls and hands each to its run.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::header::{CONNECTION, CONTENT_LENGTH, HOST};
use http::{HeaderValue, Request, Response, request};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, watch};
use xxhash_rust::xxh3::Xxh3;

use super::GatewayContext;
use super::call_run::{CallRun, CallSubject};
use super::edge::{CallDialect, CallHead, GatewayEdge, GatewayRefusal};
use super::events::ControlEvent;
use super::pool::set_timeouts;
use super::relay::{AnswerBody, whole_body};
use super::tracked_body::TrackedBody;
use crate::decision::direct::RefusalCause;
use crate::ids::{CallFingerprint, TeamId};
use crate::lifecycle::daemon::{DrainingDaemon, ServingDaemon, StartingDaemon};
use crate::routing::{CallKind, CallerLimits, RouteEntry, RouteMatch, RouteTable, draw_target};
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

/// When callers should come back to a router that has no configuration yet.
const NOT_READY_RETRY: Duration = Duration::from_millis(300);

/// Unit of memory in which calls are counted, in bytes.
pub const SPACE_UNIT: usize = 1024;

/// Memory of one call besides its body, in units: buffers of both connections and the call's
/// state.
pub const CALL_UNITS: usize = 40;

/// How far a stop has come, as connections see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum DrainStage {
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
    let mut pressed = context.pressed.subscribe();
    // The sender lives in the context, so the waits below end only with a value.
    loop {
        tokio::select! {
            () = stop.cancelled() => return serving.drain(Instant::now()),
            _ = pressed.wait_for(|pressed| *pressed) => {}
        }
        let overloaded = serving.overload();
        tokio::select! {
            () = stop.cancelled() => return overloaded.drain(Instant::now()),
            _ = pressed.wait_for(|pressed| !*pressed) => {}
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
            Ok((stream, _)) if context.connections.count() < context.connection_limit => {
                let open = context.connections.enter();
                let connection = serve_connection(Arc::clone(context), stream, stage.clone());
                tokio::spawn(async move {
                    connection.await;
                    drop(open);
                });
            }
            // A caller whose connection is closed unread may try another router at once.
            Ok(_) => context.metrics.count_call("connection closed: too many"),
            Err(error) => {
                // Descriptors may be used up for a moment; connections that end free them.
                log::warn!("cannot accept a connection: {error}");
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        }
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
                if stage != DrainStage::Serving || *context.pressed.borrow() {
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

/// Refuses a stream that would not end before the process does.
fn refuse_late_stream(
    subject: CallSubject,
    stage: DrainStage,
) -> Result<CallSubject, GatewayRefusal> {
    let late = matches!(stage, DrainStage::Refusing | DrainStage::Closing);
    if late && subject.route.kind == CallKind::Stream {
        let refusal =
            GatewayRefusal::NotRun { cause: RefusalCause::Leaving, retry_after: Duration::ZERO };
        return Err(log_refusal(&subject.head, refusal));
    }
    Ok(subject)
}

/// Checks a call and reads its body.
async fn admit<E: GatewayEdge>(
    context: &GatewayContext<E>,
    head: request::Parts,
    body: Incoming,
    arrived: Instant,
) -> Result<CallSubject, GatewayRefusal> {
    let table = context.table.borrow().clone();
    let table = table.ok_or(GatewayRefusal::NotReady { retry_after: NOT_READY_RETRY });
    let limit = context.limits().body_bytes;
    let (body, space) = read_body(context, &head, body, limit).await?;
    let table = table?;
    let facts =
        context.edge.dialect().read_head(&head).map_err(|error| {
            log_refusal(&head, GatewayRefusal::BadHead { problem: error.problem })
        })?;
    let (route, team) = find_route(&table, &head, &facts)?;
    let service = draw_target(&route, &facts.attempt)
        .ok_or(GatewayRefusal::UnknownRoute { version: table.version() })?;
    let fingerprint = fingerprint(&head, &facts, &body);
    let id = context.calls.fetch_add(1, Ordering::Relaxed);
    Ok(CallSubject {
        id,
        head,
        facts,
        route,
        service,
        team,
        body,
        space: Some(space),
        fingerprint,
        arrived,
    })
}

fn find_route(
    table: &RouteTable,
    head: &request::Parts,
    facts: &CallHead,
) -> Result<(Arc<RouteEntry>, Option<TeamId>), GatewayRefusal> {
    let host = head
        .uri
        .host()
        .or_else(|| head.headers.get(HOST).and_then(|host| host.to_str().ok()))
        .unwrap_or_default();
    let version = table.version();
    match table.find(host, head.uri.path(), facts.key.as_deref()) {
        RouteMatch::Allowed { route, team } => Ok((route, team)),
        RouteMatch::Unknown => Err(log_refusal(head, GatewayRefusal::UnknownRoute { version })),
        RouteMatch::Denied { .. } => Err(log_refusal(head, GatewayRefusal::UnknownKey { version })),
    }
}

/// Writes why a call was refused before it had a run of its own.
fn log_refusal(head: &request::Parts, refusal: GatewayRefusal) -> GatewayRefusal {
    log::info!(path = head.uri.path(), refusal:? = refusal; "call refused");
    refusal
}

/// Reads the whole body; a refused call's body is read and dropped, so that the caller gets the
/// refusal and not a reset.
async fn read_body<E: GatewayEdge>(
    context: &GatewayContext<E>,
    head: &request::Parts,
    mut body: Incoming,
    limit: usize,
) -> Result<(Bytes, OwnedSemaphorePermit), GatewayRefusal> {
    let stated = head
        .headers
        .get(CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok())
        .and_then(|length| length.parse::<usize>().ok())
        .or_else(|| body.size_hint().exact().and_then(|size| usize::try_from(size).ok()));
    let no_space =
        || GatewayRefusal::NotRun { cause: RefusalCause::NoCapacity, retry_after: NOT_READY_RETRY };
    let mut refusal = None;
    let mut space = reserve(context, CALL_UNITS * SPACE_UNIT + stated.unwrap_or_default());
    let mut held = BytesMut::with_capacity(stated.unwrap_or_default().min(limit));
    let mut single: Option<Bytes> = None;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(GatewayRefusal::BadHead { problem: "the body ended early".to_owned() });
        };
        let Ok(data) = frame.into_data() else { continue };
        let length = held.len() + single.as_ref().map_or(0, Bytes::len) + data.len();
        if length > limit {
            refusal = Some(GatewayRefusal::BodyTooLarge { limit });
        }
        if stated.is_none()
            && let Some(permit) = &mut space
        {
            match reserve(context, data.len()) {
                Some(more) => permit.merge(more),
                None => space = None,
            }
        }
        if refusal.is_some() || space.is_none() {
            held = BytesMut::new();
            single = None;
            continue;
        }
        if held.is_empty() && single.is_none() && stated == Some(data.len()) {
            single = Some(data);
        } else {
            held.extend_from_slice(&data);
        }
    }
    match (refusal, space) {
        (Some(refusal), _) => Err(refusal),
        (None, None) => Err(no_space()),
        (None, Some(space)) => Ok((single.unwrap_or_else(|| held.freeze()), space)),
    }
}

fn reserve<E: GatewayEdge>(
    context: &GatewayContext<E>,
    bytes: usize,
) -> Option<OwnedSemaphorePermit> {
    let units = u32::try_from(bytes.div_ceil(SPACE_UNIT)).ok()?;
    Arc::clone(&context.space).try_acquire_many_owned(units).ok()
}

/// Hash by which a call that ends its upstreams is known when it comes again.
fn fingerprint(head: &request::Parts, facts: &CallHead, body: &[u8]) -> CallFingerprint {
    let mut hash = Xxh3::new();
    hash.update(head.uri.path().as_bytes());
    hash.update(facts.key.as_deref().unwrap_or_default().as_bytes());
    hash.update(body);
    hash.digest()
}

/// Counter of calls.
pub type CallCounter = AtomicU64;

impl<E: GatewayEdge> GatewayContext<E> {
    /// Limits on callers in force.
    fn limits(&self) -> CallerLimits {
        self.table.borrow().as_ref().map_or(INITIAL_LIMITS, |table| table.limits())
    }
}
