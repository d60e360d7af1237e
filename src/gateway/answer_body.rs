//! Collects answers that are passed on in one piece, and finds out what marks the end of a body.

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http::header::TRANSFER_ENCODING;
use http::{HeaderMap, response};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::buffer_memory::{BufferMemory, MemoryExhausted};
use super::connection_end::EndError;
use super::pool::LeasedConnection;
use super::received_body::ReceivedBody;

/// Maximum size of an answer that is buffered, in bytes.
const MAX_BUFFERED_ANSWER: usize = 8 << 20;

/// Why an answer was not collected.
#[derive(Debug, Display, Error, From)]
pub enum AnswerError {
    /// The connection ended first.
    #[display("{_0}")]
    Ended(hyper::Error),
    /// The body ended with its connection, and that was broken off.
    #[display("{_0}")]
    BrokenOff(EndError),
    /// The answer is longer than the limit.
    #[display("the answer is longer than {MAX_BUFFERED_ANSWER} bytes")]
    #[from(skip)]
    TooLong,
    /// The memory for calls is used up.
    #[display("{_0}")]
    NoMemory(MemoryExhausted),
}

/// What marks the end of an answer's body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// A length, the last chunk, or a status without a body.
    Framing,
    /// The end of the connection.
    Connection,
}

impl BodyEnd {
    /// Returns what marks the end of a body that is still unread.
    pub fn of(head: &response::Parts, body: &Incoming) -> Self {
        let has_length = body.is_end_stream() || body.size_hint().exact().is_some();
        if has_length || is_chunked(&head.headers) { Self::Framing } else { Self::Connection }
    }
}

/// Returns whether a body states a length that can be buffered.
pub fn has_buffered_length(body: &Incoming) -> bool {
    let length = body.size_hint().exact().and_then(|length| usize::try_from(length).ok());
    length.is_some_and(|length| length <= MAX_BUFFERED_ANSWER)
}

/// Returns whether the last transfer coding is `chunked`; no other one marks the end.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last_line = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    last_line
        .and_then(|line| line.to_str().ok())
        .and_then(|line| line.rsplit(',').next())
        .is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

/// Reads the whole body of an answer. If it ends with its connection, that has to end in order.
pub async fn collect_answer(
    body: Incoming,
    end: BodyEnd,
    lease: &mut LeasedConnection,
    memory: &mut BufferMemory,
) -> Result<Bytes, AnswerError> {
    let bytes = collect_bytes(body, memory).await?;
    if end == BodyEnd::Connection {
        lease.confirm_end().await?;
    }
    Ok(bytes)
}

async fn collect_bytes(
    mut body: Incoming,
    memory: &mut BufferMemory,
) -> Result<Bytes, AnswerError> {
    let mut received = ReceivedBody::new(None);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        let length = received.len() + data.len();
        if length > MAX_BUFFERED_ANSWER {
            return Err(AnswerError::TooLong);
        }
        memory.cover_or_shed(length).await?;
        received.push(data);
    }
    Ok(received.into_bytes())
}
