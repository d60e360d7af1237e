//! Counters of store operations, in total and by the first segment of the key.

use indexmap::IndexMap;
use serde::Serialize;

/// Kind of a counted operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoreOperation {
    Read,
    Write,
    Scan,
}

/// Number of operations by kind.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(super) struct OperationCounts {
    reads: u64,
    writes: u64,
    scans: u64,
}

impl OperationCounts {
    fn add(&mut self, operation: StoreOperation) {
        match operation {
            StoreOperation::Read => self.reads += 1,
            StoreOperation::Write => self.writes += 1,
            StoreOperation::Scan => self.scans += 1,
        }
    }
}

/// Body of `GET /control/counters`.
#[derive(Clone, Debug, Default, Serialize)]
#[serde(rename_all = "kebab-case")]
pub(super) struct StoreCounters {
    #[serde(flatten)]
    total: OperationCounts,
    /// Requests that were rejected by the rate limit.
    pub(super) rejected: u64,
    /// Transactions whose conditions did not hold.
    pub(super) conflicts: u64,
    /// Requests that failed because of an injected fault.
    pub(super) failed: u64,
    by_prefix: IndexMap<String, OperationCounts>,
}

impl StoreCounters {
    /// Counts one operation in the total, and once for each distinct prefix of its keys.
    pub(super) fn count<'a>(
        &mut self,
        operation: StoreOperation,
        keys: impl IntoIterator<Item = &'a str>,
    ) {
        self.total.add(operation);
        let mut prefixes: Vec<&str> =
            keys.into_iter().map(|key| key.split('/').next().unwrap_or_default()).collect();
        prefixes.sort_unstable();
        prefixes.dedup();
        for prefix in prefixes {
            self.by_prefix.entry(prefix.to_owned()).or_default().add(operation);
        }
    }
}
