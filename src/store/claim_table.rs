//! Reads and writes claim rows: claims, cancellations, outcomes, and the removal of expired rows.

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

/// Key of the row that holds the time of the last sweep, in milliseconds since the Unix epoch. A
/// sweep removes the expired claim rows.
const SWEEP_ROW: &str = "claim-sweep";

/// Maximum number of rows that a sweep reads, and writes in one transaction.
const SWEEP_PAGE_ROWS: usize = 500;

/// Result of sweeping one page of claim rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SweptPage {
    /// Number of rows that were removed or whose outcome was marked as unknown.
    pub removed: usize,
    /// Last key of the page.
    pub last_key: String,
}

/// Timeout of one table operation on a claim. It is short because a caller waits for the result; a
/// write whose reply is lost is resolved by reading the row.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

/// Condition of the store, as shown by one table operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreSignal {
    /// The store answered.
    Answered,
    /// The store did not answer, or failed.
    Failed,
    /// The store refused a write because of its rate limit.
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

    /// Reads a claim row.
    pub async fn read(&self, key: &str) -> (ReadResult, StoreSignal) {
        match self.table.read(key).await {
            Ok(None) => (ReadResult::Missing, StoreSignal::Answered),
            Ok(Some(row)) => match decode_claim(row.value) {
                Ok(record) => {
                    let found = VersionedClaim { version: row.version, record: Box::new(record) };
                    (ReadResult::Found(found), StoreSignal::Answered)
                }
                Err(error) => {
                    log::error!(key; "cannot decode the claim row: {error}");
                    (ReadResult::Failed, StoreSignal::Answered)
                }
            },
            Err(error) => {
                log::debug!(key; "cannot read the claim: {error}");
                (ReadResult::Failed, store_signal(&error))
            }
        }
    }

    /// Writes a claim row if the condition of the write holds.
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
                (failed_write_report(&error), store_signal(&error))
            }
        }
    }

    /// Tries to claim a key for an attempt; the returned step is `Held` or `Refused`.
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
                last => return (last, signal),
            };
        }
    }

    /// Cancels an attempt; the verdict says whether it can still run or has run.
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

    /// Records the start of a sweep; returns `false` if a router started one within `interval` or
    /// the store did not commit the record.
    pub async fn try_begin_sweep(&self, now: SystemTime, interval: Duration) -> bool {
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

    /// Removes the expired rows from the page that follows the key `after`; returns `None` after
    /// the last page, or if the store does not answer.
    pub async fn sweep_page(&self, after: &str, now: SystemTime) -> Option<SweptPage> {
        let rows = self.table.scan(CLAIM_PREFIX, after, SWEEP_PAGE_ROWS).await.ok()?;
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
        // If a row has changed since the scan, the whole page is left to the next sweep.
        let outcome = self.table.transact(conditions, writes).await;
        let committed = matches!(outcome, Ok(TransactionOutcome::Committed(_)));
        Some(SweptPage { removed: if committed { removed } else { 0 }, last_key })
    }

    /// Tries once to store an outcome; returns `None` if it is stored, else the state for the next
    /// try.
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

/// Classifies a failed write.
///
/// A failed connection or a 4xx status proves that the write had no effect. A 5xx status does not:
/// it may come from a proxy whose server has carried the write out.
fn failed_write_report(error: &PlatformError) -> WriteResult {
    match error {
        PlatformError::Unreachable { .. } => WriteResult::NotWritten,
        PlatformError::Refused { status, .. } if status.is_client_error() => {
            WriteResult::NotWritten
        }
        _ => WriteResult::Indeterminate,
    }
}

fn store_signal(error: &PlatformError) -> StoreSignal {
    match error {
        PlatformError::Refused { status, .. } if *status == StatusCode::TOO_MANY_REQUESTS => {
            StoreSignal::Throttled
        }
        _ => StoreSignal::Failed,
    }
}
