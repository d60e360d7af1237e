//! Splits an event stream into complete events, so that a broken stream never ends within one.
//!
//! The format is "Server-sent events" of the HTML standard, where an empty line ends an event.

use bytes::{Buf, Bytes, BytesMut};

/// Maximum size of a buffered event, in bytes.
const EVENT_LIMIT: usize = 1 << 20;

/// Buffers the bytes of a stream and returns complete events.
#[derive(Debug, Default)]
pub struct EventFrames {
    pending: BytesMut,
    scanned: usize,
    last_id: Option<String>,
}

/// Error for an event that exceeds the limit.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("an event is longer than {EVENT_LIMIT} bytes")]
pub struct OversizedEvent;

impl EventFrames {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), OversizedEvent> {
        if self.pending.len() + bytes.len() > EVENT_LIMIT {
            return Err(OversizedEvent);
        }
        self.pending.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes and returns all complete events.
    pub fn take_complete(&mut self) -> Option<Bytes> {
        let from = self.scanned.saturating_sub(3);
        let end = last_event_end(&self.pending, from);
        self.scanned = self.pending.len();
        let end = end?;
        let complete = self.pending.copy_to_bytes(end);
        self.scanned = self.pending.len();
        if let Some(id) = last_event_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Returns the number of bytes that are buffered.
    pub fn buffered_bytes(&self) -> usize {
        self.pending.len()
    }
}

/// Returns the position after the last empty line.
fn last_event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut end = None;
    for index in from..bytes.len() {
        if bytes[index] != b'\n' {
            continue;
        }
        let rest = &bytes[index + 1..];
        if rest.first() == Some(&b'\n') {
            end = Some(index + 2);
        } else if rest.starts_with(b"\r\n") {
            end = Some(index + 3);
        }
    }
    end
}

/// Returns the value of the last `id` field.
fn last_event_id(events: &[u8]) -> Option<String> {
    events
        .split(|byte| *byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(b"id:"))
        .map(|id| String::from_utf8_lossy(id).trim().to_owned())
}
