//! Large answers with deterministic content.

use bytes::Bytes;

use crate::hash::stable_hash;

/// Size of the chunks in which a large answer is generated.
pub(super) const CHUNK_BYTES: usize = 64 << 10;

/// Returns the chunk that starts at `offset`.
///
/// Every eight bytes are a hash of their offset and the size of the answer, so that bytes of
/// another offset or another answer are recognised as wrong.
pub(super) fn blob_chunk(size: usize, offset: usize) -> Bytes {
    let end = size.min(offset + CHUNK_BYTES);
    let mut chunk = Vec::with_capacity(end.saturating_sub(offset) + size_of::<u64>());
    let mut position = offset;
    while position < end {
        let word = stable_hash(&(position as u64).to_le_bytes(), size as u64);
        chunk.extend_from_slice(&word.to_le_bytes());
        position += size_of::<u64>();
    }
    chunk.truncate(end.saturating_sub(offset));
    chunk.into()
}

/// Returns the whole content of `GET /blob/<size>`.
pub fn blob_content(size: usize) -> Bytes {
    let chunks = (0..size).step_by(CHUNK_BYTES).map(|offset| blob_chunk(size, offset));
    chunks.flatten().collect::<Vec<u8>>().into()
}
