//! Measures the service that a request receives: tokens of a model, slot milliseconds of a plain
//! service.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use crate::configuration::ServiceKind;

/// Bytes that count as one token in an answer that is not an event stream.
const BYTES_PER_TOKEN: u64 = 4;

/// Start of a data line of a server-sent event.
const EVENT_FIELD: &[u8] = b"data:";

/// Data that ends a stream and is not a token.
const STREAM_END: &[u8] = b"[DONE]";

/// Start of the data that reports token usage and is not a token.
const USAGE_REPORT: &[u8] = b"{\"usage\"";

/// Field of the usage report with the number of prompt tokens, which are charged as well.
const PROMPT_FIELD: &[u8] = b"\"prompt_tokens\":";

/// Maximum number of bytes inspected per line, enough for a usage report.
const MAX_LINE_BYTES: usize = 128;

/// Counts the service of one run. The run updates it, and the progress report reads it.
#[derive(Debug)]
pub struct ServiceMeter {
    kind: ServiceKind,
    started: Instant,
    tokens: AtomicU64,
}

impl ServiceMeter {
    /// Creates a meter of a run that began at `started`.
    pub fn new(kind: ServiceKind, started: Instant) -> Self {
        Self { kind, started, tokens: AtomicU64::new(0) }
    }

    /// Returns the units of service up to `now`.
    pub fn units(&self, now: Instant) -> u64 {
        match self.kind {
            ServiceKind::Model => self.tokens.load(Ordering::Relaxed),
            ServiceKind::Plain => {
                let elapsed = now.saturating_duration_since(self.started).as_millis();
                u64::try_from(elapsed).unwrap_or(u64::MAX)
            }
        }
    }

    fn set_tokens(&self, tokens: u64) {
        self.tokens.store(tokens, Ordering::Relaxed);
    }
}

/// Counts the tokens of an answer that arrives in chunks.
#[derive(Debug)]
pub struct TokenCounter<'a> {
    meter: &'a ServiceMeter,
    /// Whether the answer is a stream of server-sent events.
    streamed: bool,
    /// Start of the current line, up to [`MAX_LINE_BYTES`].
    line: Vec<u8>,
    events: u64,
    bytes: u64,
}

impl<'a> TokenCounter<'a> {
    /// Creates a counter that updates a meter.
    pub fn new(meter: &'a ServiceMeter, streamed: bool) -> Self {
        Self { meter, streamed, line: Vec::new(), events: 0, bytes: 0 }
    }

    /// Counts the tokens in a chunk of the answer.
    pub fn count(&mut self, chunk: &[u8]) {
        if self.meter.kind != ServiceKind::Model {
            return;
        }
        self.bytes += chunk.len() as u64;
        for part in chunk.split_inclusive(|byte| *byte == b'\n') {
            let space = MAX_LINE_BYTES.saturating_sub(self.line.len());
            self.line.extend_from_slice(&part[..part.len().min(space)]);
            if part.ends_with(b"\n") {
                self.events += line_tokens(&self.line);
                self.line.clear();
            }
        }
        let tokens = if self.streamed { self.events } else { self.bytes / BYTES_PER_TOKEN };
        self.meter.set_tokens(tokens);
    }
}

/// Returns whether a line of an event stream carries a token.
pub fn is_token(line: &[u8]) -> bool {
    event_data(line)
        .is_some_and(|data| !data.starts_with(STREAM_END) && !data.starts_with(USAGE_REPORT))
}

fn event_data(line: &[u8]) -> Option<&[u8]> {
    line.strip_prefix(EVENT_FIELD).map(<[u8]>::trim_ascii_start)
}

/// Returns the number of tokens to charge for a line of a stream.
fn line_tokens(line: &[u8]) -> u64 {
    let usage = event_data(line).filter(|data| data.starts_with(USAGE_REPORT));
    usage.map_or_else(|| u64::from(is_token(line)), prompt_tokens)
}

fn prompt_tokens(usage: &[u8]) -> u64 {
    let field = usage.windows(PROMPT_FIELD.len()).position(|window| window == PROMPT_FIELD);
    let digits = field.map_or(&[][..], |start| &usage[start + PROMPT_FIELD.len()..]);
    let number =
        digits.iter().skip_while(|byte| **byte == b' ').take_while(|byte| byte.is_ascii_digit());
    number.fold(0, |value: u64, digit| {
        value.saturating_mul(10).saturating_add(u64::from(digit - b'0'))
    })
}
