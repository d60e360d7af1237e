//! Splits an event stream into whole events, so that a broken stream never ends inside one.
//!
//! Format: "Server-sent events" of the HTML standard. Events end with an empty line.

use bytes::{Buf, Bytes, BytesMut};

/// Longest event that is held back until it is whole, in bytes.
const EVENT_LIMIT: usize = 1 << 20;

/// Collects bytes of a stream and hands out whole events.
#[derive(Debug, Default)]
pub struct EventFrames {
    pending: BytesMut,
    scanned: usize,
    last_id: Option<String>,
}

/// An event that is longer than the limit.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("an event is longer than {EVENT_LIMIT} bytes")]
pub struct OversizedEvent;

impl EventFrames {
    /// Adds bytes as they arrive.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), OversizedEvent> {
        if self.pending.len() + bytes.len() > EVENT_LIMIT {
            return Err(OversizedEvent);
        }
        self.pending.extend_from_slice(bytes);
        Ok(())
    }

    /// Takes all whole events that have arrived, as one piece.
    pub fn take_whole(&mut self) -> Option<Bytes> {
        let from = self.scanned.saturating_sub(3);
        let end = last_event_end(&self.pending, from);
        self.scanned = self.pending.len();
        let end = end?;
        let whole = self.pending.copy_to_bytes(end);
        self.scanned = self.pending.len();
        if let Some(id) = last_event_id(&whole) {
            self.last_id = Some(id);
        }
        Some(whole)
    }

    /// Id of the last whole event.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Returns whether part of an event has arrived.
    pub fn has_partial(&self) -> bool {
        !self.pending.is_empty()
    }
}

/// Position after the last empty line that ends an event.
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

/// Value of the last `id` field.
fn last_event_id(events: &[u8]) -> Option<String> {
    events
        .split(|byte| *byte == b'\n')
        .rev()
        .find_map(|line| line.strip_prefix(b"id:"))
        .map(|id| String::from_utf8_lossy(id).trim().to_owned())
}
