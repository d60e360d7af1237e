//! One call of a caller over all its attempts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response, StatusCode, request, response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::sync::{OwnedSemaphorePermit, oneshot};

use super::GatewayContext;
use super::admit::CALL_UNITS;
use super::call_log::CallLog;
use super::edge::{AnswerFacts, CallDialect, CallHead, ForwardedCall, GatewayEdge, GatewayRefusal};
use super::event_frames::EventFrames;
use super::events::ControlEvent;
use super::grant_hold::GrantHold;
use super::pool::{LeasedConnection, SendError};
use super::relay::{AnswerBody, RelayStream, whole_body};
use crate::decision::direct::{
    ArrivingCall, BudgetCharge, CallGrant, CallOutcome, CallVerdict, RefusalCause,
};
use crate::ids::{CallFingerprint, CallId, RegionId, ServiceId, TeamId, UpstreamId};
use crate::lifecycle::call::{RunCall, SentCall, UnsentCall};
use crate::routing::{CallKind, RouteEntry};

/// Time after a call's deadline at which it is given up, so that an upstream's own answer at the
/// deadline still arrives.
const CUT_MARGIN: Duration = Duration::from_millis(60);

/// Sends of one call at most, those that no upstream saw included.
const SEND_LIMIT: u32 = 5;

/// Largest answer that is held whole, in bytes.
const WHOLE_ANSWER_LIMIT: usize = 8 << 20;

/// Idle time after which a connection is not used for a call that may run only once: a connection
/// that its upstream has just closed would leave the call's fate unknown.
const CAREFUL_IDLE_LIMIT: Duration = Duration::from_millis(1500);

/// Idle time after which a connection is not used for a call that may run again.
const USUAL_IDLE_LIMIT: Duration = Duration::from_secs(10);

/// Part of the time left after which a silent upstream is given up when another may run the call.
const SILENCE_PART: f64 = 0.4;

/// Shortest and longest such time.
const SILENCE_RANGE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1200));

/// What is known of a call before it is sent anywhere.
pub struct CallSubject {
    /// Identifier of the call at this router.
    pub id: CallId,
    /// Method, path and headers as the caller sent them.
    pub head: request::Parts,
    /// What they say.
    pub facts: CallHead,
    /// Route of the call.
    pub route: Arc<RouteEntry>,
    /// Service that takes it.
    pub service: ServiceId,
    /// Team that pays.
    pub team: Option<TeamId>,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Regions whose upstreams may run it; `None` when all may.
    pub homes: Option<Vec<RegionId>>,
    /// Whole body.
    pub body: Bytes,
    /// Memory that the body takes.
    pub space: Option<OwnedSemaphorePermit>,
    /// Hash of path, caller and body.
    pub fingerprint: CallFingerprint,
    /// When the head arrived.
    pub arrived: Instant,
}

/// Runs one call.
pub struct CallRun<E: GatewayEdge> {
    context: Arc<GatewayContext<E>>,
    subject: CallSubject,
    deadline: Instant,
    tried: Vec<UpstreamId>,
    sends: u32,
    resume_after: Option<String>,
    pub(super) log: CallLog,
}

/// An answer that arrives as a stream of events.
pub(super) struct RunningStream {
    pub(super) hold: GrantHold,
    pub(super) lease: LeasedConnection,
    pub(super) body: Incoming,
    pub(super) frames: EventFrames,
    pub(super) grant: CallGrant,
    pub(super) facts: AnswerFacts,
    pub(super) run: RunCall,
}

/// How one attempt ended.
pub(super) enum AttemptEnd {
    /// A whole answer.
    Whole(response::Parts, Bytes),
    /// The upstream did not run the call.
    Declined(UnsentCall, BudgetCharge),
    /// The upstream may have run the call; its answer, when it gave one, was a failure.
    Failed(RunCall, Option<(response::Parts, Bytes)>),
    /// The time is over.
    TimedOut,
    /// The head of an event stream.
    Stream(response::Parts, Box<RunningStream>),
}

/// A refusal by the control thread.
pub(super) struct PlaceRefusal {
    cause: RefusalCause,
    retry_after: Duration,
}

/// Tells the control thread when a caller leaves while its call waits.
struct WaitingGuard<'a, E: GatewayEdge> {
    context: &'a GatewayContext<E>,
    call: Option<CallId>,
}

impl<E: GatewayEdge> Drop for WaitingGuard<'_, E> {
    fn drop(&mut self) {
        if let Some(call) = self.call {
            self.context.tell(ControlEvent::Withdraw(call));
        }
    }
}

impl<E: GatewayEdge> CallRun<E> {
    /// Prepares the run of a call.
    pub fn new(context: Arc<GatewayContext<E>>, subject: CallSubject) -> Self {
        let time_left = subject.facts.time_left.unwrap_or(subject.route.timeout);
        let deadline = subject.arrived + time_left.min(subject.route.timeout);
        let log = CallLog::new(&subject, Arc::clone(&context.metrics));
        Self { context, subject, deadline, tried: Vec::new(), sends: 0, resume_after: None, log }
    }

    /// Sends the call until there is an answer for the caller.
    pub async fn answer(mut self) -> Response<AnswerBody> {
        let mut call = UnsentCall::default();
        let mut charge = BudgetCharge::First;
        let mut failure = None;
        loop {
            let grant = match self.place(charge).await {
                Ok(grant) => grant,
                Err(refusal) => return self.give_up(call, failure, &refusal),
            };
            match self.attempt(call.send(), grant).await {
                AttemptEnd::Whole(head, body) => return self.whole_answer(&head, body),
                AttemptEnd::TimedOut => return self.refuse(&GatewayRefusal::TimedOut),
                AttemptEnd::Declined(unsent, next) => {
                    call = unsent;
                    charge = next;
                }
                AttemptEnd::Failed(run, answer) => {
                    failure = answer.or(failure);
                    match run.repeat(&self.subject.route) {
                        Ok(unsent) => call = unsent,
                        Err(_) => return self.fail(failure),
                    }
                    charge = BudgetCharge::Retry;
                }
                AttemptEnd::Stream(head, stream) => {
                    return self.stream_answer(&head, *stream).await;
                }
            }
        }
    }

    /// Asks the control thread for an upstream.
    pub(super) async fn place(&mut self, charge: BudgetCharge) -> Result<CallGrant, PlaceRefusal> {
        let refused = |cause| PlaceRefusal { cause, retry_after: self.subject.route.objective / 4 };
        if self.sends >= SEND_LIMIT {
            return Err(refused(RefusalCause::NoCapacity));
        }
        let (reply, verdict) = oneshot::channel();
        let call = Box::new(self.arriving_call(charge));
        let asked = Instant::now();
        if self.context.control.try_send(ControlEvent::Arrive { call, reply }).is_err() {
            log::warn!(id = self.subject.id; "the control queue is full; the call is refused");
            return Err(refused(RefusalCause::NoCapacity));
        }
        let mut guard = WaitingGuard { context: &self.context, call: Some(self.subject.id) };
        let verdict = verdict.await;
        guard.call = None;
        drop(guard);
        self.log.placed(asked.elapsed());
        match verdict {
            Ok(CallVerdict::Send(grant)) => Ok(grant),
            Ok(CallVerdict::Refuse { cause, retry_after }) => {
                Err(PlaceRefusal { cause, retry_after })
            }
            // The control thread was restarted; nothing of the call is known to it any more.
            Err(_) => Err(refused(RefusalCause::NoCapacity)),
        }
    }

    fn arriving_call(&self, charge: BudgetCharge) -> ArrivingCall {
        let subject = &self.subject;
        ArrivingCall {
            id: subject.id,
            service: Arc::clone(&subject.service),
            team: subject.team.clone(),
            priority: subject.priority,
            homes: subject.homes.clone(),
            prompt: subject.facts.prompt.clone(),
            objective: subject.route.objective,
            arrived: subject.arrived,
            deadline: self.deadline,
            fingerprint: subject.fingerprint,
            tried: self.tried.clone(),
            charge,
        }
    }

    /// Sends the call to one upstream and takes its answer up to the first event.
    pub(super) async fn attempt(&mut self, call: SentCall, grant: CallGrant) -> AttemptEnd {
        self.sends += 1;
        self.tried.push(Arc::clone(&grant.upstream));
        self.log.sent(&grant);
        let hold = GrantHold::new(&self.context, grant.id, self.subject.arrived, self.objective());
        let idle_limit =
            if self.subject.route.may_retry() { USUAL_IDLE_LIMIT } else { CAREFUL_IDLE_LIMIT };
        let pool = &self.context.pool;
        let mut lease = match pool.lease(&grant.upstream, grant.address, idle_limit).await {
            Ok(lease) => lease,
            Err(error) => {
                log::warn!(
                    id = self.subject.id, upstream = &*grant.upstream; "call not sent: {error}"
                );
                hold.end(CallOutcome::Unreachable);
                return AttemptEnd::Declined(call.declined(), BudgetCharge::Free);
            }
        };
        let silent_at = self.silent_at();
        let request = self.upstream_request(&grant);
        let sending = tokio::time::timeout_at(silent_at.into(), lease.send(request));
        match sending.await {
            Err(_) => {
                hold.end(CallOutcome::Silent);
                if self.is_over() {
                    AttemptEnd::TimedOut
                } else {
                    AttemptEnd::Failed(call.run(), None)
                }
            }
            Ok(Err(SendError::Unsent)) => {
                hold.end(CallOutcome::Unsent);
                self.tried.pop();
                AttemptEnd::Declined(call.declined(), BudgetCharge::Free)
            }
            Ok(Err(SendError::Broken(error))) => {
                self.log_broken(&grant, &lease, &error);
                hold.end(CallOutcome::Broken);
                AttemptEnd::Failed(call.run(), None)
            }
            Ok(Ok(answer)) => self.take_answer(call, grant, hold, lease, answer).await,
        }
    }

    fn log_broken(&self, grant: &CallGrant, lease: &LeasedConnection, error: &hyper::Error) {
        log::warn!(
            id = self.subject.id, attempt = self.subject.facts.attempt,
            upstream = &*grant.upstream, reused = lease.is_reused();
            "connection ended before the answer: {error}"
        );
    }

    async fn take_answer(
        &mut self,
        call: SentCall,
        grant: CallGrant,
        hold: GrantHold,
        lease: LeasedConnection,
        answer: Response<Incoming>,
    ) -> AttemptEnd {
        let (head, body) = answer.into_parts();
        let facts = self.context.edge.dialect().read_answer(&head);
        let crossed =
            facts.attempt.as_ref().is_some_and(|attempt| *attempt != self.subject.facts.attempt);
        if crossed {
            log::warn!(
                id = self.subject.id, upstream = &*grant.upstream, answers:? = facts.attempt;
                "dropped an answer that belongs to another call"
            );
            hold.end(CallOutcome::Broken);
            return AttemptEnd::Failed(call.run(), None);
        }
        let is_stream = self.subject.route.kind == CallKind::Stream;
        if is_stream && head.status.is_success() && facts.signed {
            self.release_body();
            let frames = EventFrames::default();
            let run = call.run();
            let stream = RunningStream { hold, lease, body, frames, grant, facts, run };
            return AttemptEnd::Stream(head, Box::new(stream));
        }
        let whole = Limited::new(body, WHOLE_ANSWER_LIMIT).collect();
        let body = match tokio::time::timeout_at(self.cut_at().into(), whole).await {
            Err(_) => {
                hold.end(CallOutcome::Silent);
                return AttemptEnd::TimedOut;
            }
            Ok(Err(error)) => {
                log::warn!(
                    id = self.subject.id, upstream = &*grant.upstream; "answer ended early: {error}"
                );
                hold.end(CallOutcome::Broken);
                return AttemptEnd::Failed(call.run(), None);
            }
            Ok(Ok(collected)) => collected.to_bytes(),
        };
        self.context.pool.release(lease, grant.address, facts.idle_limit);
        self.judge_answer(call, hold, &facts, head, body)
    }

    /// Gives the body's memory back once the call runs and cannot run again.
    fn release_body(&mut self) {
        if self.subject.route.may_retry() {
            return;
        }
        self.subject.body = Bytes::new();
        if let Some(space) = &mut self.subject.space {
            drop(space.split(space.num_permits().saturating_sub(CALL_UNITS)));
        }
    }

    /// Decides what a whole answer means for the call.
    fn judge_answer(
        &mut self,
        call: SentCall,
        hold: GrantHold,
        facts: &AnswerFacts,
        head: response::Parts,
        body: Bytes,
    ) -> AttemptEnd {
        if facts.misdirected {
            hold.end(CallOutcome::Misdirected);
            return AttemptEnd::Declined(call.declined(), BudgetCharge::Retry);
        }
        if facts.not_run {
            hold.end(CallOutcome::Declined);
            return AttemptEnd::Declined(call.declined(), BudgetCharge::Retry);
        }
        let usable = !head.status.is_success() || facts.signed;
        if !usable || states_not_run(head.status) {
            hold.end(CallOutcome::Failed);
            return AttemptEnd::Failed(call.run(), None);
        }
        if head.status.is_server_error() {
            hold.end(CallOutcome::Failed);
            return AttemptEnd::Failed(call.run(), Some((head, body)));
        }
        hold.end(CallOutcome::Completed);
        AttemptEnd::Whole(head, body)
    }

    fn upstream_request(&self, grant: &CallGrant) -> Request<Full<Bytes>> {
        let subject = &self.subject;
        let call = ForwardedCall {
            upstream: &grant.upstream,
            team: subject.team.as_deref(),
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            resume_after: self.resume_after.as_deref(),
            body_length: subject.body.len(),
        };
        let mut request = Request::new(Full::new(subject.body.clone()));
        *request.method_mut() = subject.head.method.clone();
        *request.uri_mut() = subject.head.uri.clone();
        *request.headers_mut() = self.context.edge.dialect().forward_headers(&subject.head, &call);
        request
    }

    /// Answers a call that gets no upstream.
    fn give_up(
        &mut self,
        call: UnsentCall,
        failure: Option<(response::Parts, Bytes)>,
        refusal: &PlaceRefusal,
    ) -> Response<AnswerBody> {
        match call.refuse() {
            Ok(_not_run) => self.refuse(&GatewayRefusal::NotRun {
                cause: refusal.cause,
                retry_after: refusal.retry_after,
            }),
            Err(_) => self.fail(failure),
        }
    }

    /// Answers a call whose attempts failed.
    fn fail(&mut self, failure: Option<(response::Parts, Bytes)>) -> Response<AnswerBody> {
        match failure {
            Some((head, body)) => self.whole_answer(&head, body),
            None => self.refuse(&GatewayRefusal::UpstreamFailed),
        }
    }

    fn whole_answer(&mut self, head: &response::Parts, body: Bytes) -> Response<AnswerBody> {
        self.log.answered(head.status, self.objective());
        let mut answer = Response::new(whole_body(body));
        *answer.status_mut() = head.status;
        *answer.headers_mut() = self.context.edge.dialect().answer_headers(head);
        answer
    }

    /// Waits for the first event, so that a stream that breaks before it can run elsewhere.
    async fn stream_answer(
        self,
        head: &response::Parts,
        stream: RunningStream,
    ) -> Response<AnswerBody> {
        let headers = self.context.edge.dialect().answer_headers(head);
        let mut relay = RelayStream::new(self, stream);
        let first = match relay.next_piece().await {
            Some(Ok(first)) => first,
            Some(Err(error)) => return relay.into_run().refuse(&error.into()),
            None => Bytes::new(),
        };
        let mut answer = Response::new(relay.into_body(first));
        *answer.status_mut() = head.status;
        *answer.headers_mut() = headers;
        answer
    }

    fn refuse(&mut self, refusal: &GatewayRefusal) -> Response<AnswerBody> {
        self.log.refused(refusal);
        self.context.edge.dialect().refuse(refusal).map(whole_body)
    }

    /// Lets a stream go on after the last event that its caller has.
    pub(super) fn resume_after(&mut self, event: Option<&str>) {
        if let Some(event) = event {
            self.resume_after = Some(event.to_owned());
        }
    }

    pub(super) fn context(&self) -> &GatewayContext<E> {
        &self.context
    }

    pub(super) fn route(&self) -> &RouteEntry {
        &self.subject.route
    }

    pub(super) fn id(&self) -> CallId {
        self.subject.id
    }

    pub(super) fn objective(&self) -> Duration {
        self.subject.route.objective
    }

    pub(super) fn cut_at(&self) -> Instant {
        self.deadline + CUT_MARGIN
    }

    fn is_over(&self) -> bool {
        Instant::now() >= self.deadline
    }

    /// When an upstream that has sent nothing is given up.
    fn silent_at(&self) -> Instant {
        let cut = self.cut_at();
        let route = &self.subject.route;
        if !route.may_retry() || self.sends >= route.attempts {
            return cut;
        }
        let now = Instant::now();
        let left = self.deadline.saturating_duration_since(now);
        let least = SILENCE_RANGE.0.max(route.objective);
        let patience = left.mul_f64(SILENCE_PART).max(least).min(SILENCE_RANGE.1.max(least));
        (now + patience).min(cut)
    }
}

/// Statuses that promise callers that a call has not run; an upstream that does not say so itself
/// cannot make that promise.
fn states_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
