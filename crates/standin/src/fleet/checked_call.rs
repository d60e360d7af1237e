//! Calls whose expected answer is known in advance.

use bytes::Bytes;
use http::Method;
use serde_json::{Value, json};

use super::requests::FleetCall;
use crate::client::BufferedAnswer;
use crate::engine::completion_events;
use crate::hash::body_hash;
use crate::plain::blob_content;

/// Expected answer of a call.
#[derive(Clone, Debug, PartialEq)]
enum ExpectedAnswer {
    /// Exactly these bytes.
    Body(Bytes),
    /// The plain service's echo of the method, path, key and hash of the body.
    Echo(Value),
}

/// A call with its expected answer.
#[derive(Clone, Debug)]
pub struct CheckedCall {
    /// Call to send.
    pub call: FleetCall,
    expected: ExpectedAnswer,
}

impl CheckedCall {
    /// Creates a call for a streamed completion.
    pub fn completion(team: &str, prompt: &str, max_tokens: u64) -> Self {
        Self {
            call: FleetCall::completion(team, prompt, max_tokens),
            expected: ExpectedAnswer::Body(completion_events(prompt, max_tokens).into()),
        }
    }

    /// Creates a call for `size` bytes of the plain service.
    pub fn blob(team: &str, size: usize) -> Self {
        Self {
            call: FleetCall::plain(team, Method::GET, &format!("/blob/{size}")),
            expected: ExpectedAnswer::Body(blob_content(size)),
        }
    }

    /// Creates a call of the plain service that must not be executed twice.
    pub fn keyed(team: &str, path: &str, key: &str, body: &str) -> Self {
        let expected = json!({
            "method": "POST",
            "path": path,
            "key": key,
            "body-hash": body_hash(body.as_bytes()),
        });
        Self {
            call: FleetCall::plain(team, Method::POST, path).key(key).body(body.to_owned()),
            expected: ExpectedAnswer::Echo(expected),
        }
    }

    /// Compares an answer with the expected one; the error describes the difference.
    pub fn check(&self, answer: &BufferedAnswer) -> Result<(), String> {
        if !answer.status.is_success() {
            let body = String::from_utf8_lossy(&answer.body);
            return Err(format!("{}: answered {}: {body}", self.call.path, answer.status));
        }
        let matches = match &self.expected {
            ExpectedAnswer::Body(body) => answer.body == *body,
            ExpectedAnswer::Echo(expected) => answer.json().is_ok_and(|echo| {
                let fields = ["method", "path", "key", "body-hash"];
                fields.iter().all(|field| echo[field] == expected[field])
            }),
        };
        if matches {
            Ok(())
        } else {
            Err(format!("{}: the answer differs from the expected one", self.call.path))
        }
    }
}
