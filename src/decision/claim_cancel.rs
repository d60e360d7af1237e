//! Cancellation of an attempt through the claim row of its key.
//!
//! A router that has lost the agent of a keyed request may only report "not run" after the attempt
//! was cancelled.

use std::time::SystemTime;

use indexmap::IndexSet;

use super::claim::{
    ClaimAttempt, ClaimOutcome, ClaimRecord, ClaimState, ClaimWrite, MAX_OPERATIONS, ReadResult,
    RowVersion, VersionedClaim, WriteCondition, WriteResult,
};

/// Cancellation of an attempt, recorded in the claim row so that the attempt can never run.
#[derive(Debug)]
pub struct CancellingClaim {
    attempt: ClaimAttempt,
    /// Whether the canceller made the attempt itself and therefore knows that it did not start.
    owner: bool,
    operations: u32,
}

/// A cancellation whose next operation is a write.
#[derive(Debug)]
pub struct CancelWrite {
    cancelling: CancellingClaim,
    write: ClaimWrite,
}

/// Result of a cancellation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CancelOutcome {
    /// The attempt has not run and never will.
    NotRun,
    /// The attempt holds the key; it may have run or may still run.
    MayRun,
    /// The attempt has run with this outcome.
    Finished(ClaimOutcome),
    /// The attempt may have run, and its response is lost.
    OutcomeUnknown,
    /// The table service does not answer, so the state of the attempt is not known.
    StoreDown,
}

/// Next step of a cancellation.
#[derive(Debug)]
pub enum CancelStep {
    /// Send [`CancelWrite::write`] and apply the result.
    Write(CancelWrite),
    /// Read the row and apply the result.
    Read(CancellingClaim),
    /// The cancellation has ended with this outcome.
    Done(CancelOutcome),
}

impl CancellingClaim {
    /// Cancels an attempt of an agent that was lost.
    pub fn cancel(attempt: ClaimAttempt) -> Self {
        Self { attempt, owner: false, operations: 0 }
    }

    /// Cancels the caller's own attempt, which was not started.
    pub fn release(attempt: ClaimAttempt) -> Self {
        Self { attempt, owner: true, operations: 0 }
    }

    /// Attempt to cancel.
    pub fn attempt(&self) -> &ClaimAttempt {
        &self.attempt
    }

    /// Returns the first step: a write on condition that the row does not exist.
    pub fn start(self, now: SystemTime) -> CancelWrite {
        let record = Box::new(ClaimRecord {
            digest: self.attempt.digest,
            changed_at: now,
            cancelled: IndexSet::from([self.attempt.attempt]),
            state: ClaimState::Free,
        });
        let write = ClaimWrite { condition: WriteCondition::Absent, record };
        CancelWrite { cancelling: self, write }
    }

    /// Applies the result of a read.
    pub fn apply_result(mut self, result: ReadResult, now: SystemTime) -> CancelStep {
        self.operations += 1;
        let row = match result {
            _ if self.operations >= MAX_OPERATIONS => {
                return CancelStep::Done(CancelOutcome::StoreDown);
            }
            ReadResult::Failed => return CancelStep::Done(CancelOutcome::StoreDown),
            ReadResult::Missing => return CancelStep::Write(self.start(now)),
            ReadResult::Found(row) => row,
        };
        let own = self.attempt.attempt;
        let VersionedClaim { version, mut record } = row;
        let outcome = match &record.state {
            ClaimState::Finished { attempt, outcome } if *attempt == own => {
                CancelOutcome::Finished(outcome.clone())
            }
            ClaimState::OutcomeUnknown { attempt } if *attempt == own => {
                CancelOutcome::OutcomeUnknown
            }
            ClaimState::Held { attempt, .. } if *attempt == own => {
                if !self.owner {
                    return CancelStep::Done(CancelOutcome::MayRun);
                }
                record.state = ClaimState::Free;
                record.changed_at = now;
                return self.add_cancelled(version, record);
            }
            // The attempt can no longer run: the row has the final state of another attempt, or, in
            // the next case, lists this one as cancelled or has a digest that refuses it.
            ClaimState::Finished { .. } | ClaimState::OutcomeUnknown { .. } => {
                CancelOutcome::NotRun
            }
            _ if record.cancelled.contains(&own) || record.digest != self.attempt.digest => {
                CancelOutcome::NotRun
            }
            ClaimState::Free | ClaimState::Held { .. } => {
                return self.add_cancelled(version, record);
            }
        };
        CancelStep::Done(outcome)
    }

    fn add_cancelled(self, version: RowVersion, mut record: Box<ClaimRecord>) -> CancelStep {
        record.cancelled.insert(self.attempt.attempt);
        let write = ClaimWrite { condition: WriteCondition::Version(version), record };
        CancelStep::Write(CancelWrite { cancelling: self, write })
    }
}

impl CancelWrite {
    /// The write to send.
    pub fn write(&self) -> &ClaimWrite {
        &self.write
    }

    /// Applies the result of the write.
    pub fn apply_result(mut self, result: WriteResult) -> CancelStep {
        self.cancelling.operations += 1;
        match result {
            WriteResult::Written(_) => CancelStep::Done(CancelOutcome::NotRun),
            WriteResult::Conflict | WriteResult::Indeterminate => CancelStep::Read(self.cancelling),
            WriteResult::NotWritten => CancelStep::Done(CancelOutcome::StoreDown),
        }
    }
}
