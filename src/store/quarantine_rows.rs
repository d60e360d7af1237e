//! Quarantine rows in the table service: what is known of requests that crash their upstream, and
//! which attempt runs one of them on trial.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::http_client::PlatformError;
use super::table::{HttpTable, RowCondition, RowWrite, TableService, TransactionOutcome};
use crate::decision::quarantine::{CrashId, QuarantineState, RequestFingerprint, SuspectRecord};
use crate::ids::AttemptId;

/// Prefix of the rows.
const ROW_PREFIX: &str = "quarantine/";

/// Time after which a trial whose agent was lost no longer keeps others from running the request.
const TRIAL_TIME: Duration = Duration::from_secs(120);

/// Tries to change a row that others change at the same time.
const CHANGE_ATTEMPTS: u32 = 8;

/// Most rows that are read at once.
const SCAN_LIMIT: usize = 4096;

/// A row's value.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", default)]
struct RawSuspect {
    /// Milliseconds since the Unix epoch by crash.
    crashes: IndexMap<CrashId, u64>,
    excused: IndexSet<CrashId>,
    trial: Option<RawTrial>,
}

/// An attempt that runs a suspect alone.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawTrial {
    attempt: String,
    until_ms: u64,
}

/// Whether an attempt may run a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialVerdict {
    /// It may; the trial is recorded.
    Granted,
    /// Another attempt runs it, or the store does not answer.
    Elsewhere,
    /// It has crashed two upstreams.
    Quarantined,
}

/// Reads and changes quarantine rows.
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
        self.crashes = merged.crashes.iter().map(|(crash, at)| (*crash, to_ms(*at))).collect();
        self.excused = merged.excused;
    }
}

fn to_ms(at: SystemTime) -> u64 {
    let since = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}

impl QuarantineTable {
    /// Uses the quarantine rows of `table`.
    pub fn new(table: HttpTable) -> Self {
        Self { table }
    }

    /// Reads all rows.
    pub async fn scan(&self) -> Result<Vec<(RequestFingerprint, SuspectRecord)>, PlatformError> {
        let rows = self.table.scan(ROW_PREFIX, "", SCAN_LIMIT).await?;
        let parsed = rows.into_iter().filter_map(|row| {
            let name = row.key.strip_prefix(ROW_PREFIX)?;
            let fingerprint = RequestFingerprint::from_str_radix(name, 16).ok()?;
            let raw: RawSuspect = serde_json::from_value(row.value).ok()?;
            Some((fingerprint, raw.record()))
        });
        Ok(parsed.collect())
    }

    /// Adds what is known of a suspect.
    pub async fn publish(
        &self,
        fingerprint: RequestFingerprint,
        record: &SuspectRecord,
    ) -> Result<(), PlatformError> {
        let change = |raw: &mut RawSuspect| {
            raw.merge(record);
            Some(())
        };
        self.change(fingerprint, change).await.map(|_| ())
    }

    /// Ends the trial of `attempt`; a trial that ended without a crash excuses the suspect from
    /// the crashes so far. Returns what is known of the suspect afterwards.
    pub async fn end_trial(
        &self,
        fingerprint: RequestFingerprint,
        attempt: AttemptId,
        cleared: bool,
    ) -> Result<SuspectRecord, PlatformError> {
        let attempt = format!("{attempt:x}");
        let mut record = SuspectRecord::default();
        let change = |raw: &mut RawSuspect| {
            let own = raw.trial.as_ref().is_some_and(|trial| trial.attempt == attempt);
            if own {
                raw.trial = None;
            }
            if cleared {
                raw.excused.extend(raw.crashes.keys().copied());
            }
            record = raw.record();
            (own || cleared).then_some(())
        };
        self.change(fingerprint, change).await?;
        Ok(record)
    }

    /// Asks for the trial of a suspect, so that only one attempt in the fleet runs it at a time.
    pub async fn begin_trial(
        &self,
        fingerprint: RequestFingerprint,
        attempt: AttemptId,
    ) -> TrialVerdict {
        let mut verdict = TrialVerdict::Elsewhere;
        let changed = self.change(fingerprint, |raw| {
            let now = SystemTime::now();
            if matches!(raw.record().state(now), QuarantineState::Refused { .. }) {
                verdict = TrialVerdict::Quarantined;
                return None;
            }
            if raw.trial.as_ref().is_some_and(|trial| trial.until_ms > to_ms(now)) {
                verdict = TrialVerdict::Elsewhere;
                return None;
            }
            let until_ms = to_ms(now + TRIAL_TIME);
            raw.trial = Some(RawTrial { attempt: format!("{attempt:x}"), until_ms });
            Some(())
        });
        match changed.await {
            Ok(true) => TrialVerdict::Granted,
            Ok(false) => verdict,
            Err(error) => {
                log::warn!("cannot record the trial of a suspect request: {error}");
                TrialVerdict::Elsewhere
            }
        }
    }

    /// Changes a row by compare-and-swap; returns whether `change` wanted to and succeeded.
    async fn change(
        &self,
        fingerprint: RequestFingerprint,
        mut change: impl FnMut(&mut RawSuspect) -> Option<()>,
    ) -> Result<bool, PlatformError> {
        let key = format!("{ROW_PREFIX}{fingerprint:032x}");
        for _ in 0..CHANGE_ATTEMPTS {
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
