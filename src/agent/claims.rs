//! Claims of non-repeatable requests. Such a request is sent to the upstream only while its claim
//! row is held, so that it runs at most once.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use super::AgentContext;
use super::answers::AnswerBuffer;
use super::events::AgentEvent;
use crate::decision::claim::{
    ClaimAttempt, ClaimOutcome, ClaimRefusal, ClaimStep, HeldClaim, StartCheck, request_digest,
};
use crate::decision::claim_cancel::{CancelOutcome, CancellingClaim};
use crate::decision::claim_limiter::{ClaimAdmission, PROBE_INTERVAL};
use crate::decision::claim_outcome::StoringOutcome;
use crate::decision::retry::backoff_after;
use crate::ids::AttemptId;
use crate::lifecycle::request::RequestTicket;
use crate::protocol::{AnswerHead, RequestContent, RunRefusal, replay_head};
use crate::store::{ClaimKey, ClaimTable, StoreSignal, claim_key};

/// Time for which the end of an answer is delayed until its outcome is stored, so that a repeat
/// right after the answer finds the outcome. With a slower store the answer ends first and the
/// outcome is stored afterwards.
const MAX_STORE_WAIT: Duration = Duration::from_millis(500);

/// Row that is read to probe the store; it need not exist.
const PROBE_ROW: &str = "claim-probe";

/// A held claim with the key of its row.
#[derive(Debug)]
pub struct ClaimPermit {
    /// Key of the row in the table service.
    pub key: ClaimKey,
    /// The claim.
    pub claim: HeldClaim,
}

/// Reason why an attempt must not run its request.
#[derive(Debug)]
pub enum ClaimDenial {
    /// The request is refused.
    Refused(RunRefusal),
    /// The request has run before, with this outcome.
    Replay(ClaimOutcome),
}

/// Claims a request for an attempt, within the limit of the claim limiter.
pub async fn claim_request(
    context: &Arc<AgentContext>,
    ticket: &RequestTicket,
    attempt: AttemptId,
    content: &RequestContent,
) -> Result<ClaimPermit, ClaimDenial> {
    match check_claim_limiter(context).await {
        ClaimAdmission::Admit(wait) => tokio::time::sleep(wait).await,
        ClaimAdmission::RateExceeded(_) => return Err(ClaimDenial::Refused(RunRefusal::ClaimRate)),
        ClaimAdmission::StoreDown(_) => return Err(ClaimDenial::Refused(RunRefusal::StoreDown)),
    }
    let key = claim_key(&ticket.team, &ticket.service, content.key.as_deref(), ticket.id);
    let attempt = ClaimAttempt {
        attempt,
        holder: context.settings.node.id.clone(),
        digest: request_digest(&content.method, &content.path, &content.body),
        granted_at: SystemTime::now(),
    };
    let (step, signal) = context.claims.claim(&key, attempt).await;
    let _ = context.control.send(AgentEvent::StoreObserved(signal)).await;
    match step {
        ClaimStep::Held(claim) => match claim.check_age(SystemTime::now()) {
            StartCheck::Start(claim) => Ok(ClaimPermit { key, claim }),
            StartCheck::TooOld(release) => {
                spawn_release(context, key, release);
                Err(ClaimDenial::Refused(RunRefusal::AttemptCancelled))
            }
        },
        ClaimStep::Refused { refusal, release } => {
            if let Some(release) = release {
                spawn_release(context, key, release);
            }
            Err(match (refusal, signal) {
                (ClaimRefusal::StoreDown, StoreSignal::Throttled) => {
                    ClaimDenial::Refused(RunRefusal::ClaimRate)
                }
                (refusal, _) => denial_of(refusal),
            })
        }
        // `ClaimTable::claim` returns only the two variants above.
        ClaimStep::Write(_) | ClaimStep::Read(_) => {
            Err(ClaimDenial::Refused(RunRefusal::StoreDown))
        }
    }
}

async fn check_claim_limiter(context: &AgentContext) -> ClaimAdmission {
    let (reply, answer) = oneshot::channel();
    let _ = context.control.send(AgentEvent::ClaimRequested { reply }).await;
    // After a restart of the control thread the claim is refused and nothing is written.
    answer.await.unwrap_or(ClaimAdmission::RateExceeded(Duration::ZERO))
}

/// Probes the store until it answers and reports the recovery to the control thread.
pub async fn probe_store(context: Arc<AgentContext>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let (_, signal) = context.claims.read(PROBE_ROW).await;
        if signal != StoreSignal::Failed {
            // A response that throttles the read also shows that the store is up.
            let answered = AgentEvent::StoreObserved(StoreSignal::Answered);
            let _ = context.control.send(answered).await;
            return;
        }
    }
}

fn denial_of(claim: ClaimRefusal) -> ClaimDenial {
    let refusal = match claim {
        ClaimRefusal::Finished(outcome) => return ClaimDenial::Replay(outcome),
        ClaimRefusal::InProgress => RunRefusal::InProgress,
        ClaimRefusal::OutcomeUnknown => RunRefusal::OutcomeUnknown,
        ClaimRefusal::KeyReused => RunRefusal::KeyReused,
        ClaimRefusal::AttemptCancelled => RunRefusal::AttemptCancelled,
        ClaimRefusal::AttemptsExhausted => RunRefusal::AttemptsExhausted,
        ClaimRefusal::StoreDown => RunRefusal::StoreDown,
    };
    ClaimDenial::Refused(refusal)
}

/// Writes a denial to the answer buffer.
pub async fn write_denial(buffer: &AnswerBuffer, denial: ClaimDenial) {
    match denial {
        ClaimDenial::Refused(refusal) => buffer.refuse(refusal),
        ClaimDenial::Replay(ClaimOutcome::NotKept { status, length }) => {
            buffer.refuse(RunRefusal::AnswerNotKept { status, length });
        }
        ClaimDenial::Replay(ClaimOutcome::Kept { status, headers, body }) => {
            buffer.write_head(replay_head(status, headers));
            if !body.is_empty() {
                buffer.write_data(body).await;
            }
            buffer.complete();
        }
    }
}

/// Collects an answer for its claim row, up to the maximum stored size.
#[derive(Debug, Default)]
pub struct OutcomeCapture {
    head: Option<AnswerHead>,
    body: Vec<u8>,
    length: u64,
}

impl OutcomeCapture {
    /// Records status and headers.
    pub fn record_head(&mut self, head: &AnswerHead) {
        self.head = Some(head.clone());
    }

    /// Appends body bytes. Beyond the maximum size only the length is counted.
    pub fn append(&mut self, bytes: &Bytes) {
        self.length += bytes.len() as u64;
        if self.length <= crate::decision::claim::MAX_OUTCOME_BYTES as u64 {
            self.body.extend_from_slice(bytes);
        }
    }

    /// Returns the outcome of a complete answer.
    pub fn into_outcome(self) -> ClaimOutcome {
        let head = self.head.unwrap_or(AnswerHead { status: 502, headers: Vec::new() });
        if self.body.len() as u64 != self.length {
            return ClaimOutcome::NotKept { status: head.status, length: self.length };
        }
        let text = |value: &Bytes| String::from_utf8_lossy(value).into_owned();
        let headers = head.headers.into_iter().map(|field| (field.name, text(&field.value)));
        ClaimOutcome::new(head.status, headers.collect(), self.body.into())
    }
}

/// Stores an outcome, retrying in the background until it succeeds. Returns when the outcome is
/// stored or [`MAX_STORE_WAIT`] has passed.
pub async fn store_outcome(context: &Arc<AgentContext>, key: ClaimKey, storing: StoringOutcome) {
    let (stored, wait) = oneshot::channel();
    let (claims, in_flight) = (context.claims.clone(), context.in_flight.enter());
    tokio::spawn(async move {
        let mut pending = Some(storing);
        let mut attempts = 0;
        while let Some(storing) = pending {
            pending = claims.store(&key, storing).await;
            if pending.is_some() {
                attempts += 1;
                log::warn!(key:% = key, attempts; "cannot store the outcome; retrying");
                tokio::time::sleep(backoff_after(attempts, rand::random())).await;
            }
        }
        drop(in_flight);
        // Fails only if the run has stopped waiting.
        let _ = stored.send(());
    });
    let _ = tokio::time::timeout(MAX_STORE_WAIT, wait).await;
}

/// Releases a claim so that a retry elsewhere can claim the key. Returns when the release is stored
/// or [`MAX_STORE_WAIT`] has passed.
pub async fn release_claim(context: &Arc<AgentContext>, key: ClaimKey, release: CancellingClaim) {
    let _ = tokio::time::timeout(MAX_STORE_WAIT, spawn_release(context, key, release)).await;
}

/// Releases a claim in the background, retrying until the store has recorded it.
pub fn spawn_release(
    context: &Arc<AgentContext>,
    key: ClaimKey,
    release: CancellingClaim,
) -> JoinHandle<()> {
    let (claims, in_flight) = (context.claims.clone(), context.in_flight.enter());
    tokio::spawn(async move {
        release_until_stored(&claims, &key, release.attempt().clone()).await;
        drop(in_flight);
    })
}

async fn release_until_stored(claims: &ClaimTable, key: &str, attempt: ClaimAttempt) {
    let mut attempts = 0;
    loop {
        let release = CancellingClaim::release(attempt.clone());
        if claims.cancel(key, release).await != CancelOutcome::StoreDown {
            return;
        }
        attempts += 1;
        tokio::time::sleep(backoff_after(attempts, rand::random())).await;
    }
}
