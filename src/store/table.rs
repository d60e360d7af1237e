//! Client of the platform's transactional table service.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode, Uri};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::http_client::{PlatformClient, PlatformError};

/// A row of the table. Versions increase over the whole table and are never reused.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// Row key.
    pub key: String,
    /// Version assigned by the last write.
    pub version: u64,
    /// Value.
    pub value: Value,
}

/// Condition of a transaction on the version of one row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCondition {
    /// Row key.
    pub key: String,
    /// Version that the row must have; 0 if the row must not exist.
    pub version: u64,
}

impl RowCondition {
    /// Requires that the row does not exist.
    pub fn absent(key: impl Into<String>) -> Self {
        Self { key: key.into(), version: 0 }
    }
}

/// Write of one row in a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Row key.
    pub key: String,
    /// New value; `None` deletes the row.
    pub value: Option<Value>,
}

/// A condition that did not hold, with the current state of its row.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowConflict {
    /// Row key.
    pub key: String,
    /// Current version; 0 if the row does not exist.
    pub version: u64,
    /// Current value; `None` if the row does not exist.
    #[serde(default)]
    pub value: Option<Value>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum TransactionOutcome {
    /// All writes took effect. Holds the new version of each key.
    Committed(indexmap::IndexMap<String, u64>),
    /// No write took effect. Holds the conditions that failed.
    Conflict(Vec<RowConflict>),
}

/// Operations that the system requires of a table service.
pub trait TableService: Send + Sync {
    /// Failure of a call.
    type Error: std::error::Error + Send + Sync + 'static;

    /// Reads one row.
    fn read(&self, key: &str)
    -> impl Future<Output = Result<Option<TableRow>, Self::Error>> + Send;

    /// Reads up to `limit` rows in key order, whose keys start with `prefix` and are greater than
    /// `after`.
    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<TableRow>, Self::Error>> + Send;

    /// Applies all writes atomically if all conditions hold, else none.
    fn transact(
        &self,
        conditions: Vec<RowCondition>,
        writes: Vec<RowWrite>,
    ) -> impl Future<Output = Result<TransactionOutcome, Self::Error>> + Send;
}

/// The platform's table service over HTTP.
#[derive(Clone, Debug)]
pub struct HttpTable {
    client: PlatformClient,
}

impl HttpTable {
    /// Creates a client for the service at `base`.
    pub fn new(base: &Uri, timeout: Duration) -> Self {
        Self { client: PlatformClient::new(base, timeout) }
    }
}

#[derive(Serialize)]
struct TransactionBody {
    conditions: Vec<RowCondition>,
    writes: Vec<RowWrite>,
}

#[derive(Deserialize)]
struct CommitBody {
    versions: indexmap::IndexMap<String, u64>,
}

#[derive(Deserialize)]
struct ConflictBody {
    conflicts: Vec<RowConflict>,
}

#[derive(Deserialize)]
struct ScanBody {
    rows: Vec<TableRow>,
}

impl TableService for HttpTable {
    type Error = PlatformError;

    async fn read(&self, key: &str) -> Result<Option<TableRow>, PlatformError> {
        let path = format!("/table/row?key={}", encode_query(key));
        let reply = self.client.send(Method::GET, &path, Bytes::new()).await?;
        match reply.status {
            StatusCode::OK => reply.decode().map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(reply.into_error()),
        }
    }

    async fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, PlatformError> {
        let (prefix, after) = (encode_query(prefix), encode_query(after));
        let path = format!("/table/scan?prefix={prefix}&after={after}&limit={limit}");
        let reply = self.client.send(Method::GET, &path, Bytes::new()).await?;
        match reply.status {
            StatusCode::OK => reply.decode::<ScanBody>().map(|body| body.rows),
            _ => Err(reply.into_error()),
        }
    }

    async fn transact(
        &self,
        conditions: Vec<RowCondition>,
        writes: Vec<RowWrite>,
    ) -> Result<TransactionOutcome, PlatformError> {
        let body =
            serde_json::to_vec(&TransactionBody { conditions, writes }).map_err(|error| {
                let cause = error.to_string();
                PlatformError::Malformed { url: "/table/transact".to_owned(), cause }
            })?;
        let reply = self.client.send(Method::POST, "/table/transact", body.into()).await?;
        match reply.status {
            StatusCode::OK => reply
                .decode::<CommitBody>()
                .map(|body| TransactionOutcome::Committed(body.versions)),
            StatusCode::CONFLICT => reply
                .decode::<ConflictBody>()
                .map(|body| TransactionOutcome::Conflict(body.conflicts)),
            _ => Err(reply.into_error()),
        }
    }
}

/// Percent-encodes a query value (RFC 3986).
fn encode_query(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            encoded.push_str(&format!("%{byte:02X}"));
        }
    }
    encoded
}
