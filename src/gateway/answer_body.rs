//! Collects answers that are passed on in one piece.

use bytes::Bytes;
use derive_more::{Display, Error, From};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::buffer_memory::{BufferMemory, MemoryExhausted};
use super::received_body::ReceivedBody;

/// Maximum size of an answer that is buffered, in bytes.
const MAX_BUFFERED_ANSWER: usize = 8 << 20;

/// Why an answer was not collected.
#[derive(Debug, Display, Error, From)]
pub enum AnswerError {
    /// The connection ended first.
    #[display("{_0}")]
    Ended(hyper::Error),
    /// The answer is longer than the limit.
    #[display("the answer is longer than {MAX_BUFFERED_ANSWER} bytes")]
    #[from(skip)]
    TooLong,
    /// The memory for calls is used up.
    #[display("{_0}")]
    NoMemory(MemoryExhausted),
}

/// Reads the whole body of an answer.
pub async fn collect_answer(
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
