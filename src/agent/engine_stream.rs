//! Streams of model engines: server-sent events that can be resumed after a token.
//!
//! Only complete events are forwarded, so that a stream resumed on another connection continues
//! exactly where the last one stopped.

use bytes::{Bytes, BytesMut};
use serde::Deserialize;
use serde::de::IgnoredAny;

/// Terminator of an event.
const EVENT_END: &[u8] = b"\n\n";

/// Maximum size of an event in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Error for an event that exceeds the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct OversizedEvent;

/// Line of the event that ends a stream.
const END_EVENT: &[u8] = b"data: [DONE]";

#[derive(Deserialize)]
struct TokenEvent {
    index: u64,
}

#[derive(Deserialize)]
struct CompletionBody {
    #[serde(rename = "prompt")]
    _prompt: IgnoredAny,
    #[serde(default)]
    stream: bool,
}

/// How a completion's answer is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseMode {
    /// One event per token.
    Streamed,
    /// One document at the end.
    Buffered,
}

impl ResponseMode {
    /// Returns the mode that a request body asks for; `None` if it is not a completion request.
    pub fn of(body: &[u8]) -> Option<Self> {
        let body: CompletionBody = serde_json::from_slice(body).ok()?;
        Some(if body.stream { Self::Streamed } else { Self::Buffered })
    }
}

/// Splits a stream into complete events and tracks the last token.
#[derive(Debug, Default)]
pub struct EventScanner {
    pending: BytesMut,
    last_index: Option<u64>,
    finished: bool,
}

impl EventScanner {
    /// Adds bytes and returns the events that are complete.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, OversizedEvent> {
        let scanned = self.pending.len().saturating_sub(EVENT_END.len() - 1);
        self.pending.extend_from_slice(bytes);
        let last_end = self.pending[scanned..]
            .windows(EVENT_END.len())
            .rposition(|window| window == EVENT_END)
            .map(|start| scanned + start + EVENT_END.len());
        let Some(end) = last_end else {
            let is_oversized = self.pending.len() > MAX_EVENT_BYTES;
            return if is_oversized { Err(OversizedEvent) } else { Ok(Bytes::new()) };
        };
        let events = self.pending.split_to(end).freeze();
        self.inspect(&events);
        Ok(events)
    }

    /// Discards the incomplete event at the end of a broken connection.
    pub fn discard_pending(&mut self) {
        self.pending.clear();
    }

    /// Returns the index of the last complete token event.
    pub fn last_index(&self) -> Option<u64> {
        self.last_index
    }

    /// Returns whether the end of the stream was seen.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    fn inspect(&mut self, events: &[u8]) {
        for line in events.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
            if line == END_EVENT {
                self.finished = true;
            } else if let Some(data) = line.strip_prefix(b"data: ")
                && let Ok(token) = serde_json::from_slice::<TokenEvent>(data)
            {
                self.last_index = Some(token.index);
            }
        }
    }
}
