//! Runs a caller's call over all its attempts.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use derive_more::Display;
use http::{Request, Response, StatusCode, request, response};
use http_body_util::{BodyExt, Full};
use hyper::body::{Frame, Incoming};
use tokio::sync::{OwnedSemaphorePermit, oneshot};

use super::GatewayContext;
use super::adapter::{
    AnswerMetadata, CallCodec, CallMetadata, ForwardedCall, GatewayAdapter, GatewayRefusal,
};
use super::admit::CALL_MEMORY_UNITS;
use super::answer_body::{AnswerError, BodyEnd, collect_answer, has_buffered_length};
use super::buffer_memory::BufferMemory;
use super::call_log::CallLog;
use super::event_frames::EventFrames;
use super::events::ControlEvent;
use super::grant_guard::GrantGuard;
use super::pool::{LeasedConnection, SendError};
use super::relay::{AnswerBody, RelayStream, full_body};
use crate::answer_checks::is_final;
use crate::decision::direct::{
    BudgetCharge, CallDecision, CallGrant, CallOutcome, PendingCall, PlannedSend, RefusalCause,
};
use crate::ids::{CallFingerprint, CallId, RegionId, ServiceId, TeamId, UpstreamId};
use crate::lifecycle::call::{ExecutedCall, SentCall, UnsentCall};
use crate::routing::{CallKind, RouteEntry};

/// Time after a call's deadline until which the router waits, so that an answer which the upstream
/// gives at the deadline still arrives.
const DEADLINE_MARGIN: Duration = Duration::from_millis(60);

/// Maximum number of sends of one call, including those that reached no upstream.
const MAX_SENDS: u32 = 5;

/// Idle time after which a connection is not reused for a call that may run only once: if the
/// upstream has just closed it, it would stay unknown whether the call ran.
const AT_MOST_ONCE_IDLE_LIMIT: Duration = Duration::from_millis(1500);

/// Idle time after which a connection is not reused for a call that may run again.
const RETRYABLE_IDLE_LIMIT: Duration = Duration::from_secs(10);

/// Fraction of the remaining time after which a silent upstream is given up when the call may run
/// at another one.
const SILENCE_FRACTION: f64 = 0.4;

/// Shortest and longest of these times.
const SILENCE_RANGE: (Duration, Duration) =
    (Duration::from_millis(150), Duration::from_millis(1200));

/// A call that was admitted and not sent yet.
pub struct AdmittedCall {
    /// Identifier of the call at this router.
    pub id: CallId,
    /// Method, path and headers as the caller sent them.
    pub head: request::Parts,
    /// Metadata of the head.
    pub metadata: CallMetadata,
    /// Route of the call.
    pub route: Arc<RouteEntry>,
    /// Service that runs the call.
    pub service: ServiceId,
    /// Team that the call is accounted to.
    pub team: Option<TeamId>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Regions whose upstreams may run it; `None` when all may.
    pub homes: Option<Vec<RegionId>>,
    /// Complete body.
    pub body: Bytes,
    /// Reservation of the memory for the body.
    pub memory: Option<OwnedSemaphorePermit>,
    /// Hash of path, key and body.
    pub fingerprint: CallFingerprint,
    /// When the head arrived.
    pub arrived: Instant,
}

/// Runs one call.
pub struct CallRun<A: GatewayAdapter> {
    context: Arc<GatewayContext<A>>,
    admitted: AdmittedCall,
    deadline: Instant,
    tried: Vec<UpstreamId>,
    sends: u32,
    resume_after: Option<String>,
    pub(super) log: CallLog,
}

/// An answer that is received as an event stream.
pub(super) struct RunningStream {
    pub(super) guard: GrantGuard,
    pub(super) lease: LeasedConnection,
    pub(super) body: Incoming,
    pub(super) frames: EventFrames,
    pub(super) end: BodyEnd,
    pub(super) grant: CallGrant,
    pub(super) metadata: AnswerMetadata,
    pub(super) run: ExecutedCall,
}

/// What a stream brings next.
pub(super) enum StreamPart {
    /// A part of its body.
    Frame(Frame<Bytes>),
    /// The end of the whole stream.
    End,
    /// The end of a stream that was broken off.
    Broken,
}

impl RunningStream {
    /// Receives the next part of the stream.
    pub(super) async fn next_part(&mut self) -> StreamPart {
        match self.body.frame().await {
            Some(Ok(frame)) => StreamPart::Frame(frame),
            None if self.ends_whole().await => StreamPart::End,
            None | Some(Err(_)) => StreamPart::Broken,
        }
    }

    /// Returns whether the end of the body is the end of the stream. A body without framing also
    /// ends when its upstream does, so such a stream is broken without an event, and if its
    /// connection does not end in order.
    async fn ends_whole(&mut self) -> bool {
        if self.frames.has_partial() {
            return false;
        }
        match self.end {
            BodyEnd::Framing => true,
            BodyEnd::Connection => {
                self.guard.first_event_seen() && self.lease.confirm_end().await.is_ok()
            }
        }
    }
}

/// Outcome of one attempt.
pub(super) enum AttemptOutcome {
    /// A complete answer.
    Complete(response::Parts, Bytes),
    /// The upstream did not run the call.
    Declined(UnsentCall, BudgetCharge),
    /// The upstream may have run the call; it gave no answer or a failure.
    Failed(ExecutedCall, Option<(response::Parts, Bytes)>),
    /// The deadline has passed.
    TimedOut,
    /// The head of an event stream.
    Stream(response::Parts, Box<RunningStream>),
}

/// Why the head of an answer is not passed on.
#[derive(Clone, Copy, Debug, Display)]
enum AnswerProblem {
    /// Its status ends no call.
    #[display("no call ends with the status {_0:?}")]
    NoFinalStatus(StatusCode),
    /// It names another call, or says of an unnamed one that it has not run.
    #[display("it may belong to another call")]
    OtherCall,
}

/// A refusal by the control thread.
pub(super) struct PlacementRefusal {
    cause: RefusalCause,
    retry_after: Duration,
}

impl PlacementRefusal {
    /// Refusal by a router that shuts down. Another one may take the call at once.
    const LEAVING: Self = Self { cause: RefusalCause::Leaving, retry_after: Duration::ZERO };
}

/// Cancels a pending call at the control thread when its caller leaves.
struct WaitingGuard<'a, A: GatewayAdapter> {
    context: &'a GatewayContext<A>,
    call: Option<CallId>,
}

impl<A: GatewayAdapter> Drop for WaitingGuard<'_, A> {
    fn drop(&mut self) {
        if let Some(call) = self.call {
            self.context.send_event(ControlEvent::Cancel(call));
        }
    }
}

impl<A: GatewayAdapter> CallRun<A> {
    /// Creates the run of a call.
    pub fn new(context: Arc<GatewayContext<A>>, admitted: AdmittedCall) -> Self {
        let time_left = admitted.metadata.time_left.unwrap_or(admitted.route.timeout);
        let deadline = admitted.arrived + time_left.min(admitted.route.timeout);
        let log = CallLog::new(&admitted, Arc::clone(&context.metrics));
        Self { context, admitted, deadline, tried: Vec::new(), sends: 0, resume_after: None, log }
    }

    /// Attempts the call until there is an answer for the caller.
    pub async fn answer(mut self) -> Response<AnswerBody> {
        let mut call = UnsentCall::default();
        let mut charge = BudgetCharge::First;
        let mut failure = None;
        loop {
            let grant = match self.request_grant(charge).await {
                Ok(grant) => grant,
                Err(refusal) => return self.answer_unplaced(call, failure, &refusal),
            };
            match self.attempt(call.send(), grant).await {
                AttemptOutcome::Complete(head, body) => return self.complete_answer(&head, body),
                AttemptOutcome::TimedOut => return self.refuse(&GatewayRefusal::TimedOut),
                AttemptOutcome::Declined(unsent, next) => {
                    call = unsent;
                    charge = next;
                }
                AttemptOutcome::Failed(run, answer) => {
                    failure = answer.or(failure);
                    match run.repeat(&self.admitted.route) {
                        Ok(unsent) => call = unsent,
                        Err(_) => return self.fail(failure),
                    }
                    charge = BudgetCharge::Retry;
                }
                AttemptOutcome::Stream(head, stream) => {
                    return self.stream_answer(&head, *stream).await;
                }
            }
        }
    }

    /// Requests a grant from the control thread.
    pub(super) async fn request_grant(
        &mut self,
        charge: BudgetCharge,
    ) -> Result<CallGrant, PlacementRefusal> {
        let refused =
            |cause| PlacementRefusal { cause, retry_after: self.admitted.route.objective / 4 };
        if !self.may_send(self.sends == 0) {
            return Err(PlacementRefusal::LEAVING);
        }
        if self.sends >= MAX_SENDS {
            return Err(refused(RefusalCause::NoCapacity));
        }
        let (reply, decision) = oneshot::channel();
        let call = Box::new(self.pending_call(charge));
        let requested_at = Instant::now();
        if self.context.control.try_send(ControlEvent::Place { call, reply }).is_err() {
            log::warn!(id = self.admitted.id; "the control queue is full; the call is refused");
            return Err(refused(RefusalCause::NoCapacity));
        }
        let mut guard = WaitingGuard { context: &self.context, call: Some(self.admitted.id) };
        let decision = tokio::select! {
            decision = decision => decision,
            () = self.context.answers_due.cancelled() => return Err(PlacementRefusal::LEAVING),
        };
        guard.call = None;
        drop(guard);
        self.log.record_placement(requested_at.elapsed());
        match decision {
            Ok(CallDecision::Send(grant)) => Ok(grant),
            Ok(CallDecision::Refuse { cause, retry_after }) => {
                Err(PlacementRefusal { cause, retry_after })
            }
            // The control thread was restarted and no longer knows the call.
            Err(_) => Err(refused(RefusalCause::NoCapacity)),
        }
    }

    fn pending_call(&self, charge: BudgetCharge) -> PendingCall {
        let admitted = &self.admitted;
        PendingCall {
            id: admitted.id,
            route: Arc::clone(&admitted.route.name),
            service: Arc::clone(&admitted.service),
            team: admitted.team.clone(),
            priority: admitted.priority,
            homes: admitted.homes.clone(),
            prompt: admitted.metadata.prompt.clone(),
            objective: admitted.route.objective,
            arrived: admitted.arrived,
            deadline: self.deadline,
            fingerprint: admitted.fingerprint,
            tried: self.tried.clone(),
            charge,
        }
    }

    /// Sends the call to one upstream and receives its answer, for a stream only the head.
    pub(super) async fn attempt(&mut self, call: SentCall, grant: CallGrant) -> AttemptOutcome {
        let is_first = self.sends == 0;
        self.sends += 1;
        self.tried.push(Arc::clone(&grant.upstream));
        self.log.record_send(&grant);
        let mut guard =
            GrantGuard::new(&self.context, grant.id, self.admitted.arrived, self.objective());
        let idle_limit = if self.admitted.route.may_retry() {
            RETRYABLE_IDLE_LIMIT
        } else {
            AT_MOST_ONCE_IDLE_LIMIT
        };
        let pool = &self.context.pool;
        let mut lease = match pool.lease(&grant.upstream, grant.address, idle_limit).await {
            Ok(lease) => lease,
            Err(error) => {
                log::warn!(
                    id = self.admitted.id, upstream = &*grant.upstream; "call not sent: {error}"
                );
                guard.end(CallOutcome::Unreachable);
                return AttemptOutcome::Declined(call.declined(), BudgetCharge::Free);
            }
        };
        if !self.may_send(is_first) {
            guard.end(CallOutcome::Unsent);
            return AttemptOutcome::Declined(call.declined(), BudgetCharge::Free);
        }
        let response_deadline = self.response_deadline();
        let request = self.upstream_request(&grant);
        guard.record_send();
        match self.wait_until(response_deadline, lease.send(request)).await {
            None => {
                guard.end(self.timeout_outcome());
                if self.is_past_deadline() {
                    AttemptOutcome::TimedOut
                } else {
                    AttemptOutcome::Failed(call.executed(), None)
                }
            }
            Some(Err(SendError::Unsent)) => {
                guard.end(CallOutcome::Unsent);
                self.tried.pop();
                AttemptOutcome::Declined(call.declined(), BudgetCharge::Free)
            }
            Some(Err(SendError::Broken(error))) => {
                self.log_broken(&grant, &lease, &error);
                guard.end(CallOutcome::Broken);
                AttemptOutcome::Failed(call.executed(), None)
            }
            Some(Ok(answer)) => self.receive_answer(call, grant, guard, lease, answer).await,
        }
    }

    /// Returns whether the call may be sent, as far as a shutdown of this router concerns it.
    fn may_send(&self, is_first: bool) -> bool {
        let Some(schedule) = self.context.drain.get() else { return true };
        let kind = self.admitted.route.kind;
        let send = PlannedSend { kind, is_first, ends_by: self.final_deadline() };
        schedule.allows(&send, Instant::now())
    }

    /// Waits for an upstream until a deadline, or until the shutdown of this router requires an
    /// answer to the caller.
    async fn wait_until<F: Future>(&self, deadline: Instant, future: F) -> Option<F::Output> {
        tokio::select! {
            output = tokio::time::timeout_at(deadline.into(), future) => output.ok(),
            () = self.context.answers_due.cancelled() => None,
        }
    }

    /// Returns the outcome of a call whose upstream did not answer in time. The end of this router
    /// says nothing about the upstream.
    fn timeout_outcome(&self) -> CallOutcome {
        if self.context.answers_due.is_cancelled() {
            CallOutcome::Abandoned
        } else {
            CallOutcome::Silent
        }
    }

    fn log_broken(&self, grant: &CallGrant, lease: &LeasedConnection, error: &hyper::Error) {
        log::warn!(
            id = self.admitted.id, attempt = self.admitted.metadata.attempt,
            upstream = &*grant.upstream, reused = lease.is_reused();
            "connection ended before the answer: {error}"
        );
    }

    async fn receive_answer(
        &mut self,
        call: SentCall,
        grant: CallGrant,
        mut guard: GrantGuard,
        mut lease: LeasedConnection,
        answer: Response<Incoming>,
    ) -> AttemptOutcome {
        let (head, body) = answer.into_parts();
        let metadata = self.context.adapter.codec().read_answer(&head);
        if let Err(problem) = self.check_answer(head.status, &metadata, &lease) {
            log::warn!(
                id = self.admitted.id, upstream = &*grant.upstream, answers:? = metadata.attempt;
                "dropped an answer: {problem}"
            );
            guard.end(CallOutcome::Broken);
            return AttemptOutcome::Failed(call.executed(), None);
        }
        if self.is_certain_answer(&metadata, &lease) {
            guard.record_statements(self.admitted.id, &metadata, head.status);
        }
        let end = BodyEnd::of(&head, &body);
        let is_stream = self.admitted.route.kind == CallKind::Stream;
        if is_stream && head.status.is_success() && metadata.signed {
            self.release_body();
            let frames = EventFrames::default();
            let run = call.executed();
            let stream = RunningStream { guard, lease, body, frames, end, grant, metadata, run };
            return AttemptOutcome::Stream(head, Box::new(stream));
        }
        let has_length = has_buffered_length(&body);
        let mut memory = BufferMemory::new(&self.context);
        let collecting = collect_answer(body, end, &mut lease, &mut memory);
        let body = match self.wait_until(self.final_deadline(), collecting).await {
            None => {
                guard.end(self.timeout_outcome());
                return AttemptOutcome::TimedOut;
            }
            Some(Err(error)) => {
                log::warn!(
                    id = self.admitted.id, upstream = &*grant.upstream;
                    "answer ended early: {error}"
                );
                // A shortage of memory at this router says nothing about an upstream whose answer has
                // a length within the limit. One without may be endless, and the cause.
                let is_own_fault = has_length && matches!(error, AnswerError::NoMemory(_));
                guard.end(if is_own_fault { CallOutcome::Abandoned } else { CallOutcome::Broken });
                return AttemptOutcome::Failed(call.executed(), None);
            }
            Some(Ok(body)) => memory.attach(body),
        };
        self.context.pool.release(lease, grant.address, metadata.idle_limit);
        self.classify_answer(call, guard, &metadata, head, body)
    }

    /// Checks that an answer is one, and belongs to this call.
    fn check_answer(
        &self,
        status: StatusCode,
        answer: &AnswerMetadata,
        lease: &LeasedConnection,
    ) -> Result<(), AnswerProblem> {
        if !is_final(status) {
            Err(AnswerProblem::NoFinalStatus(status))
        } else if !self.is_answered_by(answer, lease) {
            Err(AnswerProblem::OtherCall)
        } else {
            Ok(())
        }
    }

    /// Returns whether an answer belongs to this call. On a connection with earlier answers, a
    /// statement that the call did not run has to name it, since it may be an earlier one that the
    /// upstream wrote once more.
    fn is_answered_by(&self, answer: &AnswerMetadata, lease: &LeasedConnection) -> bool {
        match &answer.attempt {
            Some(attempt) => *attempt == self.admitted.metadata.attempt,
            None => !(answer.not_run && lease.is_reused()),
        }
    }

    /// Returns whether an answer belongs to this call without doubt: it names it, or is the first one
    /// on its connection.
    fn is_certain_answer(&self, answer: &AnswerMetadata, lease: &LeasedConnection) -> bool {
        answer.attempt.is_some() || !lease.is_reused()
    }

    /// Releases the memory of the body once the call runs and cannot run again.
    fn release_body(&mut self) {
        if self.admitted.route.may_retry() {
            return;
        }
        self.admitted.body = Bytes::new();
        if let Some(memory) = &mut self.admitted.memory {
            drop(memory.split(memory.num_permits().saturating_sub(CALL_MEMORY_UNITS)));
        }
    }

    /// Classifies a complete answer.
    fn classify_answer(
        &mut self,
        call: SentCall,
        guard: GrantGuard,
        metadata: &AnswerMetadata,
        head: response::Parts,
        body: Bytes,
    ) -> AttemptOutcome {
        if metadata.misdirected {
            guard.end(CallOutcome::Misdirected);
            return AttemptOutcome::Declined(call.declined(), BudgetCharge::Retry);
        }
        if metadata.not_run {
            guard.end(CallOutcome::Declined);
            return AttemptOutcome::Declined(call.declined(), BudgetCharge::Retry);
        }
        let usable = !head.status.is_success() || metadata.signed;
        if !usable || implies_not_run(head.status) {
            guard.end(CallOutcome::Failed);
            return AttemptOutcome::Failed(call.executed(), None);
        }
        if head.status.is_server_error() {
            guard.end(CallOutcome::Failed);
            return AttemptOutcome::Failed(call.executed(), Some((head, body)));
        }
        guard.end(CallOutcome::Completed);
        AttemptOutcome::Complete(head, body)
    }

    fn upstream_request(&self, grant: &CallGrant) -> Request<Full<Bytes>> {
        let admitted = &self.admitted;
        let call = ForwardedCall {
            upstream: &grant.upstream,
            team: admitted.team.as_deref(),
            time_left: self.deadline.saturating_duration_since(Instant::now()),
            resume_after: self.resume_after.as_deref(),
            body_length: admitted.body.len(),
        };
        let mut request = Request::new(Full::new(admitted.body.clone()));
        *request.method_mut() = admitted.head.method.clone();
        *request.uri_mut() = admitted.head.uri.clone();
        *request.headers_mut() =
            self.context.adapter.codec().forward_headers(&admitted.head, &call);
        request
    }

    /// Answers a call that gets no grant: as not run if that is certain, otherwise as failed.
    fn answer_unplaced(
        &mut self,
        call: UnsentCall,
        failure: Option<(response::Parts, Bytes)>,
        refusal: &PlacementRefusal,
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
            Some((head, body)) => self.complete_answer(&head, body),
            None => self.refuse(&GatewayRefusal::UpstreamFailed),
        }
    }

    fn complete_answer(&mut self, head: &response::Parts, body: Bytes) -> Response<AnswerBody> {
        self.log.record_answer(head.status, self.objective());
        let mut answer = Response::new(full_body(body));
        *answer.status_mut() = head.status;
        *answer.headers_mut() = self.context.adapter.codec().answer_headers(head);
        answer
    }

    /// Waits for the first event before answering, so that a stream that breaks earlier can run at
    /// another upstream.
    async fn stream_answer(
        self,
        head: &response::Parts,
        stream: RunningStream,
    ) -> Response<AnswerBody> {
        let headers = self.context.adapter.codec().answer_headers(head);
        let mut relay = RelayStream::new(self, stream);
        let first = match relay.next_events().await {
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
        self.log.record_refusal(refusal);
        self.context.adapter.codec().refuse(refusal).map(full_body)
    }

    /// Sets the last event that the caller has received, after which a stream is resumed.
    pub(super) fn resume_after(&mut self, event: Option<&str>) {
        if let Some(event) = event {
            self.resume_after = Some(event.to_owned());
        }
    }

    /// Records the writes of a stream that ended, for the cost of later calls.
    pub(super) fn record_stream_cost(&self, writes: u32) {
        if let Some(prompt) = &self.admitted.metadata.prompt {
            self.context.admission.control().record_stream(prompt.tokens_out, writes);
        }
    }

    pub(super) fn context(&self) -> &GatewayContext<A> {
        &self.context
    }

    pub(super) fn route(&self) -> &RouteEntry {
        &self.admitted.route
    }

    pub(super) fn id(&self) -> CallId {
        self.admitted.id
    }

    pub(super) fn objective(&self) -> Duration {
        self.admitted.route.objective
    }

    pub(super) fn final_deadline(&self) -> Instant {
        self.deadline + DEADLINE_MARGIN
    }

    /// Returns whether no time is left for another attempt.
    fn is_past_deadline(&self) -> bool {
        self.context.answers_due.is_cancelled() || Instant::now() >= self.deadline
    }

    /// Returns when an upstream that has not responded is given up.
    fn response_deadline(&self) -> Instant {
        let deadline = self.final_deadline();
        let route = &self.admitted.route;
        if !route.may_retry() || self.sends >= route.attempts {
            return deadline;
        }
        let now = Instant::now();
        let remaining = self.deadline.saturating_duration_since(now);
        let min_wait = SILENCE_RANGE.0.max(route.objective);
        let wait =
            remaining.mul_f64(SILENCE_FRACTION).max(min_wait).min(SILENCE_RANGE.1.max(min_wait));
        (now + wait).min(deadline)
    }
}

/// Returns whether a status tells callers that the call has not run. Only the upstream's own
/// statement can confirm that.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
