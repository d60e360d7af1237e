//! Collects the bytes of a body.

use bytes::{Bytes, BytesMut};

/// Maximum size of the segments of a body, in bytes. Segments of one size keep the heap from
/// fragmenting when many bodies are received at once.
const SEGMENT_BYTES: usize = 64 << 10;

/// Part of a body that has arrived. A body that arrives at once is not copied.
#[derive(Debug)]
pub(super) struct ReceivedBody {
    declared_bytes: Option<usize>,
    length: usize,
    first: Bytes,
    segments: Vec<BytesMut>,
}

impl ReceivedBody {
    /// Creates a body of which nothing has arrived.
    pub(super) fn new(declared_bytes: Option<usize>) -> Self {
        Self { declared_bytes, length: 0, first: Bytes::new(), segments: Vec::new() }
    }

    /// Returns how many bytes have arrived.
    pub(super) fn len(&self) -> usize {
        self.length
    }

    /// Adds the next bytes.
    pub(super) fn push(&mut self, data: Bytes) {
        if self.length == 0 {
            self.length = data.len();
            self.first = data;
            return;
        }
        self.length += data.len();
        let first = std::mem::take(&mut self.first);
        self.append(&first);
        self.append(&data);
    }

    fn append(&mut self, mut data: &[u8]) {
        let segment_bytes = self.declared_bytes.unwrap_or(SEGMENT_BYTES).min(SEGMENT_BYTES);
        while !data.is_empty() {
            let room = self.segments.last().map_or(0, |last| last.capacity() - last.len());
            if room == 0 {
                self.segments.push(BytesMut::with_capacity(segment_bytes.max(1)));
                continue;
            }
            let (now, later) = data.split_at(room.min(data.len()));
            if let Some(last) = self.segments.last_mut() {
                last.extend_from_slice(now);
            }
            data = later;
        }
    }

    /// Returns the whole body.
    pub(super) fn into_bytes(mut self) -> Bytes {
        match self.segments.len() {
            0 => self.first,
            1 => self.segments.swap_remove(0).freeze(),
            _ => {
                let mut whole = BytesMut::with_capacity(self.length);
                for segment in self.segments {
                    whole.extend_from_slice(&segment);
                }
                whole.freeze()
            }
        }
    }
}
