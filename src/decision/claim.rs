//! Claims: at-most-once execution of keyed requests, based on one row per key in the table service.
//!
//! An attempt to run a keyed request first writes a claim with its attempt id, on condition that
//! the row does not exist. The types here are the steps of that exchange: each consumes the result
//! of one table operation and returns the next step, so that a request can only be started with a
//! [`HeldClaim`]. A row in the state [`ClaimState::Free`] lists the attempts that were cancelled;
//! such an attempt never runs, and any other attempt may claim the row.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use indexmap::IndexSet;
use sha2::{Digest, Sha256};

use super::claim_cancel::CancellingClaim;
use super::claim_outcome::StoringOutcome;
use crate::ids::{AttemptId, NodeId};

/// Retention period of an outcome. A claim that has no outcome after this time is marked as
/// unknown.
pub const RETENTION: Duration = Duration::from_secs(24 * 3600);

/// Maximum size of a response that is stored with its claim. Rows of the table service are kept
/// small, so that it can handle several hundred writes per second.
pub const MAX_OUTCOME_BYTES: usize = 16 << 10;

/// Maximum number of cancelled attempts in one row. A key that needs more is refused until its row
/// is removed, because an attempt that is dropped from the list could run later.
pub const MAX_CANCELLED_ATTEMPTS: usize = 64;

/// Age at which an attempt may no longer start. Rows are removed after the retention period, so an
/// attempt that was suspended for that long could otherwise run in addition to a later one.
pub const MAX_START_AGE: Duration = Duration::from_secs(12 * 3600);

/// Maximum number of table operations per exchange. After that the store counts as down.
pub(super) const MAX_OPERATIONS: u32 = 8;

/// Version of a row of the table service.
pub type RowVersion = u64;

/// SHA-256 over a request's method, path and body.
pub type RequestDigest = [u8; 32];

/// Computes the digest that distinguishes a repeated request from a key that is reused for another.
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> RequestDigest {
    let mut hasher = Sha256::new();
    for part in [method.as_bytes(), path.as_bytes()] {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.update(body);
    hasher.finalize().into()
}

/// Response of a finished request, or its size if it was too large to store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The complete response.
    Kept {
        /// HTTP status.
        status: u16,
        /// Header fields in order.
        headers: Vec<(String, String)>,
        /// Body.
        body: Bytes,
    },
    /// The response was larger than [`MAX_OUTCOME_BYTES`].
    NotKept {
        /// HTTP status.
        status: u16,
        /// Length of the body in bytes.
        length: u64,
    },
}

impl ClaimOutcome {
    /// Creates an outcome, which keeps the response if it is small enough.
    pub fn new(status: u16, headers: Vec<(String, String)>, body: Bytes) -> Self {
        let header_bytes: usize =
            headers.iter().map(|(name, value)| name.len() + value.len()).sum();
        if header_bytes + body.len() > MAX_OUTCOME_BYTES {
            return Self::NotKept { status, length: body.len() as u64 };
        }
        Self::Kept { status, headers, body }
    }
}

/// State of the key of a claim row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimState {
    /// No attempt holds the key, and none has run.
    Free,
    /// An attempt may be running the request.
    Held {
        /// Attempt that holds the key.
        attempt: AttemptId,
        /// Process that made the attempt.
        holder: NodeId,
    },
    /// The request has run.
    Finished {
        /// Attempt that ran the request.
        attempt: AttemptId,
        /// Response of the run.
        outcome: ClaimOutcome,
    },
    /// The request may have run, and its response was lost.
    OutcomeUnknown {
        /// Attempt that may have run the request.
        attempt: AttemptId,
    },
}

/// Content of a claim row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRecord {
    /// Digest of the request that first used the key.
    pub digest: RequestDigest,
    /// Time of the last change of `state`, at which the retention period starts.
    pub changed_at: SystemTime,
    /// Cancelled attempts, which must never run.
    pub cancelled: IndexSet<AttemptId>,
    /// State of the key.
    pub state: ClaimState,
}

/// A claim record with the version of its row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedClaim {
    /// Version of the row.
    pub version: RowVersion,
    /// Content of the row.
    pub record: Box<ClaimRecord>,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteCondition {
    /// The row must not exist.
    Absent,
    /// The row must have this version.
    Version(RowVersion),
}

/// A conditional write for the table service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimWrite {
    /// Precondition of the write.
    pub condition: WriteCondition,
    /// New content of the row.
    pub record: Box<ClaimRecord>,
}

/// Result of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteResult {
    /// The write took effect, and the row now has this version.
    Written(RowVersion),
    /// The precondition failed.
    Conflict,
    /// The response was lost. The write may have taken effect or may still do so.
    Indeterminate,
    /// The write definitely had no effect, for example because it was rate limited.
    NotWritten,
}

/// Result of a read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ReadResult {
    /// The row exists.
    Found(VersionedClaim),
    /// The row does not exist.
    Missing,
    /// The read failed.
    Failed,
}

/// Reason why an attempt did not get the claim. The attempt has not run the request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimRefusal {
    /// Another attempt may be running the request.
    InProgress,
    /// The request has run with this outcome.
    Finished(ClaimOutcome),
    /// The request may have run, and its response is lost.
    OutcomeUnknown,
    /// The key was used with another method, path or body.
    KeyReused,
    /// This attempt was cancelled by its router.
    AttemptCancelled,
    /// The key has reached [`MAX_CANCELLED_ATTEMPTS`].
    AttemptsExhausted,
    /// The table service does not answer.
    StoreDown,
}

/// Identity of one attempt to run a keyed request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimAttempt {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Process that makes the attempt.
    pub holder: NodeId,
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Time at which the attempt started.
    pub granted_at: SystemTime,
}

/// A claim whose next operation is a write.
#[derive(Debug)]
pub struct WritingClaim {
    attempt: ClaimAttempt,
    write: ClaimWrite,
    operations: u32,
    may_be_written: bool,
}

/// A claim whose next operation is a read of its row.
#[derive(Debug)]
pub struct ReadingClaim {
    attempt: ClaimAttempt,
    operations: u32,
    may_be_written: bool,
}

/// A claim that is held. Only its holder may run the keyed request.
#[derive(Debug)]
pub struct HeldClaim {
    attempt: ClaimAttempt,
    row: VersionedClaim,
}

/// Result of checking the age of a held claim.
#[derive(Debug)]
pub enum StartCheck {
    /// The request may be sent to its upstream.
    Start(HeldClaim),
    /// The claim is older than [`MAX_START_AGE`] and must be released.
    TooOld(CancellingClaim),
}

/// Next step of a claim.
#[derive(Debug)]
pub enum ClaimStep {
    /// Send [`WritingClaim::write`] and apply the result.
    Write(WritingClaim),
    /// Read the row and apply the result.
    Read(ReadingClaim),
    /// The request may run.
    Held(HeldClaim),
    /// The request may not run.
    Refused {
        /// Reason for the refusal.
        refusal: ClaimRefusal,
        /// Set if the claim may have been written or may still be. The holder must then cancel it
        /// once the store answers, because otherwise the key stays in progress for the retention
        /// period.
        release: Option<CancellingClaim>,
    },
}

impl WritingClaim {
    /// Creates the claim of an attempt, to be written if the row does not exist.
    pub fn new(attempt: ClaimAttempt, now: SystemTime) -> Self {
        let record = held_record(&attempt, IndexSet::new(), now);
        let write = ClaimWrite { condition: WriteCondition::Absent, record };
        Self { attempt, write, operations: 0, may_be_written: false }
    }

    /// The write to send.
    pub fn write(&self) -> &ClaimWrite {
        &self.write
    }

    /// Applies the result of the write.
    pub fn apply_result(self, result: WriteResult) -> ClaimStep {
        let operations = self.operations + 1;
        match result {
            WriteResult::Written(version) => ClaimStep::Held(HeldClaim {
                attempt: self.attempt,
                row: VersionedClaim { version, record: self.write.record },
            }),
            WriteResult::Conflict => ClaimStep::Read(ReadingClaim {
                attempt: self.attempt,
                operations,
                may_be_written: self.may_be_written,
            }),
            WriteResult::Indeterminate => ClaimStep::Read(ReadingClaim {
                attempt: self.attempt,
                operations,
                may_be_written: true,
            }),
            WriteResult::NotWritten => store_down(self.attempt, self.may_be_written),
        }
    }
}

impl ReadingClaim {
    /// Applies the result of the read.
    pub fn apply_result(self, result: ReadResult, now: SystemTime) -> ClaimStep {
        let row = match result {
            _ if self.operations >= MAX_OPERATIONS => {
                return store_down(self.attempt, self.may_be_written);
            }
            ReadResult::Failed => return store_down(self.attempt, self.may_be_written),
            ReadResult::Missing => return self.retry_write(WriteCondition::Absent, None, now),
            ReadResult::Found(row) => row,
        };
        let own = self.attempt.attempt;
        if let ClaimState::Held { attempt, .. } = &row.record.state
            && *attempt == own
        {
            return ClaimStep::Held(HeldClaim { attempt: self.attempt, row });
        }
        let refusal = match repeat_refusal(&row.record, &self.attempt.digest, now) {
            Some(refusal) => refusal,
            None if row.record.cancelled.contains(&own) => ClaimRefusal::AttemptCancelled,
            None if row.record.cancelled.len() >= MAX_CANCELLED_ATTEMPTS => {
                ClaimRefusal::AttemptsExhausted
            }
            None => {
                let condition = WriteCondition::Version(row.version);
                return self.retry_write(condition, Some(row.record.cancelled), now);
            }
        };
        // No release is needed: a delayed write of this attempt has an older precondition, so it
        // cannot take effect any more, even if the other attempt releases the row.
        ClaimStep::Refused { refusal, release: None }
    }

    fn retry_write(
        self,
        condition: WriteCondition,
        cancelled: Option<IndexSet<AttemptId>>,
        now: SystemTime,
    ) -> ClaimStep {
        let record = held_record(&self.attempt, cancelled.unwrap_or_default(), now);
        ClaimStep::Write(WritingClaim {
            attempt: self.attempt,
            write: ClaimWrite { condition, record },
            operations: self.operations + 1,
            may_be_written: self.may_be_written,
        })
    }
}

/// Returns why a row refuses another attempt with the same key, or `None` if the key is free.
pub fn repeat_refusal(
    record: &ClaimRecord,
    digest: &RequestDigest,
    now: SystemTime,
) -> Option<ClaimRefusal> {
    let expired = now.duration_since(record.changed_at).is_ok_and(|age| age >= RETENTION);
    match &record.state {
        // The retention period of the outcome has ended, so the key may be used again.
        ClaimState::Finished { .. } | ClaimState::OutcomeUnknown { .. } if expired => None,
        _ if record.digest != *digest => Some(ClaimRefusal::KeyReused),
        ClaimState::Free => None,
        ClaimState::Held { .. } if expired => Some(ClaimRefusal::OutcomeUnknown),
        ClaimState::Held { .. } => Some(ClaimRefusal::InProgress),
        ClaimState::Finished { outcome, .. } => Some(ClaimRefusal::Finished(outcome.clone())),
        ClaimState::OutcomeUnknown { .. } => Some(ClaimRefusal::OutcomeUnknown),
    }
}

fn held_record(
    attempt: &ClaimAttempt,
    cancelled: IndexSet<AttemptId>,
    now: SystemTime,
) -> Box<ClaimRecord> {
    let state = ClaimState::Held { attempt: attempt.attempt, holder: attempt.holder.clone() };
    Box::new(ClaimRecord { digest: attempt.digest, changed_at: now, cancelled, state })
}

fn store_down(attempt: ClaimAttempt, may_be_written: bool) -> ClaimStep {
    let release = may_be_written.then(|| CancellingClaim::release(attempt));
    ClaimStep::Refused { refusal: ClaimRefusal::StoreDown, release }
}

impl HeldClaim {
    /// Checks the age of the claim just before the request is sent to its upstream.
    pub fn check_age(self, now: SystemTime) -> StartCheck {
        let age = now.duration_since(self.attempt.granted_at).unwrap_or_default();
        if age < MAX_START_AGE {
            return StartCheck::Start(self);
        }
        StartCheck::TooOld(self.release())
    }

    /// Records the outcome of the run.
    pub fn finish(self, outcome: ClaimOutcome, now: SystemTime) -> StoringOutcome {
        let state = ClaimState::Finished { attempt: self.attempt.attempt, outcome };
        self.store_state(state, now)
    }

    /// Records that the request may have run and that its response is lost.
    pub fn mark_outcome_unknown(self, now: SystemTime) -> StoringOutcome {
        let state = ClaimState::OutcomeUnknown { attempt: self.attempt.attempt };
        self.store_state(state, now)
    }

    /// Releases the claim. Only for a request that was not sent to its upstream.
    pub fn release(self) -> CancellingClaim {
        CancellingClaim::release(self.attempt)
    }

    fn store_state(self, state: ClaimState, now: SystemTime) -> StoringOutcome {
        let record = Box::new(ClaimRecord { changed_at: now, state, ..*self.row.record });
        let condition = WriteCondition::Version(self.row.version);
        StoringOutcome::new(self.attempt.attempt, ClaimWrite { condition, record })
    }
}
