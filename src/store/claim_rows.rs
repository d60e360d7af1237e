//! Claim rows in the table service: their keys and their encoding.

use std::time::{Duration, UNIX_EPOCH};

use bytes::Bytes;
use derive_more::{Display, Error};
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::decision::claim::{ClaimOutcome, ClaimRecord, ClaimState};
use crate::ids::{AttemptId, RequestId, ServiceId, TeamId};

/// Prefix of the claim rows.
pub(super) const CLAIM_PREFIX: &str = "claim/";

/// Key of a claim row.
pub type ClaimKey = String;

/// Returns the row key for a caller's idempotency key, or for the request itself if the caller
/// sent none.
///
/// Idempotency keys are percent-encoded: they contain no `/`, so they cannot address another
/// team's row, and no `~`, so they cannot collide with the rows of requests without a key.
pub fn claim_key(
    team: &TeamId,
    service: &ServiceId,
    key: Option<&str>,
    request: RequestId,
) -> ClaimKey {
    let name = match key {
        Some(key) => encode_key(key),
        None => format!("~{request:032x}"),
    };
    format!("{CLAIM_PREFIX}{team}/{service}/{name}")
}

fn encode_key(key: &str) -> String {
    key.bytes().fold(String::with_capacity(key.len()), |mut text, byte| {
        if byte.is_ascii_alphanumeric() || b"-_.".contains(&byte) {
            text.push(char::from(byte));
        } else {
            text.push_str(&format!("%{byte:02X}"));
        }
        text
    })
}

/// A stored row that cannot be decoded as a claim.
#[derive(Debug, Display, Error)]
#[display("malformed field: {cause}")]
pub struct ClaimRowError {
    cause: &'static str,
}

/// Stored form of a [`ClaimRecord`].
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct RawClaim {
    digest: String,
    changed_at_ms: u64,
    cancelled: Vec<String>,
    state: RawState,
}

/// Stored form of a [`ClaimState`].
#[derive(Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case")]
enum RawState {
    Free,
    Held {
        attempt: String,
        holder: String,
    },
    Finished {
        attempt: String,
        status: u16,
        /// Absent if the answer was not kept; so is `body`.
        headers: Option<Vec<(String, String)>>,
        body: Option<String>,
        length: u64,
    },
    OutcomeUnknown {
        attempt: String,
    },
}

impl From<&ClaimRecord> for RawClaim {
    fn from(record: &ClaimRecord) -> Self {
        let since_epoch = record.changed_at.duration_since(UNIX_EPOCH).unwrap_or_default();
        Self {
            digest: to_hex(&record.digest),
            changed_at_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
            cancelled: record.cancelled.iter().map(|attempt| format!("{attempt:x}")).collect(),
            state: RawState::from(&record.state),
        }
    }
}

impl From<&ClaimState> for RawState {
    fn from(state: &ClaimState) -> Self {
        match state {
            ClaimState::Free => Self::Free,
            ClaimState::Held { attempt, holder } => {
                Self::Held { attempt: format!("{attempt:x}"), holder: holder.to_string() }
            }
            ClaimState::OutcomeUnknown { attempt } => {
                Self::OutcomeUnknown { attempt: format!("{attempt:x}") }
            }
            ClaimState::Finished { attempt, outcome } => {
                let attempt = format!("{attempt:x}");
                match outcome {
                    ClaimOutcome::Kept { status, headers, body } => Self::Finished {
                        attempt,
                        status: *status,
                        headers: Some(headers.clone()),
                        body: Some(to_hex(body)),
                        length: body.len() as u64,
                    },
                    ClaimOutcome::NotKept { status, length } => Self::Finished {
                        attempt,
                        status: *status,
                        headers: None,
                        body: None,
                        length: *length,
                    },
                }
            }
        }
    }
}

impl TryFrom<RawClaim> for ClaimRecord {
    type Error = ClaimRowError;

    fn try_from(raw: RawClaim) -> Result<Self, ClaimRowError> {
        let malformed = |cause| ClaimRowError { cause };
        let digest = from_hex(&raw.digest).and_then(|bytes| bytes.try_into().ok());
        let cancelled: Option<IndexSet<AttemptId>> =
            raw.cancelled.iter().map(|text| parse_attempt(text)).collect();
        Ok(Self {
            digest: digest.ok_or_else(|| malformed("digest"))?,
            changed_at: UNIX_EPOCH + Duration::from_millis(raw.changed_at_ms),
            cancelled: cancelled.ok_or_else(|| malformed("cancelled"))?,
            state: ClaimState::try_from(raw.state)?,
        })
    }
}

impl TryFrom<RawState> for ClaimState {
    type Error = ClaimRowError;

    fn try_from(raw: RawState) -> Result<Self, ClaimRowError> {
        let decode_attempt =
            |text: &str| parse_attempt(text).ok_or(ClaimRowError { cause: "state.attempt" });
        Ok(match raw {
            RawState::Free => Self::Free,
            RawState::Held { attempt, holder } => {
                Self::Held { attempt: decode_attempt(&attempt)?, holder: holder.into() }
            }
            RawState::OutcomeUnknown { attempt } => {
                Self::OutcomeUnknown { attempt: decode_attempt(&attempt)? }
            }
            RawState::Finished { attempt, status, headers, body, length } => {
                let outcome = match (headers, body) {
                    (Some(headers), Some(body)) => {
                        let body = from_hex(&body).ok_or(ClaimRowError { cause: "state.body" })?;
                        ClaimOutcome::Kept { status, headers, body: Bytes::from(body) }
                    }
                    _ => ClaimOutcome::NotKept { status, length },
                };
                Self::Finished { attempt: decode_attempt(&attempt)?, outcome }
            }
        })
    }
}

fn parse_attempt(text: &str) -> Option<AttemptId> {
    AttemptId::from_str_radix(text, 16).ok()
}

fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let digits = bytes.iter().flat_map(|byte| [byte >> 4, byte & 15]);
    digits.map(|digit| char::from(DIGITS[usize::from(digit)])).collect()
}

fn from_hex(text: &str) -> Option<Vec<u8>> {
    let digits: Option<Vec<u8>> = text
        .chars()
        .map(|digit| digit.to_digit(16).and_then(|digit| u8::try_from(digit).ok()))
        .collect();
    let digits = digits.filter(|digits| digits.len() % 2 == 0)?;
    Some(digits.chunks_exact(2).map(|pair| pair[0] << 4 | pair[1]).collect())
}

/// Decodes the value of a claim row.
pub fn decode_claim(value: Value) -> Result<ClaimRecord, ClaimRowError> {
    let raw: RawClaim =
        serde_json::from_value(value).map_err(|_| ClaimRowError { cause: "fields" })?;
    ClaimRecord::try_from(raw)
}

/// Encodes the value of a claim row.
pub fn encode_claim(record: &ClaimRecord) -> Value {
    serde_json::to_value(RawClaim::from(record)).unwrap_or(Value::Null)
}
