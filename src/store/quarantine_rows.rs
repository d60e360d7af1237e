//! Quarantine rows in the table service: the crash records of requests that are suspected of
//! crashing their upstream, and the attempt that runs such a request on trial.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::http_client::PlatformError;
use super::table::{HttpTable, RowCondition, RowWrite, TableService, TransactionOutcome};
use crate::decision::quarantine::{CrashId, QuarantineState, RequestFingerprint, SuspectRecord};
use crate::ids::AttemptId;

/// Prefix of the quarantine rows.
const QUARANTINE_PREFIX: &str = "quarantine/";

/// Time after which a trial expires, so that the loss of its agent does not block the request.
const TRIAL_TIMEOUT: Duration = Duration::from_secs(120);

/// Maximum number of compare-and-swap attempts of one update.
const UPDATE_ATTEMPTS: u32 = 8;

/// Maximum number of rows in a scan.
const SCAN_ROWS_LIMIT: usize = 4096;

/// Stored form of a [`SuspectRecord`], with the trial in progress.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct RawSuspect {
    /// Time of each crash in milliseconds since the Unix epoch.
    crashes: IndexMap<CrashId, u64>,
    excused: IndexSet<CrashId>,
    trial: Option<RawTrial>,
}

/// Stored form of a trial: an attempt that runs a suspect request alone.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawTrial {
    attempt: String,
    until_ms: u64,
}

/// Whether an attempt may run a suspect request on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialVerdict {
    /// It may run; the trial is recorded.
    Granted,
    /// Another attempt runs the request, or the store does not answer.
    Unavailable,
    /// The request has crashed two upstreams and must not run.
    Quarantined,
}

/// Reads and updates quarantine rows.
#[derive(Clone, Debug)]
pub struct QuarantineTable {
    table: HttpTable,
}

impl RawSuspect {
    fn record(&self) -> SuspectRecord {
        let time = |ms: &u64| UNIX_EPOCH + Duration::from_millis(*ms);
        let crashes = self.crashes.iter().map(|(crash, ms)| (*crash, time(ms))).collect();
        SuspectRecord { crashes, excused: self.excused.clone() }
    }

    fn merge(&mut self, record: &SuspectRecord) {
        let mut merged = self.record();
        merged.merge(record);
        self.crashes =
            merged.crashes.iter().map(|(crash, at)| (*crash, to_epoch_ms(*at))).collect();
        self.excused = merged.excused;
    }
}

fn to_epoch_ms(at: SystemTime) -> u64 {
    let since_epoch = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}

impl QuarantineTable {
    /// Creates a client for the quarantine rows in `table`.
    pub fn new(table: HttpTable) -> Self {
        Self { table }
    }

    /// Reads all quarantine rows; rows that cannot be decoded are skipped.
    pub async fn scan(&self) -> Result<Vec<(RequestFingerprint, SuspectRecord)>, PlatformError> {
        let rows = self.table.scan(QUARANTINE_PREFIX, "", SCAN_ROWS_LIMIT).await?;
        let records = rows.into_iter().filter_map(|row| {
            let name = row.key.strip_prefix(QUARANTINE_PREFIX)?;
            let fingerprint = RequestFingerprint::from_str_radix(name, 16).ok()?;
            let raw: RawSuspect = serde_json::from_value(row.value).ok()?;
            Some((fingerprint, raw.record()))
        });
        Ok(records.collect())
    }

    /// Merges a record into the row of a suspect request.
    pub async fn publish(
        &self,
        fingerprint: RequestFingerprint,
        record: &SuspectRecord,
    ) -> Result<(), PlatformError> {
        let change = |raw: &mut RawSuspect| {
            raw.merge(record);
            Some(())
        };
        self.update_row(fingerprint, change).await.map(|_| ())
    }

    /// Ends the trial of `attempt` and returns the updated record. If the trial has `cleared` the
    /// request, the crashes so far are excused: they no longer count against it.
    pub async fn end_trial(
        &self,
        fingerprint: RequestFingerprint,
        attempt: AttemptId,
        cleared: bool,
    ) -> Result<SuspectRecord, PlatformError> {
        let attempt = format!("{attempt:x}");
        let mut record = SuspectRecord::default();
        let change = |raw: &mut RawSuspect| {
            let is_own = raw.trial.as_ref().is_some_and(|trial| trial.attempt == attempt);
            if is_own {
                raw.trial = None;
            }
            if cleared {
                raw.excused.extend(raw.crashes.keys().copied());
            }
            record = raw.record();
            (is_own || cleared).then_some(())
        };
        self.update_row(fingerprint, change).await?;
        Ok(record)
    }

    /// Tries to begin a trial of a suspect request; at most one attempt in the fleet runs it at a
    /// time.
    pub async fn begin_trial(
        &self,
        fingerprint: RequestFingerprint,
        attempt: AttemptId,
    ) -> TrialVerdict {
        let mut verdict = TrialVerdict::Unavailable;
        let changed = self.update_row(fingerprint, |raw| {
            let now = SystemTime::now();
            if matches!(raw.record().state(now), QuarantineState::Refused { .. }) {
                verdict = TrialVerdict::Quarantined;
                return None;
            }
            if raw.trial.as_ref().is_some_and(|trial| trial.until_ms > to_epoch_ms(now)) {
                verdict = TrialVerdict::Unavailable;
                return None;
            }
            let until_ms = to_epoch_ms(now + TRIAL_TIMEOUT);
            raw.trial = Some(RawTrial { attempt: format!("{attempt:x}"), until_ms });
            Some(())
        });
        match changed.await {
            Ok(true) => TrialVerdict::Granted,
            Ok(false) => verdict,
            Err(error) => {
                log::warn!("cannot record the trial of a suspect request: {error}");
                TrialVerdict::Unavailable
            }
        }
    }

    /// Updates a row by compare-and-swap. Returns `false` if `change` returned `None`, or if all
    /// attempts met a conflict.
    async fn update_row(
        &self,
        fingerprint: RequestFingerprint,
        mut change: impl FnMut(&mut RawSuspect) -> Option<()>,
    ) -> Result<bool, PlatformError> {
        let key = format!("{QUARANTINE_PREFIX}{fingerprint:032x}");
        for _ in 0..UPDATE_ATTEMPTS {
            let row = self.table.read(&key).await?;
            let version = row.as_ref().map_or(0, |row| row.version);
            let value = row.map(|row| row.value).unwrap_or_default();
            let mut raw: RawSuspect = serde_json::from_value(value).unwrap_or_default();
            if change(&mut raw).is_none() {
                return Ok(false);
            }
            let condition = RowCondition { key: key.clone(), version };
            let value = serde_json::to_value(&raw).ok();
            let write = RowWrite { key: key.clone(), value };
            let outcome = self.table.transact(vec![condition], vec![write]).await?;
            if matches!(outcome, TransactionOutcome::Committed(_)) {
                return Ok(true);
            }
        }
        Ok(false)
    }
}
