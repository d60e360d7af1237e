//! Writing the configuration: a compare-and-swap on the row's version, with the audit row in the
//! same transaction.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::changes::list_changes;
use super::checked::VersionedConfiguration;
use super::raw::RawConfiguration;
use super::{AUDIT_PREFIX, CONFIGURATION_ROW, HEAD_ROW};
use crate::findings::FindingList;
use crate::ids::ConfigurationVersion;
use crate::store::{RowCondition, RowWrite, TableService, TransactionOutcome};

/// Attempts to find out what became of a write whose reply was lost.
const READ_BACK_ATTEMPTS: u32 = 5;

/// Pause between these attempts.
const READ_BACK_PAUSE: Duration = Duration::from_millis(300);

/// A configuration as the store has it; version 0 and empty before the first.
#[derive(Clone, Debug, Default)]
pub struct StoredConfiguration {
    /// Version of the row.
    pub version: ConfigurationVersion,
    /// Document.
    pub document: RawConfiguration,
}

/// Record of one change, in the row `audit/<version that it replaced>`. The row's own version is
/// the version that the change made, because the store gives all rows of a transaction one version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct AuditRecord {
    /// Drawn at random; tells a change from another one when a reply was lost.
    pub change_id: String,
    /// Version that the change replaced.
    pub replaces: ConfigurationVersion,
    /// Operator, or the job that made the change.
    pub operator: String,
    /// When (RFC 3339).
    pub at: String,
    /// What differs, one line an entry.
    pub changes: Vec<String>,
}

/// A change of the configuration that is ready to be written.
#[derive(Clone, Debug)]
pub struct ConfigurationChange {
    /// What the change is based on.
    pub base: StoredConfiguration,
    /// The whole new document.
    pub document: RawConfiguration,
    /// Who makes it.
    pub operator: String,
    /// Further conditions, such as the lease row of the job that makes the change.
    pub conditions: Vec<RowCondition>,
    /// Further writes, such as the renewal of that lease.
    pub writes: Vec<RowWrite>,
}

/// An accepted change.
#[derive(Clone, Debug)]
pub struct AcceptedChange {
    /// The configuration, with the version that the store gave it.
    pub configuration: Arc<VersionedConfiguration>,
    /// What differs.
    pub changes: Vec<String>,
}

/// Why a change was not written.
#[derive(Debug, Display, Error)]
pub enum CommitError {
    /// The new document has findings.
    #[display("{_0}")]
    Findings(FindingList),
    /// A condition on this row did not hold.
    #[display("another change came first (row {key})")]
    Conflict {
        /// Row that differs.
        key: String,
    },
    /// The store was not reached; nothing was written.
    #[display("the table service cannot be reached: {cause}")]
    StoreDown {
        /// Last failure.
        cause: String,
    },
    /// The reply was lost and the store could not be read since.
    #[display("the table service did not say whether the change was made: {cause}")]
    OutcomeUnknown {
        /// Last failure.
        cause: String,
    },
}

/// Returns the key of the audit row of the change that replaced a version. Versions are padded so
/// that the rows sort by number.
pub fn audit_key(replaces: ConfigurationVersion) -> String {
    format!("{AUDIT_PREFIX}{replaces:020}")
}

/// Reads the configuration that a change is based on.
pub async fn read_stored(table: &impl TableService) -> Result<StoredConfiguration, CommitError> {
    let row = table.read(CONFIGURATION_ROW).await;
    let row = row.map_err(|error| CommitError::StoreDown { cause: error.to_string() })?;
    let Some(row) = row else { return Ok(StoredConfiguration::default()) };
    let document = serde_json::from_value(row.value).map_err(|error| {
        let mut findings = FindingList::default();
        findings.push(CONFIGURATION_ROW, error.to_string());
        CommitError::Findings(findings)
    })?;
    Ok(StoredConfiguration { version: row.version, document })
}

impl ConfigurationChange {
    /// Prepares a change by an operator.
    pub fn new(
        base: StoredConfiguration,
        document: RawConfiguration,
        operator: impl Into<String>,
    ) -> Self {
        let (conditions, writes) = (Vec::new(), Vec::new());
        Self { base, document, operator: operator.into(), conditions, writes }
    }

    /// Checks the document and writes it if the base is still in force. A document that equals
    /// the base is not written, so that repeating a change changes nothing.
    pub async fn commit(self, table: &impl TableService) -> Result<AcceptedChange, CommitError> {
        let Self { base, document, operator, conditions, writes } = self;
        let checked = VersionedConfiguration::check(base.version, document.clone());
        let unchanged = checked.map_err(CommitError::Findings)?;
        let changes = list_changes(&base.document, &document);
        if base.document == document && base.version != 0 {
            return Ok(AcceptedChange { configuration: unchanged, changes });
        }
        let record = AuditRecord {
            change_id: format!("{:032x}", rand::random::<u128>()),
            replaces: base.version,
            operator,
            at: humantime::format_rfc3339_millis(SystemTime::now()).to_string(),
            changes,
        };
        let mut all_conditions = vec![
            RowCondition { key: CONFIGURATION_ROW.to_owned(), version: base.version },
            RowCondition::absent(audit_key(base.version)),
        ];
        all_conditions.extend(conditions);
        let mut all_writes = vec![
            write(CONFIGURATION_ROW, &document),
            write(HEAD_ROW, &record.change_id),
            write(&audit_key(base.version), &record),
        ];
        all_writes.extend(writes);
        let version = transact(table, &record, all_conditions, all_writes).await?;
        let configuration =
            VersionedConfiguration::check(version, document).map_err(CommitError::Findings)?;
        Ok(AcceptedChange { configuration, changes: record.changes })
    }
}

fn write(key: &str, value: &impl Serialize) -> RowWrite {
    // These values have only plain fields, so encoding cannot fail; null would delete the row.
    let value = serde_json::to_value(value).unwrap_or_else(|_| Value::Object(Default::default()));
    RowWrite { key: key.to_owned(), value: Some(value) }
}

async fn transact(
    table: &impl TableService,
    record: &AuditRecord,
    conditions: Vec<RowCondition>,
    writes: Vec<RowWrite>,
) -> Result<ConfigurationVersion, CommitError> {
    match table.transact(conditions, writes).await {
        Ok(TransactionOutcome::Committed(versions)) => {
            Ok(versions.get(CONFIGURATION_ROW).copied().unwrap_or_default())
        }
        Ok(TransactionOutcome::Conflict(conflicts)) => {
            // The client may have sent the transaction again after a lost reply.
            match read_back(table, record).await {
                Ok(Some(version)) => Ok(version),
                _ => {
                    let key = conflicts.first().map(|row| row.key.clone()).unwrap_or_default();
                    Err(CommitError::Conflict { key })
                }
            }
        }
        Err(error) => {
            for _ in 0..READ_BACK_ATTEMPTS {
                match read_back(table, record).await {
                    Ok(Some(version)) => return Ok(version),
                    // The write may still be on its way, so its absence proves nothing yet.
                    Ok(None) | Err(_) => tokio::time::sleep(READ_BACK_PAUSE).await,
                }
            }
            Err(CommitError::OutcomeUnknown { cause: error.to_string() })
        }
    }
}

/// Returns the version that the change made, if its audit row is there.
async fn read_back(
    table: &impl TableService,
    record: &AuditRecord,
) -> Result<Option<ConfigurationVersion>, CommitError> {
    let row = table.read(&audit_key(record.replaces)).await;
    let row = row.map_err(|error| CommitError::StoreDown { cause: error.to_string() })?;
    Ok(row.and_then(|row| {
        let stored: AuditRecord = serde_json::from_value(row.value).ok()?;
        (stored.change_id == record.change_id).then_some(row.version)
    }))
}
