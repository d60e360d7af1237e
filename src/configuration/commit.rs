//! Writes the configuration with a compare-and-swap on the version of its row, and the audit record
//! in the same transaction.

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

/// Number of attempts to find out whether a write whose reply was lost was committed.
const READ_BACK_ATTEMPTS: u32 = 5;

/// Pause after each of these attempts.
const READ_BACK_INTERVAL: Duration = Duration::from_millis(300);

/// The stored configuration; version 0 and an empty document before the first.
#[derive(Clone, Debug, Default)]
pub struct StoredConfiguration {
    /// Version of the row.
    pub version: ConfigurationVersion,
    /// Unchecked document.
    pub document: RawConfiguration,
}

/// Record of a change, stored in the row `audit/<version that it replaced>`. The version of that
/// row is the new configuration version, because the store assigns one version to all rows of a
/// transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct AuditRecord {
    /// Random id. After a lost reply, it shows whether the audit row belongs to this change or to
    /// another one.
    pub change_id: String,
    /// Version that the change replaced.
    pub replaces: ConfigurationVersion,
    /// Operator or job that made the change.
    pub operator: String,
    /// Time of the change (RFC 3339).
    pub at: String,
    /// Differences, one line per changed entry.
    pub changes: Vec<String>,
}

/// A change of the configuration to be written.
#[derive(Clone, Debug)]
pub struct ConfigurationChange {
    /// Configuration that the change is based on.
    pub base: StoredConfiguration,
    /// The whole new document.
    pub document: RawConfiguration,
    /// Operator or job that makes the change.
    pub operator: String,
    /// Additional conditions, such as on the lease row of the job that makes the change.
    pub conditions: Vec<RowCondition>,
    /// Additional writes in the same transaction, such as the renewal of that lease.
    pub writes: Vec<RowWrite>,
}

/// An accepted change.
#[derive(Clone, Debug)]
pub struct AcceptedChange {
    /// The new configuration with the version that the store assigned to it.
    pub configuration: Arc<VersionedConfiguration>,
    /// Differences, one line per changed entry.
    pub changes: Vec<String>,
}

/// Why a change was not written.
#[derive(Debug, Display, Error)]
pub enum CommitError {
    /// The new document has findings.
    #[display("{_0}")]
    Findings(FindingList),
    /// The condition on a row did not hold.
    #[display("another change came first (row {key})")]
    Conflict {
        /// Key of the row.
        key: String,
    },
    /// The store could not be read; nothing was written.
    #[display("the table service cannot be reached: {cause}")]
    StoreDown {
        /// Last failure.
        cause: String,
    },
    /// The reply was lost, and reading the store since then did not show that the change was
    /// committed.
    #[display("the table service did not say whether the change was made: {cause}")]
    OutcomeUnknown {
        /// Last failure.
        cause: String,
    },
}

/// Returns the key of the audit row for the change that replaced a version. The version is padded
/// with zeros, so that the keys sort numerically.
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
    /// Creates a change without additional conditions and writes.
    pub fn new(
        base: StoredConfiguration,
        document: RawConfiguration,
        operator: impl Into<String>,
    ) -> Self {
        let (conditions, writes) = (Vec::new(), Vec::new());
        Self { base, document, operator: operator.into(), conditions, writes }
    }

    /// Checks the document and writes it if the stored version is still that of the base. A
    /// document that equals the base is not written, so that repeating a change has no effect.
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
            row_write(CONFIGURATION_ROW, &document),
            row_write(HEAD_ROW, &record.change_id),
            row_write(&audit_key(base.version), &record),
        ];
        all_writes.extend(writes);
        let version = write_change(table, &record, all_conditions, all_writes).await?;
        let configuration =
            VersionedConfiguration::check(version, document).map_err(CommitError::Findings)?;
        Ok(AcceptedChange { configuration, changes: record.changes })
    }
}

fn row_write(key: &str, value: &impl Serialize) -> RowWrite {
    // Encoding cannot fail for these types. The fallback is an object, because null would delete
    // the row.
    let value = serde_json::to_value(value).unwrap_or_else(|_| Value::Object(Default::default()));
    RowWrite { key: key.to_owned(), value: Some(value) }
}

async fn write_change(
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
            // The client may have repeated the transaction after a lost reply, and the conflict may
            // be with its own first attempt.
            match find_written_version(table, record).await {
                Ok(Some(version)) => Ok(version),
                _ => {
                    let key = conflicts.first().map(|row| row.key.clone()).unwrap_or_default();
                    Err(CommitError::Conflict { key })
                }
            }
        }
        Err(error) => {
            for _ in 0..READ_BACK_ATTEMPTS {
                match find_written_version(table, record).await {
                    Ok(Some(version)) => return Ok(version),
                    // The write may still be in transit, so a missing audit row proves nothing yet.
                    Ok(None) | Err(_) => tokio::time::sleep(READ_BACK_INTERVAL).await,
                }
            }
            Err(CommitError::OutcomeUnknown { cause: error.to_string() })
        }
    }
}

/// Returns the version that the change was committed with, if its audit row exists.
async fn find_written_version(
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
