//! MessagePack encoding of messages.

use bytes::Bytes;
use derive_more::{Display, Error};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Deepest nesting of a message. Decoding uses stack for each level, on any thread of a process.
const MAX_DEPTH: usize = 64;

/// Error of encoding or decoding a message.
#[derive(Debug, Display, Error)]
pub enum CodecError {
    /// The message cannot be encoded.
    #[display("cannot encode the message: {_0}")]
    Encode(rmp_serde::encode::Error),
    /// The bytes are not a message of the expected type.
    #[display("cannot decode the message: {_0}")]
    Decode(rmp_serde::decode::Error),
}

/// Encodes a message with its field names, so that fields can be added compatibly.
pub fn encode_message(message: &impl Serialize) -> Result<Bytes, CodecError> {
    rmp_serde::to_vec_named(message).map(Bytes::from).map_err(CodecError::Encode)
}

/// Decodes a message.
pub fn decode_message<M: DeserializeOwned>(bytes: &[u8]) -> Result<M, CodecError> {
    let mut deserializer = rmp_serde::Deserializer::from_read_ref(bytes);
    deserializer.set_max_depth(MAX_DEPTH);
    M::deserialize(&mut deserializer).map_err(CodecError::Decode)
}
