//! Admits calls: reads the body within the memory limit and looks up route, team and service.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_LENGTH, HOST};
use http::request;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::sync::OwnedSemaphorePermit;
use xxhash_rust::xxh3::Xxh3;

use super::GatewayContext;
use super::adapter::{CallCodec, CallMetadata, GatewayAdapter, GatewayRefusal};
use super::call_run::AdmittedCall;
use crate::decision::direct::{RefusalCause, ShedCall, call_work};
use crate::ids::{CallFingerprint, RegionId, TeamId};
use crate::routing::{RouteEntry, RouteMatch, RouteTable, select_target};

/// Retry delay for callers of a router that has no configuration yet.
const NOT_READY_RETRY: Duration = Duration::from_millis(300);

/// Unit in which memory for calls is reserved, in bytes.
pub const MEMORY_UNIT: usize = 1024;

/// Memory of one call besides its body, in units: the buffers of both connections and the call's
/// state.
pub const CALL_MEMORY_UNITS: usize = 40;

/// Reads a call's body, validates its head and looks up its route.
pub(super) async fn admit<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    head: request::Parts,
    body: Incoming,
    arrived: Instant,
    is_charged: bool,
) -> Result<AdmittedCall, GatewayRefusal> {
    let metadata = context.adapter.codec().read_head(&head);
    let within_rate = context.admission.try_admit(metadata.as_ref().ok(), is_charged, arrived);
    let table = context.table.borrow().clone();
    let table = table.ok_or(GatewayRefusal::NotReady { retry_after: NOT_READY_RETRY });
    let limit = context.limits().body_bytes;
    let (body, memory) = read_body(context, &head, body, limit).await?;
    let table = table?;
    let metadata = metadata
        .map_err(|error| log_refusal(&head, GatewayRefusal::BadHead { problem: error.problem }))?;
    let CallRoute { route, team, priority, homes } = find_route(&table, &head, &metadata)?;
    let fingerprint = fingerprint(&head, &metadata, &body);
    if !within_rate {
        return Err(shed_call(context, &metadata, team.as_ref(), fingerprint));
    }
    let service = select_target(&route, &metadata.attempt)
        .ok_or(GatewayRefusal::UnknownRoute { version: table.version() })?;
    let id = context.calls.fetch_add(1, Ordering::Relaxed);
    Ok(AdmittedCall {
        id,
        head,
        metadata,
        route,
        service,
        team,
        priority,
        homes,
        body,
        memory: Some(memory),
        fingerprint,
        arrived,
    })
}

/// Route of a call and the rights of its caller.
struct CallRoute {
    route: Arc<RouteEntry>,
    team: Option<TeamId>,
    priority: u32,
    homes: Option<Vec<RegionId>>,
}

/// Returns the host that a call is addressed to; empty if it names none.
pub(super) fn find_host(head: &request::Parts) -> &str {
    let host = || head.headers.get(HOST).and_then(|host| host.to_str().ok());
    head.uri.host().or_else(host).unwrap_or_default()
}

fn find_route(
    table: &RouteTable,
    head: &request::Parts,
    metadata: &CallMetadata,
) -> Result<CallRoute, GatewayRefusal> {
    let version = table.version();
    match table.find(find_host(head), head.uri.path(), metadata.key.as_deref()) {
        RouteMatch::Allowed { route, team, priority, homes } => {
            Ok(CallRoute { route, team, priority, homes })
        }
        RouteMatch::Unknown => Err(log_refusal(head, GatewayRefusal::UnknownRoute { version })),
        RouteMatch::Denied { .. } => Err(log_refusal(head, GatewayRefusal::UnknownKey { version })),
    }
}

/// Refuses a call because of overload. Another router may take it at once.
fn shed_call<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    metadata: &CallMetadata,
    team: Option<&TeamId>,
    fingerprint: CallFingerprint,
) -> GatewayRefusal {
    if let Some(team) = team {
        let work = call_work(metadata.prompt.as_ref());
        context.admission.record_shed(ShedCall { team: TeamId::clone(team), fingerprint, work });
    }
    log::info!(
        attempt = metadata.attempt, team = team.map_or("-", |team| &**team);
        "call shed"
    );
    GatewayRefusal::NotRun { cause: RefusalCause::Overloaded, retry_after: Duration::ZERO }
}

/// Logs the refusal of a call that is not run; the log line at the end of a call covers the others.
fn log_refusal(head: &request::Parts, refusal: GatewayRefusal) -> GatewayRefusal {
    log::info!(path = head.uri.path(), refusal:? = refusal; "call refused");
    refusal
}

/// Reads the whole body. The body of a refused call is read and dropped, so that the caller
/// receives the refusal and not a connection reset.
async fn read_body<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    head: &request::Parts,
    mut body: Incoming,
    limit: usize,
) -> Result<(Bytes, OwnedSemaphorePermit), GatewayRefusal> {
    let declared_length = head
        .headers
        .get(CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok())
        .and_then(|length| length.parse::<usize>().ok())
        .or_else(|| body.size_hint().exact().and_then(|size| usize::try_from(size).ok()));
    let no_memory =
        || GatewayRefusal::NotRun { cause: RefusalCause::NoCapacity, retry_after: NOT_READY_RETRY };
    let mut refusal = None;
    let mut memory =
        reserve(context, CALL_MEMORY_UNITS * MEMORY_UNIT + declared_length.unwrap_or_default());
    let mut buffer = BytesMut::with_capacity(declared_length.unwrap_or_default().min(limit));
    let mut single_frame: Option<Bytes> = None;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(GatewayRefusal::BadHead { problem: "the body ended early".to_owned() });
        };
        let Ok(data) = frame.into_data() else { continue };
        let length = buffer.len() + single_frame.as_ref().map_or(0, Bytes::len) + data.len();
        if length > limit {
            refusal = Some(GatewayRefusal::BodyTooLarge { limit });
        }
        if declared_length.is_none()
            && let Some(permit) = &mut memory
        {
            match reserve(context, data.len()) {
                Some(more) => permit.merge(more),
                None => memory = None,
            }
        }
        if refusal.is_some() || memory.is_none() {
            buffer = BytesMut::new();
            single_frame = None;
            continue;
        }
        if buffer.is_empty() && single_frame.is_none() && declared_length == Some(data.len()) {
            single_frame = Some(data);
        } else {
            buffer.extend_from_slice(&data);
        }
    }
    match (refusal, memory) {
        (Some(refusal), _) => Err(refusal),
        (None, None) => Err(no_memory()),
        (None, Some(memory)) => Ok((single_frame.unwrap_or_else(|| buffer.freeze()), memory)),
    }
}

fn reserve<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    bytes: usize,
) -> Option<OwnedSemaphorePermit> {
    let units = u32::try_from(bytes.div_ceil(MEMORY_UNIT)).ok()?;
    Arc::clone(&context.memory).try_acquire_many_owned(units).ok()
}

/// Returns the hash by which repeated calls are recognized.
fn fingerprint(head: &request::Parts, metadata: &CallMetadata, body: &[u8]) -> CallFingerprint {
    let mut hash = Xxh3::new();
    hash.update(head.uri.path().as_bytes());
    hash.update(metadata.key.as_deref().unwrap_or_default().as_bytes());
    hash.update(body);
    hash.digest()
}
