//! Helpers that read requests and build answers.

use derive_more::{Display, Error};
use http::HeaderMap;
use http::header::{CONTENT_TYPE, HeaderValue};
use serde::Serialize;
use serde::de::DeserializeOwned;
use viz::{Body, IntoResponse, Request, RequestExt, Response, StatusCode};

use crate::error::StateClosed;
use crate::ids::TeamName;

/// Marker of an answer that must not be sent; the listener closes the connection instead.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("an injected fault closed the connection without an answer")]
pub(super) struct ConnectionClosed;

/// An error answer with a JSON body.
#[derive(Debug)]
pub struct JsonAnswer {
    status: StatusCode,
    message: String,
}

impl JsonAnswer {
    /// Creates an error answer with the message in the field `error`.
    pub fn new(status: StatusCode, message: impl Into<String>) -> Self {
        Self { status, message: message.into() }
    }
}

impl IntoResponse for JsonAnswer {
    fn into_response(self) -> Response {
        json_answer(self.status, &serde_json::json!({ "error": self.message }))
    }
}

impl From<JsonAnswer> for viz::Error {
    fn from(answer: JsonAnswer) -> Self {
        answer.into_error()
    }
}

impl From<StateClosed> for viz::Error {
    fn from(closed: StateClosed) -> Self {
        JsonAnswer::new(StatusCode::SERVICE_UNAVAILABLE, closed.to_string()).into_error()
    }
}

/// Builds a JSON answer.
pub fn json_answer(status: StatusCode, content: &impl Serialize) -> Response {
    match serde_json::to_vec(content) {
        Ok(text) => {
            let mut answer = Response::new(Body::from(http_body_util::Full::from(text)));
            *answer.status_mut() = status;
            let json = HeaderValue::from_static("application/json");
            answer.headers_mut().insert(CONTENT_TYPE, json);
            answer
        }
        Err(error) => viz::Error::boxed(error).into_response(),
    }
}

/// Builds an answer for which the listener closes the connection without sending anything.
pub fn close_connection() -> Response {
    let mut answer = Response::new(Body::empty());
    answer.extensions_mut().insert(ConnectionClosed);
    answer
}

/// Reads a JSON body, whatever its content type.
pub async fn read_json<T: DeserializeOwned>(request: &mut Request) -> Result<T, JsonAnswer> {
    let body = request
        .bytes()
        .await
        .map_err(|error| JsonAnswer::new(StatusCode::BAD_REQUEST, error.to_string()))?;
    serde_json::from_slice(&body)
        .map_err(|error| JsonAnswer::new(StatusCode::BAD_REQUEST, format!("body: {error}")))
}

/// Reads the query string.
pub fn read_query<T: DeserializeOwned>(request: &Request) -> Result<T, JsonAnswer> {
    request
        .query()
        .map_err(|error| JsonAnswer::new(StatusCode::BAD_REQUEST, format!("query: {error}")))
}

/// Returns the team of a request from the header that agents set, or from `x-team` if the stand-in
/// is called directly.
pub fn request_team(headers: &HeaderMap) -> TeamName {
    const UNNAMED: &str = "none";
    let name = headers.get("godwitcrank-team").or_else(|| headers.get("x-team"));
    name.and_then(|name| name.to_str().ok()).unwrap_or(UNNAMED).into()
}
