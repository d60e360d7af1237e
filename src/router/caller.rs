//! HTTP server for callers: admits requests, waits for their placement and streams the answers.

use std::io;
use std::sync::Arc;
use std::time::Instant;

use bytes::BytesMut;
use futures::{StreamExt, stream};
use http::Version;
use http_body_util::Full;
use tokio::sync::mpsc;
use tokio_rustls::TlsAcceptor;
use viz::types::State;
use viz::{Body, Request, RequestExt, Response, Router, StatusCode};

use super::RouterContext;
use super::admit::{AdmittedRequest, admit_request};
use super::body_budget::BodyReservation;
use super::events::RouterEvent;
use super::observe::{RequestObserver, count_refusal};
use super::refusal::{CallerRefusal, RefusalReason};
use super::run::{RequestEnd, RequestIdentity, RequestRun};
use crate::daemon::add_probes;
use crate::decision::claim::ClaimOutcome;
use crate::headers::apply_headers;
use crate::ids::RequestId;
use crate::in_flight::InFlightGuard;
use crate::lifecycle::daemon::{ServingDaemon, StartingSlot};
use crate::protocol::{AnswerHead, replay_head};
use crate::server::{ListenerSlot, serve_callers};
use crate::supervisor::StopSignal;

/// Capacity of the notice channel to a caller's task; at most one grant is outstanding at a time.
const NOTICE_CAPACITY: usize = 4;

/// Maximum size of an answer that is passed on in one piece, in bytes.
const MAX_COLLECTED_BYTES: usize = 8 << 20;

/// Listener for callers.
pub struct CallerEndpoint {
    /// Bound listener.
    pub listener: ListenerSlot,
    /// TLS acceptor; `None` without TLS.
    pub acceptor: Option<TlsAcceptor>,
}

/// Serves callers until `stop` is cancelled, then drains.
pub async fn serve(
    context: Arc<RouterContext>,
    endpoint: CallerEndpoint,
    starting: StartingSlot,
    stop: StopSignal,
) -> eyre::Result<()> {
    let router = add_probes(Router::new(), context.ready.clone())
        .any("/*", handle)
        .with(State::new(Arc::clone(&context)));
    let accept = StopSignal::new();
    let server = serve_callers(endpoint.listener, endpoint.acceptor, router, accept.clone());
    let drain = async {
        let serving = start_serving(&context, &starting, &stop).await;
        stop.cancelled().await;
        let draining = serving.map(|serving| serving.drain(Instant::now()));
        tokio::time::sleep(context.settings.drain.delay).await;
        accept.cancel();
        context.in_flight.wait_idle().await;
        draining
    };
    let (served, draining) = tokio::join!(server, drain);
    served?;
    if let Some(draining) = draining {
        let stopped = draining.close(Instant::now());
        log::info!(drained_in:? = stopped.drained_in(); "all requests have ended");
    }
    Ok(())
}

/// Waits for the first configuration and marks the router as serving.
async fn start_serving(
    context: &RouterContext,
    starting: &StartingSlot,
    stop: &StopSignal,
) -> Option<ServingDaemon> {
    let starting = starting.lock().await.take()?;
    let mut configuration = context.configuration.subscribe();
    tokio::select! {
        _ = configuration.wait_for(Option::is_some) => {}
        () = stop.cancelled() => {}
    }
    Some(starting.serve())
}

async fn handle(mut request: Request) -> viz::Result<Response> {
    let context = context_of(&request)?;
    let arrived = Instant::now();
    let version = request.version();
    let admitted = match admit_request(&context, &mut request).await {
        Ok(admitted) => admitted,
        Err(refusal) => {
            count_refusal(&context, refusal.reason);
            return Ok(refusal.into_response());
        }
    };
    let observer = RequestObserver::new(&context, &admitted.ticket, arrived);
    Ok(match run_request(&context, admitted, version).await {
        Ok(response) => observer.observe_response(response),
        Err(refusal) => observer.finish_refused(refusal),
    })
}

/// Queues a request, waits for the head of its answer and returns a response that streams the body.
/// A caller of HTTP/1.0 gets the body in one piece: the end of a stream would be the end of its
/// connection, whether the answer is whole or not.
async fn run_request(
    context: &Arc<RouterContext>,
    admitted: AdmittedRequest,
    version: Version,
) -> Result<Response, CallerRefusal> {
    let in_flight = context.in_flight.enter();
    let (notices, notice_receiver) = mpsc::channel(NOTICE_CAPACITY);
    let AdmittedRequest { ticket, content, claim, reservation } = admitted;
    let identity = RequestIdentity::from(&ticket);
    let arrived = RouterEvent::RequestArrived { ticket, content, notices };
    if context.control.try_send(arrived).is_err() {
        return Err(CallerRefusal::not_run(RefusalReason::Overloaded));
    }
    let mut run = RequestRun::new(Arc::clone(context), identity, claim, notice_receiver);
    match run.head().await {
        Ok(head) if version == Version::HTTP_10 => collect_answer(context, run, head).await,
        Ok(head) => Ok(stream_answer(
            run,
            head,
            ResponseGuards { _in_flight: in_flight, _reservation: reservation },
        )),
        Err(RequestEnd::Refused(refusal)) => Err(refusal),
        Err(RequestEnd::Stored(outcome)) => stored_answer(outcome),
    }
}

/// Guards that a request holds until its answer has ended.
struct ResponseGuards {
    _in_flight: InFlightGuard,
    _reservation: BodyReservation,
}

/// Returns a response that streams the body of a run's answer.
fn stream_answer(run: RequestRun, head: AnswerHead, guards: ResponseGuards) -> Response {
    let body = stream::unfold(Some((run, guards)), |state| async move {
        let mut state = state?;
        match state.0.next_data().await {
            Ok(Some(bytes)) => Some((Ok(bytes), Some(state))),
            Ok(None) => None,
            // The error aborts the caller's connection, so that a truncated answer is not taken
            // for a complete one.
            Err(_) => Some((Err(io::Error::other("the answer was cut off")), None)),
        }
    });
    build_response(head, Body::from_stream(body.boxed()))
}

/// Returns a response with the whole body of a run's answer.
async fn collect_answer(
    context: &RouterContext,
    mut run: RequestRun,
    head: AnswerHead,
) -> Result<Response, CallerRefusal> {
    let too_large = || CallerRefusal::unknown(RefusalReason::UpstreamFailed);
    let mut body = BytesMut::new();
    let mut reservations = Vec::new();
    loop {
        match run.next_data().await {
            Ok(Some(bytes)) => {
                reservations
                    .push(context.bodies.reserve(bytes.len() as u64).ok_or_else(too_large)?);
                body.extend_from_slice(&bytes);
                if body.len() > MAX_COLLECTED_BYTES {
                    return Err(too_large());
                }
            }
            Ok(None) => return Ok(build_response(head, Body::from(Full::new(body.freeze())))),
            Err(RequestEnd::Refused(refusal)) => return Err(refusal),
            Err(RequestEnd::Stored(outcome)) => return stored_answer(outcome),
        }
    }
}

/// Returns the response for an outcome that is stored in the claim row.
fn stored_answer(outcome: ClaimOutcome) -> Result<Response, CallerRefusal> {
    match outcome {
        ClaimOutcome::Kept { status, headers, body } => {
            Ok(build_response(replay_head(status, headers), Body::from(Full::new(body))))
        }
        ClaimOutcome::NotKept { .. } => Err(CallerRefusal::has_run(RefusalReason::AnswerNotKept)),
    }
}

fn build_response(head: AnswerHead, body: Body) -> Response {
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(head.status).unwrap_or(StatusCode::BAD_GATEWAY);
    apply_headers(&head.headers, response.headers_mut());
    response
}

/// Reports the end of a request to the control thread, also when the caller's task is dropped.
pub struct RequestEndGuard {
    context: Arc<RouterContext>,
    request: RequestId,
}

impl RequestEndGuard {
    /// Creates the guard of a request.
    pub fn new(context: Arc<RouterContext>, request: RequestId) -> Self {
        Self { context, request }
    }
}

impl Drop for RequestEndGuard {
    fn drop(&mut self) {
        let (control, request) = (self.context.control.clone(), self.request);
        tokio::spawn(async move {
            let _ = control.send(RouterEvent::RequestEnded(request)).await;
        });
    }
}

fn context_of(request: &Request) -> viz::Result<Arc<RouterContext>> {
    request
        .state::<Arc<RouterContext>>()
        .ok_or_else(|| viz::IntoResponse::into_error(StatusCode::INTERNAL_SERVER_ERROR))
}
