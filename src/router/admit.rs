//! Admission of callers' requests: authentication, validation and reading of the body.

use std::time::{Duration, SystemTime};

use http::{HeaderMap, header};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use viz::{Request, RequestExt};

use super::RouterContext;
use super::body_budget::BodyReservation;
use super::refusal::{CallerRefusal, RefusalReason};
use super::run::RequestClaim;
use crate::configuration::{RouteEntry, ServiceKind, VersionedConfiguration};
use crate::decision::claim::{ClaimAttempt, request_digest};
use crate::decision::placement::prefix_hash;
use crate::decision::quarantine::request_fingerprint;
use crate::headers::forwarded_headers;
use crate::ids::{RequestId, RouteId, TeamId, format_request_id};
use crate::lifecycle::daemon::ReadyState;
use crate::lifecycle::request::RequestTicket;
use crate::protocol::{HeaderField, RequestContent};
use crate::store::claim_key;

/// Time limit for reading and discarding the body of a refused request.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(2);

const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// A request that passed admission.
pub struct AdmittedRequest {
    /// Attributes that placement uses.
    pub ticket: RequestTicket,
    /// Request as it is sent to the upstream.
    pub content: RequestContent,
    /// Claim row; `None` for a repeatable request.
    pub claim: Option<RequestClaim>,
    /// Share of the body budget that the body occupies.
    pub reservation: BodyReservation,
}

/// Authenticates the caller, resolves the service and reads the body within the size limits.
pub async fn admit_request(
    context: &RouterContext,
    request: &mut Request,
) -> Result<AdmittedRequest, CallerRefusal> {
    let configuration = context.configuration.borrow().clone();
    let configuration = configuration
        .filter(|_| *context.ready.borrow() != ReadyState::Starting)
        .ok_or(CallerRefusal::not_run(RefusalReason::NotReady))?;
    if !context.fleet.status.borrow().takes_work {
        return Err(CallerRefusal::not_run(RefusalReason::CutOff));
    }
    let team = authenticate(&configuration, request.headers())?;
    let path = request.uri().path_and_query().map_or("/", |path| path.as_str()).to_owned();
    let (service_name, rest) = split_service(&path);
    let (service, entry) = configuration
        .checked
        .services
        .get_key_value(service_name)
        .ok_or(CallerRefusal::not_run(RefusalReason::UnknownService))?;
    let route = entry.route(&rest);
    let repeatable = is_repeatable(request.method(), route);
    let key = read_key(request.headers())?;
    let method = request.method().to_string();
    let mut headers = upstream_headers(request.headers());
    let (body, reservation) = read_body(context, request).await?;
    let id: RequestId = rand::random();
    let version = context.splits.borrow().get(service).map(|split| split.pick(id).clone());
    let route_name: RouteId = route.map_or_else(|| "".into(), |route| route.id.clone());
    let prefix_hash = if entry.kind == ServiceKind::Model { prefix_hash(&body) } else { None };
    let ticket = RequestTicket {
        id,
        team,
        service: service.clone(),
        route: route_name.clone(),
        version,
        repeatable,
        cost_hint: None,
        prefix_hash,
        run_alone: false,
        fingerprint: request_fingerprint(service, &route_name, &body),
    };
    if !repeatable && key.is_none() {
        let value = format_request_id(id).into();
        headers.push(HeaderField { name: IDEMPOTENCY_KEY.to_owned(), value });
    }
    let claim = (!repeatable).then(|| RequestClaim {
        key: claim_key(&ticket.team, &ticket.service, key.as_deref(), id),
        template: ClaimAttempt {
            attempt: 0,
            holder: context.settings.node.id.clone(),
            digest: request_digest(&method, &rest, &body),
            granted_at: SystemTime::now(),
        },
    });
    let content = RequestContent { method, path: rest, headers, body, key };
    Ok(AdmittedRequest { ticket, content, claim, reservation })
}

fn authenticate(
    configuration: &VersionedConfiguration,
    headers: &HeaderMap,
) -> Result<TeamId, CallerRefusal> {
    headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .and_then(|key| configuration.checked.team_of_key(key.trim()))
        .cloned()
        .ok_or(CallerRefusal::not_run(RefusalReason::UnknownKey))
}

/// Splits `/<service>/<path>` into the service name and the remaining path, which always starts
/// with a slash.
fn split_service(path: &str) -> (&str, String) {
    let path = path.strip_prefix('/').unwrap_or(path);
    let end = path.find(['/', '?']).unwrap_or(path.len());
    let (service, rest) = path.split_at(end);
    let rest = if rest.starts_with('/') { rest.to_owned() } else { format!("/{rest}") };
    (service, rest)
}

/// Returns the route's setting. Without a route, safe methods (RFC 9110, section 9.2.1) are
/// repeatable.
fn is_repeatable(method: &http::Method, route: Option<&RouteEntry>) -> bool {
    route.map_or_else(|| method.is_safe(), |route| route.repeatable)
}

fn read_key(headers: &HeaderMap) -> Result<Option<String>, CallerRefusal> {
    const MAX_KEY_LENGTH: usize = 200;
    let Some(value) = headers.get(IDEMPOTENCY_KEY) else { return Ok(None) };
    let malformed = CallerRefusal::not_run(RefusalReason::Malformed);
    let key = value.to_str().map_err(|_| malformed)?;
    let valid = !key.is_empty() && key.len() <= MAX_KEY_LENGTH;
    if valid { Ok(Some(key.to_owned())) } else { Err(malformed) }
}

/// Returns the end-to-end headers without the team's API key.
fn upstream_headers(headers: &HeaderMap) -> Vec<HeaderField> {
    let mut fields = forwarded_headers(headers);
    fields.retain(|field| field.name != header::AUTHORIZATION.as_str());
    fields
}

/// Reads the body after reserving space for its declared length, or for the largest allowed body
/// if the length is not declared.
async fn read_body(
    context: &RouterContext,
    request: &mut Request,
) -> Result<(bytes::Bytes, BodyReservation), CallerRefusal> {
    let limit = context.settings.limits.body_bytes;
    let too_large = CallerRefusal::not_run(RefusalReason::TooLarge);
    let expected =
        request.content_length().unwrap_or_else(|| length_without_header(request, limit));
    if expected > limit {
        discard_body(request, limit).await;
        return Err(too_large);
    }
    let overloaded = CallerRefusal::not_run(RefusalReason::Overloaded);
    let mut reservation = context.bodies.reserve(expected).ok_or(overloaded)?;
    let Ok(body) = request.incoming() else { return Ok((bytes::Bytes::new(), reservation)) };
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    match Limited::new(body, limit).collect().await {
        Ok(body) => {
            let body = body.to_bytes();
            reservation.shrink(body.len() as u64);
            Ok((body, reservation))
        }
        Err(error) if error.is::<LengthLimitError>() => Err(too_large),
        Err(_) => Err(CallerRefusal::not_run(RefusalReason::Malformed)),
    }
}

/// Reads and discards a refused body, up to twice the limit. Closing the connection while the
/// caller still writes would reset it, and the caller would not see the refusal.
async fn discard_body(request: &mut Request, limit: u64) {
    let Ok(mut body) = request.incoming() else { return };
    let reading = async {
        let mut read = 0;
        while let Some(Ok(frame)) = body.frame().await {
            read += frame.data_ref().map_or(0, |data| data.len() as u64);
            if read > 2 * limit {
                return;
            }
        }
    };
    // On a timeout the connection is closed: a caller that stops sending can read the refusal.
    let _ = tokio::time::timeout(DISCARD_TIMEOUT, reading).await;
}

/// Returns the space to reserve without a `Content-Length`: none for an empty body, else the limit.
fn length_without_header(request: &Request, limit: u64) -> u64 {
    if http_body::Body::is_end_stream(request.body()) { 0 } else { limit }
}
