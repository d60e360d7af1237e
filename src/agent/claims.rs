//! The claim gate: a non-repeatable request goes to the upstream only with its claim held.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

use super::AgentContext;
use super::answers::AnswerBuffer;
use super::events::AgentEvent;
use crate::decision::claim::{
    ClaimAttempt, ClaimOutcome, ClaimStep, ClaimVerdict, HeldClaim, StartVerdict, request_digest,
};
use crate::decision::claim_cancel::{CancelVerdict, CancellingClaim};
use crate::decision::claim_gate::{GateVerdict, PROBE_INTERVAL};
use crate::decision::claim_outcome::StoringOutcome;
use crate::decision::retry::pause_before;
use crate::ids::AttemptId;
use crate::lifecycle::request::RequestTicket;
use crate::protocol::{AnswerHead, RequestContent, RunRefusal, replay_head};
use crate::store::{ClaimKey, ClaimTable, StoreSignal, claim_key};

/// Time for which the end of an answer is held back until its outcome is stored. A repeat that
/// comes right after the answer then finds the outcome; when the store is slower, the answer goes
/// out and the outcome is stored afterwards.
const STORE_TIMEOUT: Duration = Duration::from_millis(500);

/// Row that is read to see whether the store answers; it need not exist.
const PROBE_ROW: &str = "claim-probe";

/// A claim that is held, with the row that it is held in.
#[derive(Debug)]
pub struct ClaimPermit {
    /// Row of the table service.
    pub key: ClaimKey,
    /// The claim.
    pub claim: HeldClaim,
}

/// Why an attempt may not run its request.
#[derive(Debug)]
pub enum ClaimDenial {
    /// The request is refused.
    Refused(RunRefusal),
    /// The request has run before and this is its answer.
    Replay(ClaimOutcome),
}

/// Claims a request for an attempt.
pub async fn claim_request(
    context: &Arc<AgentContext>,
    ticket: &RequestTicket,
    attempt: AttemptId,
    content: &RequestContent,
) -> Result<ClaimPermit, ClaimDenial> {
    match request_admission(context).await {
        GateVerdict::Admit(wait) => tokio::time::sleep(wait).await,
        GateVerdict::RateExceeded(_) => return Err(ClaimDenial::Refused(RunRefusal::ClaimRate)),
        GateVerdict::StoreDown(_) => return Err(ClaimDenial::Refused(RunRefusal::StoreDown)),
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
            StartVerdict::Start(claim) => Ok(ClaimPermit { key, claim }),
            StartVerdict::TooOld(release) => {
                spawn_release(context, key, release);
                Err(ClaimDenial::Refused(RunRefusal::AttemptCancelled))
            }
        },
        ClaimStep::Settled { verdict, release } => {
            if let Some(release) = release {
                spawn_release(context, key, release);
            }
            Err(match (verdict, signal) {
                (ClaimVerdict::StoreDown, StoreSignal::Throttled) => {
                    ClaimDenial::Refused(RunRefusal::ClaimRate)
                }
                (verdict, _) => denial_of(verdict),
            })
        }
        // The exchange above ends in one of the two.
        ClaimStep::Write(_) | ClaimStep::Read(_) => {
            Err(ClaimDenial::Refused(RunRefusal::StoreDown))
        }
    }
}

async fn request_admission(context: &AgentContext) -> GateVerdict {
    let (reply, answer) = oneshot::channel();
    let _ = context.control.send(AgentEvent::ClaimRequested { reply }).await;
    // A control thread that restarts has dropped the question; nothing is written then.
    answer.await.unwrap_or(GateVerdict::RateExceeded(Duration::ZERO))
}

/// Reads a row until the store answers, and reports that.
pub async fn probe_store(context: Arc<AgentContext>) {
    loop {
        tokio::time::sleep(PROBE_INTERVAL).await;
        let (_, signal) = context.claims.read(PROBE_ROW).await;
        if signal != StoreSignal::Failed {
            // A refusal for the rate of reads is an answer too.
            let answered = AgentEvent::StoreObserved(StoreSignal::Answered);
            let _ = context.control.send(answered).await;
            return;
        }
    }
}

fn denial_of(verdict: ClaimVerdict) -> ClaimDenial {
    let refusal = match verdict {
        ClaimVerdict::Finished(outcome) => return ClaimDenial::Replay(outcome),
        ClaimVerdict::InProgress => RunRefusal::InProgress,
        ClaimVerdict::OutcomeUnknown => RunRefusal::OutcomeUnknown,
        ClaimVerdict::KeyReused => RunRefusal::KeyReused,
        ClaimVerdict::AttemptCancelled => RunRefusal::AttemptCancelled,
        ClaimVerdict::AttemptsExhausted => RunRefusal::AttemptsExhausted,
        ClaimVerdict::StoreDown => RunRefusal::StoreDown,
    };
    ClaimDenial::Refused(refusal)
}

/// Writes a denial into the answer.
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

/// Collects an answer for its claim row, up to the size that is kept.
#[derive(Debug, Default)]
pub struct OutcomeCapture {
    head: Option<AnswerHead>,
    body: Vec<u8>,
    length: u64,
}

impl OutcomeCapture {
    /// Notes the head.
    pub fn record_head(&mut self, head: &AnswerHead) {
        self.head = Some(head.clone());
    }

    /// Notes body bytes.
    pub fn append(&mut self, bytes: &Bytes) {
        self.length += bytes.len() as u64;
        if self.length <= crate::decision::claim::MAX_OUTCOME_BYTES as u64 {
            self.body.extend_from_slice(bytes);
        }
    }

    /// Returns the outcome of a whole answer.
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

/// Stores an outcome until the store has it; returns when it is stored or [`STORE_TIMEOUT`] is over.
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
                log::warn!(key:% = key, attempts; "outcome not stored yet");
                tokio::time::sleep(pause_before(attempts, rand::random())).await;
            }
        }
        drop(in_flight);
        // The run may have stopped waiting.
        let _ = stored.send(());
    });
    let _ = tokio::time::timeout(STORE_TIMEOUT, wait).await;
}

/// Gives a claim back until the store has recorded it; returns when it is recorded or
/// [`STORE_TIMEOUT`] is over. A retry elsewhere then finds the key free.
pub async fn release_claim(context: &Arc<AgentContext>, key: ClaimKey, release: CancellingClaim) {
    let _ = tokio::time::timeout(STORE_TIMEOUT, spawn_release(context, key, release)).await;
}

/// Gives a claim back in the background until the store has recorded it.
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
        if claims.cancel(key, release).await != CancelVerdict::StoreDown {
            return;
        }
        attempts += 1;
        tokio::time::sleep(pause_before(attempts, rand::random())).await;
    }
}
