//! The transactional table service.

use std::future::Future;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, StatusCode, Uri};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::http_client::{PlatformClient, PlatformError};

/// A row; versions grow over the whole table and are never used twice.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// Key.
    pub key: String,
    /// Version of the last write.
    pub version: u64,
    /// Value.
    pub value: Value,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RowCondition {
    /// Key.
    pub key: String,
    /// Version that the row must have; 0 requires that there is no row.
    pub version: u64,
}

impl RowCondition {
    /// Requires that there is no row.
    pub fn absent(key: impl Into<String>) -> Self {
        Self { key: key.into(), version: 0 }
    }
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Key.
    pub key: String,
    /// New value; `None` deletes the row.
    pub value: Option<Value>,
}

/// A condition that did not hold, with the row as it is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowConflict {
    /// Key.
    pub key: String,
    /// Current version; 0 when there is no row.
    pub version: u64,
    /// Current value.
    #[serde(default)]
    pub value: Option<Value>,
}

/// Outcome of a transaction that the service decided.
#[derive(Clone, Debug, PartialEq)]
pub enum TransactionOutcome {
    /// All writes took effect; the versions by key.
    Committed(indexmap::IndexMap<String, u64>),
    /// No write took effect.
    Conflict(Vec<RowConflict>),
}

/// What the system needs of a table service.
pub trait TableService: Send + Sync {
    /// Failure of a call.
    type Error: std::error::Error + Send + Sync + 'static;

    /// Reads one row.
    fn read(&self, key: &str)
    -> impl Future<Output = Result<Option<TableRow>, Self::Error>> + Send;

    /// Reads rows in key order whose key starts with `prefix` and is above `after`.
    fn scan(
        &self,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<Vec<TableRow>, Self::Error>> + Send;

    /// Writes all rows if all conditions hold, else none.
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
            _ => Err(reply.refuse()),
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
            _ => Err(reply.refuse()),
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
            _ => Err(reply.refuse()),
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
