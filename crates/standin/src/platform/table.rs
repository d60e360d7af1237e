//! Rows of the table service, with transactions over several rows.

use std::collections::BTreeMap;
use std::ops::Bound;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::ids::{RowKey, RowVersion};

/// Condition of a transaction on the version of a row; an absent row has version 0.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RowCondition {
    /// Key of the row.
    pub key: RowKey,
    /// Version that the row must have.
    pub version: RowVersion,
}

/// Write of a transaction; a null value deletes the row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key of the row.
    pub key: RowKey,
    /// New value.
    pub value: Value,
}

/// Content of a row; an absent row has version 0 and a null value.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowContent {
    /// Key of the row.
    pub key: RowKey,
    /// Commit number of the last write.
    pub version: RowVersion,
    /// Value of the last write.
    pub value: Value,
}

/// Body of `POST /table/transact`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct TransactRequest {
    #[serde(default)]
    pub(super) conditions: Vec<RowCondition>,
    #[serde(default)]
    pub(super) writes: Vec<RowWrite>,
}

/// Query of `GET /table/scan`: rows with a key prefix, after a key, up to a limit.
#[derive(Clone, Debug, Deserialize)]
pub(super) struct ScanRequest {
    #[serde(default)]
    pub(super) prefix: String,
    pub(super) after: Option<String>,
    pub(super) limit: Option<usize>,
}

struct StoredRow {
    version: RowVersion,
    value: Value,
}

/// All rows, and the number of the last commit.
#[derive(Default)]
pub(super) struct RowTable {
    rows: BTreeMap<RowKey, StoredRow>,
    last_commit: RowVersion,
}

impl RowTable {
    /// Applies all writes if every condition holds; otherwise returns the rows whose version
    /// differs.
    ///
    /// Versions are commit numbers, which only increase, so that a row that is deleted and created
    /// again never gets an earlier version.
    pub(super) fn transact(
        &mut self,
        request: &TransactRequest,
    ) -> Result<IndexMap<RowKey, RowVersion>, Vec<RowContent>> {
        let conflicts: Vec<RowContent> = request
            .conditions
            .iter()
            .map(|condition| (condition, self.content(&condition.key)))
            .filter(|(condition, content)| content.version != condition.version)
            .map(|(_, content)| content)
            .collect();
        if !conflicts.is_empty() {
            return Err(conflicts);
        }
        self.last_commit += 1;
        let version = self.last_commit;
        for write in &request.writes {
            if write.value.is_null() {
                self.rows.remove(&write.key);
            } else {
                let row = StoredRow { version, value: write.value.clone() };
                self.rows.insert(write.key.clone(), row);
            }
        }
        Ok(request.writes.iter().map(|write| (write.key.clone(), version)).collect())
    }

    /// Returns a row, or `None` if it is absent.
    pub(super) fn row(&self, key: &str) -> Option<RowContent> {
        let (key, row) = self.rows.get_key_value(key)?;
        Some(RowContent { key: key.clone(), version: row.version, value: row.value.clone() })
    }

    /// Returns the requested rows in key order.
    pub(super) fn scan(&self, request: &ScanRequest) -> Vec<RowContent> {
        let start = match &request.after {
            Some(after) if after.as_str() >= request.prefix.as_str() => {
                Bound::Excluded(after.as_str())
            }
            _ => Bound::Included(request.prefix.as_str()),
        };
        self.rows
            .range::<str, _>((start, Bound::Unbounded))
            .take_while(|(key, _)| key.starts_with(&request.prefix))
            .take(request.limit.unwrap_or(usize::MAX))
            .map(|(key, row)| RowContent {
                key: key.clone(),
                version: row.version,
                value: row.value.clone(),
            })
            .collect()
    }

    fn content(&self, key: &RowKey) -> RowContent {
        self.row(key).unwrap_or(RowContent { key: key.clone(), version: 0, value: Value::Null })
    }
}
