//! Life of one caller's request over all its attempts, from its arrival to the end of its answer.
//!
//! A failed attempt is followed by another only if the retry policy allows it. A rerun after part
//! of the answer was delivered must reproduce exactly that part; otherwise the caller's connection
//! is aborted.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use xxhash_rust::xxh3::Xxh3;

use super::RouterContext;
use super::caller::RequestEndGuard;
use super::events::{CallerNotice, RouterEvent};
use super::refusal::{CallerRefusal, RefusalReason};
use super::relay::{AnswerRelay, RelayEvent, RelayFailure};
use super::version_call::RunningCall;
use crate::decision::claim::{ClaimAttempt, ClaimOutcome};
use crate::decision::claim_cancel::{CancelOutcome, CancellingClaim};
use crate::decision::retry::{
    AttemptFailure, RetryCandidate, RetryDecision, RunEvidence, RunHistory, backoff_after,
};
use crate::ids::{AttemptId, RequestId, RouteId, ServiceId, TeamId, UpstreamId, format_request_id};
use crate::lifecycle::request::RequestTicket;
use crate::metrics::catalogue;
use crate::protocol::{AnswerHead, RunFailure, RunRefusal, RunState};
use crate::store::ClaimKey;

/// Time limit for resolving the outcome of a lost attempt through its claim row.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(10);

/// The claim row of a non-repeatable request.
#[derive(Clone, Debug)]
pub struct RequestClaim {
    /// Key of the row in the table service.
    pub key: ClaimKey,
    /// Contents of a cancellation by the router; the attempt id is filled in for each attempt.
    pub template: ClaimAttempt,
}

/// End of a request other than the answer of its last attempt.
#[derive(Debug)]
pub enum RequestEnd {
    /// The request is refused or has failed.
    Refused(CallerRefusal),
    /// The outcome of an earlier run was found in the claim row.
    Stored(ClaimOutcome),
}

/// Verification that a rerun reproduces the bytes that were already delivered.
struct ReplayCheck {
    position: u64,
    hash: Box<Xxh3>,
}

/// Identifies a request in log lines and in the comparison of versions.
#[derive(Clone, Debug)]
pub struct RequestIdentity {
    id: RequestId,
    team: TeamId,
    service: ServiceId,
    route: RouteId,
}

impl From<&RequestTicket> for RequestIdentity {
    fn from(ticket: &RequestTicket) -> Self {
        Self {
            id: ticket.id,
            team: ticket.team.clone(),
            service: ticket.service.clone(),
            route: ticket.route.clone(),
        }
    }
}

/// A request with the state of its current attempt.
pub struct RequestRun {
    context: Arc<RouterContext>,
    identity: RequestIdentity,
    /// Upstream of the current attempt.
    agent: Option<UpstreamId>,
    claim: Option<RequestClaim>,
    notices: mpsc::Receiver<CallerNotice>,
    _end_guard: RequestEndGuard,
    relay: Option<AnswerRelay>,
    attempt: AttemptId,
    attempts: u32,
    deadline: Instant,
    head: Option<AnswerHead>,
    delivered: u64,
    delivered_hash: Box<Xxh3>,
    replay: Option<ReplayCheck>,
    history: RunHistory,
    /// The current attempt in the comparison of versions.
    call: Option<RunningCall>,
}

impl RequestRun {
    /// Creates the run of a request that was passed to the control thread. `claim` is `None` for a
    /// repeatable request.
    pub fn new(
        context: Arc<RouterContext>,
        identity: RequestIdentity,
        claim: Option<RequestClaim>,
        notices: mpsc::Receiver<CallerNotice>,
    ) -> Self {
        let deadline = Instant::now() + context.settings.limits.queue_timeout;
        Self {
            _end_guard: RequestEndGuard::new(Arc::clone(&context), identity.id),
            context,
            identity,
            agent: None,
            claim,
            notices,
            relay: None,
            attempt: 0,
            attempts: 0,
            deadline,
            head: None,
            delivered: 0,
            delivered_hash: Box::new(Xxh3::new()),
            replay: None,
            history: RunHistory::default(),
            call: None,
        }
    }

    /// Waits for the head of the answer.
    pub async fn head(&mut self) -> Result<AnswerHead, RequestEnd> {
        loop {
            match self.next_event().await? {
                RelayEvent::Head(head) => {
                    self.head = Some(head.clone());
                    return Ok(head);
                }
                // An answer starts with its head; anything before it is skipped.
                RelayEvent::Data(_) | RelayEvent::End => {}
            }
        }
    }

    /// Waits for the next body bytes; `None` at the end of the answer.
    pub async fn next_data(&mut self) -> Result<Option<Bytes>, RequestEnd> {
        loop {
            let event = match self.next_event().await {
                Err(RequestEnd::Stored(outcome)) => return self.finish_from_stored(outcome),
                other => other?,
            };
            match event {
                RelayEvent::Head(head) => self.check_head(&head)?,
                RelayEvent::Data(bytes) => {
                    if let Some(new_bytes) = self.skip_delivered(bytes)? {
                        return Ok(Some(new_bytes));
                    }
                }
                RelayEvent::End if self.replay.is_some() => return Err(self.rerun_differs()),
                RelayEvent::End => return Ok(None),
            }
        }
    }

    async fn next_event(&mut self) -> Result<RelayEvent, RequestEnd> {
        let event = self.next_relay_event().await;
        event.map_err(|end| self.withdraw_not_run(end))
    }

    /// Replaces "not run" by "may have run" if that was true of the last attempt only.
    fn withdraw_not_run(&self, end: RequestEnd) -> RequestEnd {
        match end {
            RequestEnd::Refused(refusal)
                if refusal.run_state == RunState::No
                    && self.history.evidence() == RunEvidence::MayHaveRun =>
            {
                RequestEnd::Refused(CallerRefusal::unknown(refusal.reason))
            }
            end => end,
        }
    }

    /// Returns the next event of the current attempt, starting another attempt after a failure.
    async fn next_relay_event(&mut self) -> Result<RelayEvent, RequestEnd> {
        loop {
            let relay = match &mut self.relay {
                Some(relay) => relay,
                None => self.wait_for_grant().await?,
            };
            match relay.next_event().await {
                Ok(event) => {
                    self.report_outcome(&event);
                    self.attempts = self.attempts.min(1);
                    self.deadline = Instant::now() + self.context.settings.limits.queue_timeout;
                    return Ok(event);
                }
                Err(failure) => self.handle_failure(failure).await?,
            }
        }
    }

    /// Reports the outcome of the attempt as soon as it is known: at the head for a server error,
    /// otherwise at the end.
    fn report_outcome(&mut self, event: &RelayEvent) {
        match event {
            RelayEvent::Head(head) if head.status >= 500 => self.end_call(true),
            RelayEvent::End => self.end_call(false),
            RelayEvent::Head(_) | RelayEvent::Data(_) => {}
        }
    }

    fn end_call(&mut self, failed: bool) {
        if let Some(call) = self.call.take() {
            call.finish(failed);
        }
    }

    /// Returns the upstream of the current attempt, for log lines.
    fn upstream(&self) -> &str {
        self.agent.as_deref().unwrap_or("none")
    }

    /// Waits until the request is granted to an agent and opens the relay of its answer.
    async fn wait_for_grant(&mut self) -> Result<&mut AnswerRelay, RequestEnd> {
        let (address, attempt) = match self.notices.recv().await {
            Some(CallerNotice::Granted { agent, address, attempt, version }) => {
                self.agent = Some(agent);
                let (service, route) = (&self.identity.service, &self.identity.route);
                self.call = version.map(|version| {
                    RunningCall::new(&self.context, service, route, version, Instant::now())
                });
                (address, attempt)
            }
            Some(CallerNotice::Refused(reason)) => {
                return Err(not_run(RefusalReason::from(reason)));
            }
            // The control thread was restarted and no longer knows the request.
            None => return Err(not_run(RefusalReason::NotReady)),
        };
        self.attempt = attempt;
        self.attempts += 1;
        let (position, hash) = (0, Box::new(Xxh3::new()));
        self.replay = (self.delivered > 0).then_some(ReplayCheck { position, hash });
        let relay = AnswerRelay::new(Arc::clone(&self.context), self.identity.id, attempt, address);
        Ok(self.relay.insert(relay))
    }

    /// Requeues the request after a failed attempt, or returns how it ends.
    async fn handle_failure(&mut self, failure: RelayFailure) -> Result<(), RequestEnd> {
        // Dropping the relay cancels the attempt at the agent.
        self.relay = None;
        match &failure {
            // A refusal by the agent says nothing about the version.
            RelayFailure::Refused(_) => self.call = None,
            RelayFailure::AgentLost { .. } | RelayFailure::Failed { .. } => self.end_call(true),
        }
        log::warn!(
            request = format_request_id(self.identity.id), team:% = self.identity.team, upstream:% = self.upstream(),
            attempts = self.attempts; "attempt failed: {failure}"
        );
        let mut cause = match &failure {
            RelayFailure::Refused(RunRefusal::TrialElsewhere) => AttemptFailure::OfferRefused,
            RelayFailure::Refused(refusal) => return Err(refusal_of_run(*refusal)),
            RelayFailure::AgentLost { .. } => AttemptFailure::LostAfterFetch,
            RelayFailure::Failed { failure, run_state, .. } => {
                attempt_failure(*failure, *run_state)
            }
        };
        if self.claim.is_none() {
            self.history.record(cause);
        }
        loop {
            match self.decide_retry(cause).await {
                RetryDecision::RetryAfter(pause) => {
                    tokio::time::sleep(pause).await;
                    self.context.metrics.count(&catalogue::ROUTER_RERUNS, 1, &[]);
                    let crashed = cause == AttemptFailure::UpstreamCrashed;
                    let requeue = RouterEvent::Requeue { request: self.identity.id, crashed };
                    let _ = self.context.control.send(requeue).await;
                    return Ok(());
                }
                RetryDecision::CancelClaim => {
                    let Some(claim) = self.claim.clone() else { return Err(outcome_unknown()) };
                    if is_reported_by_agent(&failure) {
                        return Err(outcome_unknown());
                    }
                    resolve_claim(Arc::clone(&self.context), claim, self.attempt).await?;
                    // The attempt is cancelled for good, so it counts as one that was never fetched.
                    cause = AttemptFailure::LostBeforeFetch;
                }
                RetryDecision::RefuseNotRun => return Err(not_run(RefusalReason::UpstreamFailed)),
                RetryDecision::ReportFailed => {
                    let refusal = CallerRefusal::unknown(RefusalReason::UpstreamFailed);
                    return Err(RequestEnd::Refused(refusal));
                }
            }
        }
    }

    /// Asks the control thread, which owns the retry budget, how to continue after a failure.
    fn decide_retry(
        &self,
        failure: AttemptFailure,
    ) -> impl Future<Output = RetryDecision> + Send + use<> {
        let candidate = RetryCandidate {
            repeatable: self.claim.is_none(),
            attempts: self.attempts,
            deadline: self.deadline,
        };
        let control = self.context.control.clone();
        async move {
            let (reply, answer) = oneshot::channel();
            let question = RouterEvent::AttemptFailed { failure, candidate, reply };
            let _ = control.send(question).await;
            // After a restart the control thread no longer knows the request, which has to fail.
            answer.await.unwrap_or(RetryDecision::ReportFailed)
        }
    }

    fn check_head(&mut self, head: &AnswerHead) -> Result<(), RequestEnd> {
        let same = self.head.as_ref().is_some_and(|known| known.status == head.status);
        if same { Ok(()) } else { Err(self.rerun_differs()) }
    }

    /// Verifies the bytes that were already delivered and returns those that are new.
    fn skip_delivered(&mut self, mut bytes: Bytes) -> Result<Option<Bytes>, RequestEnd> {
        if let Some(replay) = &mut self.replay {
            let missing = usize::try_from(self.delivered - replay.position).unwrap_or(usize::MAX);
            let repeated = bytes.split_to(missing.min(bytes.len()));
            replay.hash.update(&repeated);
            replay.position += repeated.len() as u64;
            if replay.position < self.delivered {
                return Ok(None);
            }
            if replay.hash.digest128() != self.delivered_hash.digest128() {
                return Err(self.rerun_differs());
            }
            self.replay = None;
        }
        if bytes.is_empty() {
            return Ok(None);
        }
        self.delivered_hash.update(&bytes);
        self.delivered += bytes.len() as u64;
        Ok(Some(bytes))
    }

    /// Completes a partly delivered answer from the stored outcome.
    fn finish_from_stored(&mut self, outcome: ClaimOutcome) -> Result<Option<Bytes>, RequestEnd> {
        let ClaimOutcome::Kept { status, body, .. } = outcome else {
            return Err(self.rerun_differs());
        };
        if self.delivered == body.len() as u64 {
            return Ok(None);
        }
        self.replay = Some(ReplayCheck { position: 0, hash: Box::new(Xxh3::new()) });
        self.check_head(&AnswerHead { status, headers: Vec::new() })?;
        self.skip_delivered(body)
    }

    /// Logs that a rerun does not reproduce the delivered bytes and returns the failure.
    fn rerun_differs(&self) -> RequestEnd {
        log::warn!(
            request = format_request_id(self.identity.id), team:% = self.identity.team, upstream:% = self.upstream(),
            delivered = self.delivered; "the rerun's answer differs"
        );
        RequestEnd::Refused(CallerRefusal::unknown(RefusalReason::UpstreamFailed))
    }
}

/// Returns whether the agent itself reported that the upstream may have run the request. The claim
/// row then cannot resolve the outcome.
fn is_reported_by_agent(failure: &RelayFailure) -> bool {
    matches!(failure, RelayFailure::Failed { failure, .. } if *failure != RunFailure::Freed)
}

fn outcome_unknown() -> RequestEnd {
    RequestEnd::Refused(CallerRefusal::unknown(RefusalReason::OutcomeUnknown))
}

/// Resolves a lost attempt through its claim row. Returns `Ok` only if the attempt is cancelled and
/// can no longer run.
async fn resolve_claim(
    context: Arc<RouterContext>,
    claim: RequestClaim,
    attempt: AttemptId,
) -> Result<(), RequestEnd> {
    let attempt = ClaimAttempt { attempt, ..claim.template };
    let limit = Instant::now() + RESOLVE_TIMEOUT;
    let mut tries = 0;
    loop {
        let cancelling = CancellingClaim::cancel(attempt.clone());
        match context.claims.cancel(&claim.key, cancelling).await {
            CancelOutcome::NotRun => return Ok(()),
            CancelOutcome::Finished(outcome) => return Err(RequestEnd::Stored(outcome)),
            CancelOutcome::OutcomeUnknown => return Err(outcome_unknown()),
            // The agent may be cut off only from this router, and still store the outcome.
            CancelOutcome::MayRun | CancelOutcome::StoreDown => {}
        }
        tries += 1;
        let pause = backoff_after(tries, rand::random());
        if Instant::now() + pause >= limit {
            return Err(outcome_unknown());
        }
        tokio::time::sleep(pause).await;
    }
}

fn not_run(reason: RefusalReason) -> RequestEnd {
    RequestEnd::Refused(CallerRefusal::not_run(reason))
}

fn attempt_failure(failure: RunFailure, run_state: RunState) -> AttemptFailure {
    match (failure, run_state) {
        (_, RunState::No) => AttemptFailure::UpstreamUnreachable,
        (RunFailure::Crashed, _) => AttemptFailure::UpstreamCrashed,
        (RunFailure::Cancelled | RunFailure::Freed, _) => AttemptFailure::LostAfterFetch,
        (RunFailure::Unreachable | RunFailure::Broke, _) => AttemptFailure::UpstreamBroke,
    }
}

fn refusal_of_run(refusal: RunRefusal) -> RequestEnd {
    let refusal = match refusal {
        RunRefusal::InProgress => CallerRefusal::unknown(RefusalReason::InProgress),
        RunRefusal::OutcomeUnknown => CallerRefusal::unknown(RefusalReason::OutcomeUnknown),
        RunRefusal::AnswerNotKept { .. } => CallerRefusal::has_run(RefusalReason::AnswerNotKept),
        RunRefusal::KeyReused => CallerRefusal::not_run(RefusalReason::KeyReused),
        RunRefusal::AttemptsExhausted | RunRefusal::AttemptCancelled => {
            CallerRefusal::not_run(RefusalReason::AttemptsExhausted)
        }
        RunRefusal::StoreDown => CallerRefusal::not_run(RefusalReason::StoreDown),
        RunRefusal::ClaimRate => CallerRefusal::not_run(RefusalReason::ClaimRate),
        RunRefusal::TrialElsewhere | RunRefusal::Quarantined => {
            CallerRefusal::not_run(RefusalReason::Quarantined)
        }
    };
    RequestEnd::Refused(refusal)
}
