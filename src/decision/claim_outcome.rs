//! Storage of claim outcomes, and removal of claim rows after their retention period.

use std::time::SystemTime;

use super::claim::{
    ClaimRecord, ClaimState, ClaimWrite, RETENTION, ReadResult, RowVersion, VersionedClaim,
    WriteCondition, WriteResult,
};
use crate::ids::AttemptId;

/// An outcome to be written. The holder of the claim repeats the write until it is stored.
#[derive(Debug)]
pub struct StoringOutcome {
    attempt: AttemptId,
    write: ClaimWrite,
}

/// Next step of the storage of an outcome.
#[derive(Debug)]
pub enum StoreStep {
    /// Send [`StoringOutcome::write`] again after a pause.
    Retry(StoringOutcome),
    /// Read the row and pass it to [`StoringOutcome::apply_read`].
    Read(StoringOutcome),
    /// The row has its final state.
    Stored,
}

impl StoringOutcome {
    /// Prepares the write of the attempt that holds the claim.
    pub(super) fn new(attempt: AttemptId, write: ClaimWrite) -> Self {
        Self { attempt, write }
    }

    /// The write to send.
    pub fn write(&self) -> &ClaimWrite {
        &self.write
    }

    /// Applies the result of the write.
    pub fn apply_result(self, result: WriteResult) -> StoreStep {
        match result {
            WriteResult::Written(_) => StoreStep::Stored,
            WriteResult::Conflict => StoreStep::Read(self),
            WriteResult::Indeterminate | WriteResult::NotWritten => StoreStep::Retry(self),
        }
    }

    /// Applies the result of reading the row after a conflict: either an earlier write took effect,
    /// or another attempt was added to the cancelled ones.
    pub fn apply_read(mut self, result: ReadResult) -> StoreStep {
        match result {
            ReadResult::Failed => StoreStep::Read(self),
            ReadResult::Missing => StoreStep::Stored,
            ReadResult::Found(row) => match row.record.state {
                ClaimState::Held { attempt, .. } if attempt == self.attempt => {
                    self.write.condition = WriteCondition::Version(row.version);
                    self.write.record.cancelled = row.record.cancelled;
                    StoreStep::Retry(self)
                }
                _ => StoreStep::Stored,
            },
        }
    }
}

/// What to do with a row at the end of its retention period.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RetentionAction {
    /// Keep the row, whose retention period has not ended.
    Keep,
    /// Write this record, which marks the outcome as unknown: the claim had none in all that time.
    MarkUnknown(ClaimWrite),
    /// Remove the row if it still has this version.
    Remove(RowVersion),
}

/// Returns what to do with a row at `now`.
pub fn retention_action(row: &VersionedClaim, now: SystemTime) -> RetentionAction {
    let age = now.duration_since(row.record.changed_at).unwrap_or_default();
    if age < RETENTION {
        return RetentionAction::Keep;
    }
    match row.record.state {
        ClaimState::Held { attempt, .. } => {
            let state = ClaimState::OutcomeUnknown { attempt };
            let unknown = ClaimRecord { state, changed_at: now, ..(*row.record).clone() };
            let record = Box::new(unknown);
            let condition = WriteCondition::Version(row.version);
            RetentionAction::MarkUnknown(ClaimWrite { condition, record })
        }
        _ => RetentionAction::Remove(row.version),
    }
}
