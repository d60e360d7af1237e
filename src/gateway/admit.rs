//! Admits calls: reads the body within the memory's bounds, finds route, team and service.

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
use super::call_run::CallSubject;
use super::caller::DrainStage;
use super::edge::{CallDialect, CallHead, GatewayEdge, GatewayRefusal};
use crate::decision::direct::RefusalCause;
use crate::ids::{CallFingerprint, RegionId, TeamId};
use crate::routing::{CallKind, RouteEntry, RouteMatch, RouteTable, draw_target};

/// When callers should come back to a router that has no configuration yet.
const NOT_READY_RETRY: Duration = Duration::from_millis(300);

/// Unit of memory in which calls are counted, in bytes.
pub const SPACE_UNIT: usize = 1024;

/// Memory of one call besides its body, in units: buffers of both connections and the call's
/// state.
pub const CALL_UNITS: usize = 40;

/// Checks a call and reads its body.
pub(super) async fn admit<E: GatewayEdge>(
    context: &GatewayContext<E>,
    head: request::Parts,
    body: Incoming,
    arrived: Instant,
) -> Result<CallSubject, GatewayRefusal> {
    let within_rate = context.try_admit_call(arrived);
    let table = context.table.borrow().clone();
    let table = table.ok_or(GatewayRefusal::NotReady { retry_after: NOT_READY_RETRY });
    let limit = context.limits().body_bytes;
    let (body, space) = read_body(context, &head, body, limit).await?;
    let table = table?;
    if !within_rate {
        return Err(overloaded(&head));
    }
    let facts =
        context.edge.dialect().read_head(&head).map_err(|error| {
            log_refusal(&head, GatewayRefusal::BadHead { problem: error.problem })
        })?;
    let CallRights { route, team, priority, homes } = find_route(&table, &head, &facts)?;
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
        priority,
        homes,
        body,
        space: Some(space),
        fingerprint,
        arrived,
    })
}

/// What the configuration allows a call.
struct CallRights {
    route: Arc<RouteEntry>,
    team: Option<TeamId>,
    priority: u32,
    homes: Option<Vec<RegionId>>,
}

fn find_route(
    table: &RouteTable,
    head: &request::Parts,
    facts: &CallHead,
) -> Result<CallRights, GatewayRefusal> {
    let host = head
        .uri
        .host()
        .or_else(|| head.headers.get(HOST).and_then(|host| host.to_str().ok()))
        .unwrap_or_default();
    let version = table.version();
    match table.find(host, head.uri.path(), facts.key.as_deref()) {
        RouteMatch::Allowed { route, team, priority, homes } => {
            Ok(CallRights { route, team, priority, homes })
        }
        RouteMatch::Unknown => Err(log_refusal(head, GatewayRefusal::UnknownRoute { version })),
        RouteMatch::Denied { .. } => Err(log_refusal(head, GatewayRefusal::UnknownKey { version })),
    }
}

/// Refuses a call that the router has no processor time for. Another router may take it at once.
fn overloaded(head: &request::Parts) -> GatewayRefusal {
    let cause = RefusalCause::Overloaded;
    log_refusal(head, GatewayRefusal::NotRun { cause, retry_after: Duration::ZERO })
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

/// Refuses a stream that would not end before the process does.
pub(super) fn refuse_late_stream(
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
