//! Errors of the administration API and their HTTP responses.

use derive_more::{Display, Error};
use http::{Response, StatusCode};
use serde_json::{Value, json};
use viz::Body;

use crate::configuration::CommitError;
use crate::findings::FindingList;
use crate::ids::ConfigurationVersion;

/// Reason why a request to the administration API failed.
#[derive(Debug, Display, Error)]
pub enum AdminError {
    /// No operator has the key.
    #[display("no operator has this key")]
    Unauthorized,
    /// The requested list or entry does not exist.
    #[display("{what} does not exist")]
    NotFound {
        /// Name of the list or entry.
        what: String,
    },
    /// The request is malformed.
    #[display("{cause}")]
    Malformed {
        /// Description of the problem.
        cause: String,
    },
    /// A change of the whole configuration came without `If-Match`.
    #[display("a change of the whole configuration needs If-Match with the version it is based on")]
    PreconditionMissing,
    /// The version that the change is based on is no longer in force.
    #[display("version {expected} was replaced; version {current} is in force")]
    Stale {
        /// Version named by `If-Match`.
        expected: ConfigurationVersion,
        /// Version in force.
        current: ConfigurationVersion,
        /// Changes since then, with their operators.
        changes: Vec<String>,
    },
    /// Another change was committed between the check of the version and the write.
    #[display("another change came first; version {current} is in force")]
    Raced {
        /// Version in force.
        current: ConfigurationVersion,
        /// Changes since then, with their operators.
        changes: Vec<String>,
    },
    /// The new configuration failed the check; nothing was changed.
    #[display("the change has findings; nothing was changed")]
    Findings(#[error(not(source))] FindingList),
    /// The store cannot be reached; nothing was changed.
    #[display("{cause}; nothing was changed")]
    StoreDown {
        /// Description of the last failure.
        cause: String,
    },
    /// The store did not confirm whether the change was committed.
    #[display("{cause}; read the audit record before trying again")]
    OutcomeUnknown {
        /// Description of the last failure.
        cause: String,
    },
}

impl From<CommitError> for AdminError {
    fn from(error: CommitError) -> Self {
        match error {
            CommitError::Findings(findings) => Self::Findings(findings),
            CommitError::Conflict { .. } => Self::Raced { current: 0, changes: Vec::new() },
            CommitError::StoreDown { cause } => Self::StoreDown { cause },
            CommitError::OutcomeUnknown { cause } => Self::OutcomeUnknown { cause },
        }
    }
}

impl AdminError {
    fn status_and_code(&self) -> (StatusCode, &'static str) {
        match self {
            Self::Unauthorized => (StatusCode::UNAUTHORIZED, "unknown-key"),
            Self::NotFound { .. } => (StatusCode::NOT_FOUND, "not-found"),
            Self::Malformed { .. } => (StatusCode::BAD_REQUEST, "malformed"),
            Self::PreconditionMissing => (StatusCode::PRECONDITION_REQUIRED, "if-match-missing"),
            Self::Stale { .. } => (StatusCode::PRECONDITION_FAILED, "stale"),
            Self::Raced { .. } => (StatusCode::CONFLICT, "raced"),
            Self::Findings(_) => (StatusCode::UNPROCESSABLE_ENTITY, "findings"),
            Self::StoreDown { .. } => (StatusCode::SERVICE_UNAVAILABLE, "store-down"),
            Self::OutcomeUnknown { .. } => (StatusCode::GATEWAY_TIMEOUT, "outcome-unknown"),
        }
    }

    /// Converts the error into the response for the operator.
    pub fn into_response(self) -> Response<Body> {
        let (status, code) = self.status_and_code();
        let mut body = json!({ "error": code, "message": self.to_string() });
        match self {
            Self::Stale { current, changes, .. } | Self::Raced { current, changes } => {
                body["version"] = json!(current);
                body["changes"] = json!(changes);
            }
            Self::Findings(findings) => {
                let findings = findings
                    .iter()
                    .map(|finding| json!({ "place": finding.place, "message": finding.message }));
                body["findings"] = findings.collect();
            }
            _ => {}
        }
        json_response(status, &body)
    }
}

/// Builds a JSON response.
pub fn json_response(status: StatusCode, body: &Value) -> Response<Body> {
    let text = format!("{body}\n");
    let mut response = Response::new(Body::from(http_body_util::Full::from(text)));
    *response.status_mut() = status;
    let json = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(http::header::CONTENT_TYPE, json);
    response
}
