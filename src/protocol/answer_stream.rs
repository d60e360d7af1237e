//! Framing of answers on a byte stream: a big-endian length of four bytes, followed by a frame in
//! MessagePack.

use std::io;
use std::net::SocketAddr;

use bytes::{BufMut, Bytes, BytesMut};
use futures::{Stream, StreamExt, TryStreamExt};
use http_body_util::BodyDataStream;
use hyper::body::Incoming;
use tokio_util::codec::{FramedRead, LengthDelimitedCodec};
use tokio_util::io::StreamReader;

use super::client::PeerError;
use super::codec::{CodecError, decode_message, encode_message};
use super::messages::AnswerFrame;
use crate::ids::RequestId;

/// Maximum size of a frame in bytes.
const FRAME_LIMIT: usize = 4 << 20;

/// Encodes a frame with its length prefix.
pub fn encode_frame(frame: &AnswerFrame) -> Result<Bytes, CodecError> {
    let message = encode_message(frame)?;
    let mut bytes = BytesMut::with_capacity(4 + message.len());
    // A frame holds one chunk of at most `FRAME_LIMIT` bytes, so its length fits.
    bytes.put_u32(u32::try_from(message.len()).unwrap_or(u32::MAX));
    bytes.put(message);
    Ok(bytes.freeze())
}

type ByteStream = futures::stream::BoxStream<'static, io::Result<Bytes>>;

/// Reads the frames of one request from a response body.
pub struct AnswerReader {
    address: SocketAddr,
    request: RequestId,
    frames: FramedRead<StreamReader<ByteStream, Bytes>, LengthDelimitedCodec>,
}

impl AnswerReader {
    /// Creates a reader of the response body to an `AnswerRequest`.
    pub fn new(address: SocketAddr, request: RequestId, body: Incoming) -> Self {
        let bytes = BodyDataStream::new(body).map_err(io::Error::other);
        Self::from_stream(address, request, bytes)
    }

    /// Creates a reader of any byte stream.
    pub fn from_stream(
        address: SocketAddr,
        request: RequestId,
        bytes: impl Stream<Item = io::Result<Bytes>> + Send + 'static,
    ) -> Self {
        let codec = LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT).new_codec();
        let frames = FramedRead::new(StreamReader::new(bytes.boxed()), codec);
        Self { address, request, frames }
    }

    /// Returns the next frame, or `None` at the end of the stream.
    pub async fn next_frame(&mut self) -> Result<Option<AnswerFrame>, PeerError> {
        let address = self.address;
        let Some(bytes) = self.frames.next().await else { return Ok(None) };
        let bytes = bytes.map_err(|error| PeerError::Lost { address, cause: error.to_string() })?;
        let frame: AnswerFrame = decode_message(&bytes).map_err(PeerError::Codec)?;
        if frame.request != self.request {
            let cause = "received a frame of another request".to_owned();
            return Err(PeerError::Lost { address, cause });
        }
        Ok(Some(frame))
    }
}
