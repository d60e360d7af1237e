//! One caller's request from its arrival to the end of its answer, over all attempts.
//!
//! An attempt that fails is followed by another only as the retry policy allows. A rerun after a
//! part of the answer went out must repeat exactly that part, else the caller's connection ends
//! with an error.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use xxhash_rust::xxh3::Xxh3;

use super::RouterContext;
use super::caller::DepartureGuard;
use super::events::{CallerNotice, RouterEvent};
use super::refusal::{CallerRefusal, RefusalReason};
use super::relay::{AnswerRelay, RelayEvent, RelayFailure};
use super::version_call::RunningCall;
use crate::decision::claim::{ClaimAttempt, ClaimOutcome};
use crate::decision::claim_cancel::{CancelVerdict, CancellingClaim};
use crate::decision::retry::{
    AttemptFailure, RetryCandidate, RetryVerdict, RunEvidence, RunHistory, pause_before,
};
use crate::ids::{AttemptId, RequestId, RouteId, ServiceId, TeamId, UpstreamId, format_request_id};
use crate::lifecycle::request::RequestTicket;
use crate::metrics::catalogue;
use crate::protocol::{AnswerHead, RunFailure, RunRefusal, RunState};
use crate::store::ClaimKey;

/// Longest time for which the outcome of a lost attempt is looked for in its claim row.
const SETTLE_LIMIT: Duration = Duration::from_secs(10);

/// The claim row of a non-repeatable request.
#[derive(Clone, Debug)]
pub struct RequestClaim {
    /// Row of the table service.
    pub key: ClaimKey,
    /// What a router's cancellation writes; the attempt id is set for each attempt.
    pub template: ClaimAttempt,
}

/// Why a request ends without the answer of its last attempt.
#[derive(Debug)]
pub enum RunStop {
    /// It is refused or has failed.
    Refused(CallerRefusal),
    /// Its answer was found in the claim row.
    Outcome(ClaimOutcome),
}

/// Check that a rerun repeats what the caller has.
struct ReplayCheck {
    position: u64,
    hash: Box<Xxh3>,
}

/// What a run is about.
#[derive(Clone, Debug)]
pub struct RunSubject {
    id: RequestId,
    team: TeamId,
    service: ServiceId,
    route: RouteId,
}

impl From<&RequestTicket> for RunSubject {
    fn from(ticket: &RequestTicket) -> Self {
        Self {
            id: ticket.id,
            team: ticket.team.clone(),
            service: ticket.service.clone(),
            route: ticket.route.clone(),
        }
    }
}

/// A request with its attempts.
pub struct RequestRun {
    context: Arc<RouterContext>,
    subject: RunSubject,
    /// Upstream of the present attempt.
    agent: Option<UpstreamId>,
    claim: Option<RequestClaim>,
    notices: mpsc::Receiver<CallerNotice>,
    _departure: DepartureGuard,
    relay: Option<AnswerRelay>,
    attempt: AttemptId,
    attempts: u32,
    deadline: Instant,
    head: Option<AnswerHead>,
    delivered: u64,
    delivered_hash: Box<Xxh3>,
    replay: Option<ReplayCheck>,
    history: RunHistory,
    /// The present attempt, for the comparison of versions.
    call: Option<RunningCall>,
}

impl RequestRun {
    /// Follows a request that was handed to the control thread. `claim` is `None` for a
    /// repeatable request.
    pub fn new(
        context: Arc<RouterContext>,
        subject: RunSubject,
        claim: Option<RequestClaim>,
        notices: mpsc::Receiver<CallerNotice>,
    ) -> Self {
        let deadline = Instant::now() + context.settings.limits.queue_timeout;
        Self {
            _departure: DepartureGuard::new(Arc::clone(&context), subject.id),
            context,
            subject,
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
    pub async fn head(&mut self) -> Result<AnswerHead, RunStop> {
        loop {
            match self.next_event().await? {
                RelayEvent::Head(head) => {
                    self.head = Some(head.clone());
                    return Ok(head);
                }
                // An answer starts with its head; anything else is skipped until it comes.
                RelayEvent::Data(_) | RelayEvent::End => {}
            }
        }
    }

    /// Waits for the next body bytes; `None` at the end of the whole answer.
    pub async fn next_data(&mut self) -> Result<Option<Bytes>, RunStop> {
        loop {
            let event = match self.next_event().await {
                Err(RunStop::Outcome(outcome)) => return self.finish_from(outcome),
                other => other?,
            };
            match event {
                RelayEvent::Head(head) => self.check_head(&head)?,
                RelayEvent::Data(bytes) => {
                    if let Some(news) = self.accept(bytes)? {
                        return Ok(Some(news));
                    }
                }
                RelayEvent::End if self.replay.is_some() => return Err(self.diverged()),
                RelayEvent::End => return Ok(None),
            }
        }
    }

    async fn next_event(&mut self) -> Result<RelayEvent, RunStop> {
        let event = self.advance().await;
        event.map_err(|stop| self.correct(stop))
    }

    /// Takes a "not run" back that holds for the last attempt only.
    fn correct(&self, stop: RunStop) -> RunStop {
        match stop {
            RunStop::Refused(refusal)
                if refusal.run_state == RunState::No
                    && self.history.evidence() == RunEvidence::MayHaveRun =>
            {
                RunStop::Refused(CallerRefusal::unknown(refusal.reason))
            }
            stop => stop,
        }
    }

    async fn advance(&mut self) -> Result<RelayEvent, RunStop> {
        loop {
            let relay = match &mut self.relay {
                Some(relay) => relay,
                None => self.attach().await?,
            };
            match relay.next_event().await {
                Ok(event) => {
                    self.observe(&event);
                    self.attempts = self.attempts.min(1);
                    self.deadline = Instant::now() + self.context.settings.limits.queue_timeout;
                    return Ok(event);
                }
                Err(failure) => self.recover(failure).await?,
            }
        }
    }

    /// Reports the outcome of the attempt once it is known; a server error is known at once.
    fn observe(&mut self, event: &RelayEvent) {
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

    /// The agent's upstream, for log lines.
    fn upstream(&self) -> &str {
        self.agent.as_deref().unwrap_or("none")
    }

    /// Waits until an agent has the request.
    async fn attach(&mut self) -> Result<&mut AnswerRelay, RunStop> {
        let (address, attempt) = match self.notices.recv().await {
            Some(CallerNotice::Granted { agent, address, attempt, version }) => {
                self.agent = Some(agent);
                let (service, route) = (&self.subject.service, &self.subject.route);
                self.call = version.map(|version| {
                    RunningCall::new(&self.context, service, route, version, Instant::now())
                });
                (address, attempt)
            }
            Some(CallerNotice::Refused(reason)) => {
                return Err(refuse(RefusalReason::from(reason)));
            }
            // The control thread was restarted and has forgotten the waiting request.
            None => return Err(refuse(RefusalReason::NotReady)),
        };
        self.attempt = attempt;
        self.attempts += 1;
        let (position, hash) = (0, Box::new(Xxh3::new()));
        self.replay = (self.delivered > 0).then_some(ReplayCheck { position, hash });
        let relay = AnswerRelay::new(Arc::clone(&self.context), self.subject.id, attempt, address);
        Ok(self.relay.insert(relay))
    }

    /// Prepares the next attempt after a failure, or returns how the request ends.
    async fn recover(&mut self, failure: RelayFailure) -> Result<(), RunStop> {
        // Dropping the relay cancels the attempt at its agent.
        self.relay = None;
        match &failure {
            // The agent refused the request itself, which says nothing about the version.
            RelayFailure::Refused(_) => self.call = None,
            RelayFailure::AgentLost { .. } | RelayFailure::Failed { .. } => self.end_call(true),
        }
        log::warn!(
            request = format_request_id(self.subject.id), team:% = self.subject.team, upstream:% = self.upstream(),
            attempts = self.attempts; "attempt failed: {failure}"
        );
        let mut cause = match &failure {
            RelayFailure::Refused(RunRefusal::TrialElsewhere) => AttemptFailure::OfferRefused,
            RelayFailure::Refused(refusal) => return Err(refuse_run(*refusal)),
            RelayFailure::AgentLost { .. } => AttemptFailure::LostAfterFetch,
            RelayFailure::Failed { failure, run_state, .. } => {
                attempt_failure(*failure, *run_state)
            }
        };
        if self.claim.is_none() {
            self.history.record(cause);
        }
        loop {
            match self.ask_policy(cause).await {
                RetryVerdict::OfferAgain(pause) => {
                    tokio::time::sleep(pause).await;
                    self.context.metrics.count(&catalogue::ROUTER_RERUNS, 1, &[]);
                    let crashed = cause == AttemptFailure::UpstreamCrashed;
                    let requeue = RouterEvent::Requeue { request: self.subject.id, crashed };
                    let _ = self.context.control.send(requeue).await;
                    return Ok(());
                }
                RetryVerdict::SettleClaim => {
                    let Some(claim) = self.claim.clone() else { return Err(outcome_unknown()) };
                    if known_by_agent(&failure) {
                        return Err(outcome_unknown());
                    }
                    settle_claim(Arc::clone(&self.context), claim, self.attempt).await?;
                    // The attempt is cancelled, so it counts as one that never reached its agent.
                    cause = AttemptFailure::LostBeforeFetch;
                }
                RetryVerdict::RefuseNotRun => return Err(refuse(RefusalReason::UpstreamFailed)),
                RetryVerdict::ReportFailed => {
                    let refusal = CallerRefusal::unknown(RefusalReason::UpstreamFailed);
                    return Err(RunStop::Refused(refusal));
                }
            }
        }
    }

    fn ask_policy(
        &self,
        failure: AttemptFailure,
    ) -> impl Future<Output = RetryVerdict> + Send + use<> {
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
            // A control thread that restarts has forgotten the request, which can only be given
            // up.
            answer.await.unwrap_or(RetryVerdict::ReportFailed)
        }
    }

    fn check_head(&mut self, head: &AnswerHead) -> Result<(), RunStop> {
        let same = self.head.as_ref().is_some_and(|known| known.status == head.status);
        if same { Ok(()) } else { Err(self.diverged()) }
    }

    /// Returns the bytes that the caller does not have yet.
    fn accept(&mut self, mut bytes: Bytes) -> Result<Option<Bytes>, RunStop> {
        if let Some(replay) = &mut self.replay {
            let missing = usize::try_from(self.delivered - replay.position).unwrap_or(usize::MAX);
            let repeated = bytes.split_to(missing.min(bytes.len()));
            replay.hash.update(&repeated);
            replay.position += repeated.len() as u64;
            if replay.position < self.delivered {
                return Ok(None);
            }
            if replay.hash.digest128() != self.delivered_hash.digest128() {
                return Err(self.diverged());
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

    /// Continues an answer with the rest of the stored outcome.
    fn finish_from(&mut self, outcome: ClaimOutcome) -> Result<Option<Bytes>, RunStop> {
        let ClaimOutcome::Kept { status, body, .. } = outcome else { return Err(self.diverged()) };
        if self.delivered == body.len() as u64 {
            return Ok(None);
        }
        self.replay = Some(ReplayCheck { position: 0, hash: Box::new(Xxh3::new()) });
        self.check_head(&AnswerHead { status, headers: Vec::new() })?;
        self.accept(body)
    }

    fn diverged(&self) -> RunStop {
        log::warn!(
            request = format_request_id(self.subject.id), team:% = self.subject.team, upstream:% = self.upstream(),
            delivered = self.delivered; "the rerun's answer differs"
        );
        RunStop::Refused(CallerRefusal::unknown(RefusalReason::UpstreamFailed))
    }
}

/// Whether the agent itself reported that the upstream may have run the request.
fn known_by_agent(failure: &RelayFailure) -> bool {
    matches!(failure, RelayFailure::Failed { failure, .. } if *failure != RunFailure::Freed)
}

fn outcome_unknown() -> RunStop {
    RunStop::Refused(CallerRefusal::unknown(RefusalReason::OutcomeUnknown))
}

/// Finds out through the claim row whether a lost attempt ran. Returns `Ok` only when the attempt
/// is cancelled and can never run.
async fn settle_claim(
    context: Arc<RouterContext>,
    claim: RequestClaim,
    attempt: AttemptId,
) -> Result<(), RunStop> {
    let attempt = ClaimAttempt { attempt, ..claim.template };
    let limit = Instant::now() + SETTLE_LIMIT;
    let mut tries = 0;
    loop {
        let cancelling = CancellingClaim::cancel(attempt.clone());
        match context.claims.cancel(&claim.key, cancelling).await {
            CancelVerdict::NotRun => return Ok(()),
            CancelVerdict::Finished(outcome) => return Err(RunStop::Outcome(outcome)),
            CancelVerdict::OutcomeUnknown => return Err(outcome_unknown()),
            // The agent may only be cut off from this router and still store the outcome.
            CancelVerdict::MayRun | CancelVerdict::StoreDown => {}
        }
        tries += 1;
        let pause = pause_before(tries, rand::random());
        if Instant::now() + pause >= limit {
            return Err(outcome_unknown());
        }
        tokio::time::sleep(pause).await;
    }
}

fn refuse(reason: RefusalReason) -> RunStop {
    RunStop::Refused(CallerRefusal::not_run(reason))
}

fn attempt_failure(failure: RunFailure, run_state: RunState) -> AttemptFailure {
    match (failure, run_state) {
        (_, RunState::No) => AttemptFailure::UpstreamUnreachable,
        (RunFailure::Crashed, _) => AttemptFailure::UpstreamCrashed,
        (RunFailure::Cancelled | RunFailure::Freed, _) => AttemptFailure::LostAfterFetch,
        (RunFailure::Unreachable | RunFailure::Broke, _) => AttemptFailure::UpstreamBroke,
    }
}

fn refuse_run(refusal: RunRefusal) -> RunStop {
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
    RunStop::Refused(refusal)
}
