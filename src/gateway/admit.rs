//! Admits calls: looks up route, team and service, and reads the body.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use http::header::HOST;
use http::request;
use hyper::body::Incoming;
use tokio::sync::OwnedSemaphorePermit;
use xxhash_rust::xxh3::Xxh3;

use super::GatewayContext;
use super::adapter::{CallCodec, CallMetadata, GatewayAdapter, GatewayRefusal, HeadError};
use super::body_reader::BodyReader;
use super::call_run::AdmittedCall;
use super::connection_meter::ConnectionMeter;
use crate::decision::direct::{RefusalCause, ShedCall, call_work};
use crate::ids::{CallFingerprint, RegionId, TeamId};
use crate::routing::{RouteEntry, RouteMatch, RouteTable, select_target};

/// Retry delay for callers of a router that has no configuration yet.
pub(super) const NOT_READY_RETRY: Duration = Duration::from_millis(300);

/// Unit in which memory for calls is reserved, in bytes.
pub const MEMORY_UNIT: usize = 1024;

/// Memory of one call besides its body, in units: the buffers of both connections and the call's
/// state.
pub const CALL_MEMORY_UNITS: usize = 40;

/// A call that is refused before it is placed.
#[derive(Debug)]
pub(super) struct RefusedCall {
    /// Why.
    pub(super) refusal: GatewayRefusal,
    /// Whether its body was read to the end, so that another call can follow on the connection.
    pub(super) is_read: bool,
}

impl From<GatewayRefusal> for RefusedCall {
    fn from(refusal: GatewayRefusal) -> Self {
        Self { refusal, is_read: true }
    }
}

/// A call whose head is valid, with the rights of its caller.
struct RoutedCall {
    metadata: CallMetadata,
    table: Arc<RouteTable>,
    rights: CallRoute,
}

/// Validates a call's head, looks up its route and reads its body.
pub(super) async fn admit<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    head: request::Parts,
    body: Incoming,
    meter: &ConnectionMeter,
    arrived: Instant,
    is_charged: bool,
) -> Result<AdmittedCall, RefusedCall> {
    let metadata = context.adapter.codec().read_head(&head);
    let within_rate = context.admission.try_admit(metadata.as_ref().ok(), is_charged, arrived);
    let limits = context.limits();
    let reader = BodyReader { context, meter, limits };
    let routed = match find_rights(context, &head, metadata) {
        Ok(routed) => routed,
        Err(refusal) => return Err(reader.refuse(body, refusal).await),
    };
    meter.record_routed();
    let RoutedCall { metadata, table, rights: CallRoute { route, team, priority, homes } } = routed;
    let time_left = metadata.time_left.unwrap_or(route.timeout).min(route.timeout);
    let (body, memory) = reader.read(&head, body, arrived + time_left).await?;
    let fingerprint = fingerprint(&head, &metadata, &body);
    if !within_rate {
        return Err(shed_call(context, &metadata, team.as_ref(), fingerprint).into());
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

fn find_rights<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    head: &request::Parts,
    metadata: Result<CallMetadata, HeadError>,
) -> Result<RoutedCall, GatewayRefusal> {
    let table = context.table.borrow().clone();
    let table = table.ok_or(GatewayRefusal::NotReady { retry_after: NOT_READY_RETRY })?;
    let metadata = metadata
        .map_err(|error| log_refusal(head, GatewayRefusal::BadHead { problem: error.problem }))?;
    let rights = find_route(&table, head, &metadata)?;
    Ok(RoutedCall { metadata, table, rights })
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

/// Reserves memory for calls, unless none is left.
pub(super) fn reserve<A: GatewayAdapter>(
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
