//! The exchange with the table service that a claim, a cancellation or an outcome consists of.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use http::StatusCode;

use super::claim_rows::{CLAIM_PREFIX, decode_claim, encode_claim};
use super::http_client::PlatformError;
use super::table::{HttpTable, RowCondition, RowWrite, TableService, TransactionOutcome};
use crate::decision::claim::{
    ClaimAttempt, ClaimStep, ClaimWrite, ReadResult, VersionedClaim, WriteCondition, WriteResult,
    WritingClaim,
};
use crate::decision::claim_cancel::{CancelOutcome, CancelStep, CancellingClaim};
use crate::decision::claim_outcome::{
    RetentionAction, StoreStep, StoringOutcome, retention_action,
};
use crate::settings::PlatformSettings;

/// Row with the time of the last removal of expired rows, in milliseconds since the Unix epoch.
const SWEEP_ROW: &str = "claim-sweep";

/// Rows that are looked at, and at most written, at once.
const SWEEP_PAGE: usize = 500;

/// What was done with one page of rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SweptPage {
    /// Rows removed or marked as unknown.
    pub removed: usize,
    /// Last key of the page.
    pub last_key: String,
}

/// Time for one table operation of a claim. A caller waits for it, and a lost answer is read back.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

/// What one exchange showed about the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreSignal {
    /// It answered.
    Answered,
    /// It did not answer or failed.
    Failed,
    /// It refused a write for its rate.
    Throttled,
}

/// Reads and writes claim rows.
#[derive(Clone, Debug)]
pub struct ClaimTable {
    table: HttpTable,
}

impl ClaimTable {
    /// Creates a client for the claim rows of the platform's table service.
    pub fn new(platform: &PlatformSettings) -> Self {
        let timeout = platform.timeout.min(CLAIM_TIMEOUT);
        Self { table: HttpTable::new(&platform.table, timeout) }
    }

    /// Reads a row.
    pub async fn read(&self, key: &str) -> (ReadResult, StoreSignal) {
        match self.table.read(key).await {
            Ok(None) => (ReadResult::Missing, StoreSignal::Answered),
            Ok(Some(row)) => match decode_claim(row.value) {
                Ok(record) => {
                    let found = VersionedClaim { version: row.version, record: Box::new(record) };
                    (ReadResult::Found(found), StoreSignal::Answered)
                }
                Err(error) => {
                    log::error!(key; "a claim row cannot be read: {error}");
                    (ReadResult::Failed, StoreSignal::Answered)
                }
            },
            Err(error) => {
                log::debug!(key; "cannot read the claim: {error}");
                (ReadResult::Failed, signal_of(&error))
            }
        }
    }

    /// Writes a row under its condition.
    pub async fn write(&self, key: &str, write: &ClaimWrite) -> (WriteResult, StoreSignal) {
        let version = match write.condition {
            WriteCondition::Absent => 0,
            WriteCondition::Version(version) => version,
        };
        let condition = RowCondition { key: key.to_owned(), version };
        let value = Some(encode_claim(&write.record));
        let outcome =
            self.table.transact(vec![condition], vec![RowWrite { key: key.to_owned(), value }]);
        match outcome.await {
            Ok(TransactionOutcome::Committed(versions)) => match versions.get(key) {
                Some(version) => (WriteResult::Written(*version), StoreSignal::Answered),
                None => (WriteResult::Indeterminate, StoreSignal::Answered),
            },
            Ok(TransactionOutcome::Conflict(_)) => (WriteResult::Conflict, StoreSignal::Answered),
            Err(error) => {
                log::debug!(key; "cannot write the claim: {error}");
                (write_report(&error), signal_of(&error))
            }
        }
    }

    /// Tries to claim the key for an attempt; the step is `Held` or `Refused`.
    pub async fn claim(&self, key: &str, attempt: ClaimAttempt) -> (ClaimStep, StoreSignal) {
        let mut step = ClaimStep::Write(WritingClaim::new(attempt, SystemTime::now()));
        let mut signal = StoreSignal::Answered;
        loop {
            step = match step {
                ClaimStep::Write(claim) => {
                    let report;
                    (report, signal) = self.write(key, claim.write()).await;
                    claim.apply_result(report)
                }
                ClaimStep::Read(claim) => {
                    let report;
                    (report, signal) = self.read(key).await;
                    claim.apply_result(report, SystemTime::now())
                }
                end => return (end, signal),
            };
        }
    }

    /// Cancels an attempt, as far as the store and the attempt's state allow.
    pub async fn cancel(&self, key: &str, cancelling: CancellingClaim) -> CancelOutcome {
        let mut step = CancelStep::Write(cancelling.start(SystemTime::now()));
        loop {
            step = match step {
                CancelStep::Write(cancel) => {
                    let (report, _) = self.write(key, cancel.write()).await;
                    cancel.apply_result(report)
                }
                CancelStep::Read(cancelling) => {
                    let (report, _) = self.read(key).await;
                    cancelling.apply_result(report, SystemTime::now())
                }
                CancelStep::Done(outcome) => return outcome,
            };
        }
    }

    /// Takes the turn to remove expired rows, unless a router took it within `interval`.
    pub async fn take_sweep_turn(&self, now: SystemTime, interval: Duration) -> bool {
        let Ok(row) = self.table.read(SWEEP_ROW).await else { return false };
        let last = row.as_ref().and_then(|row| row.value.as_u64()).unwrap_or(0);
        let now = now.duration_since(UNIX_EPOCH).unwrap_or_default();
        if Duration::from_millis(last) + interval > now {
            return false;
        }
        let version = row.map_or(0, |row| row.version);
        let condition = RowCondition { key: SWEEP_ROW.to_owned(), version };
        let value = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        let write = RowWrite { key: SWEEP_ROW.to_owned(), value: Some(value.into()) };
        let outcome = self.table.transact(vec![condition], vec![write]).await;
        matches!(outcome, Ok(TransactionOutcome::Committed(_)))
    }

    /// Removes the expired rows of the page after a key; `None` after the last page or when the
    /// store does not answer.
    pub async fn sweep_page(&self, after: &str, now: SystemTime) -> Option<SweptPage> {
        let rows = self.table.scan(CLAIM_PREFIX, after, SWEEP_PAGE).await.ok()?;
        let last_key = rows.last()?.key.clone();
        let (mut conditions, mut writes) = (Vec::new(), Vec::new());
        for row in rows {
            let Ok(record) = decode_claim(row.value) else { continue };
            let (key, version) = (row.key, row.version);
            let claim = VersionedClaim { version, record: Box::new(record) };
            let value = match retention_action(&claim, now) {
                RetentionAction::Keep => continue,
                RetentionAction::MarkUnknown(write) => Some(encode_claim(&write.record)),
                RetentionAction::Remove(_) => None,
            };
            conditions.push(RowCondition { key: key.clone(), version });
            writes.push(RowWrite { key, value });
        }
        let removed = writes.len();
        if removed == 0 {
            return Some(SweptPage { removed, last_key });
        }
        // A row that changed meanwhile makes the whole page wait for the next turn.
        let outcome = self.table.transact(conditions, writes).await;
        let committed = matches!(outcome, Ok(TransactionOutcome::Committed(_)));
        Some(SweptPage { removed: if committed { removed } else { 0 }, last_key })
    }

    /// Makes one try to store an outcome; `None` when it is stored.
    pub async fn store(&self, key: &str, storing: StoringOutcome) -> Option<StoringOutcome> {
        let (report, _) = self.write(key, storing.write()).await;
        let mut step = storing.apply_result(report);
        if let StoreStep::Read(storing) = step {
            let (report, _) = self.read(key).await;
            step = storing.apply_read(report);
        }
        match step {
            StoreStep::Stored => None,
            StoreStep::Retry(storing) | StoreStep::Read(storing) => Some(storing),
        }
    }
}

/// Only a refusal by the client's own fault or rate proves that a write had no effect: an error of
/// the server may come from a part in front of the one that carried the write out.
fn write_report(error: &PlatformError) -> WriteResult {
    match error {
        PlatformError::Unreachable { .. } => WriteResult::NotWritten,
        PlatformError::Refused { status, .. } if status.is_client_error() => {
            WriteResult::NotWritten
        }
        _ => WriteResult::Indeterminate,
    }
}

fn signal_of(error: &PlatformError) -> StoreSignal {
    match error {
        PlatformError::Refused { status, .. } if *status == StatusCode::TOO_MANY_REQUESTS => {
            StoreSignal::Throttled
        }
        _ => StoreSignal::Failed,
    }
}
