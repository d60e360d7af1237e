//! Estimate of the processor time that a router spends on a call.
//!
//! A router spends time on each write of a stream, so that a call with a long answer costs it
//! several times as much as one with a short answer.

use super::call::PromptShape;

/// Processor time of a call without its writes, and of each write of its answer, relative to the
/// time of a call with eight writes.
const FIXED_COST: f64 = 0.6;
const WRITE_COST: f64 = 0.05;

/// Output tokens and writes of a stream that are assumed before any has ended.
const INITIAL_TOKENS: f64 = 48.0;
const INITIAL_WRITES: f64 = 8.0;

/// Weight of a stream in the moving averages.
const STREAM_WEIGHT: f64 = 0.02;

/// Expected processor time of calls, relative to that of a call with eight writes.
#[derive(Clone, Copy, Debug)]
pub struct CostEstimate {
    tokens: f64,
    writes: f64,
}

impl Default for CostEstimate {
    fn default() -> Self {
        Self { tokens: INITIAL_TOKENS, writes: INITIAL_WRITES }
    }
}

impl CostEstimate {
    /// Returns the cost of a call; calls without a prompt are answered in one write.
    pub fn cost_of(&self, prompt: Option<&PromptShape>) -> f64 {
        let writes = prompt.map_or(1.0, |prompt| {
            f64::from(prompt.tokens_out) * self.writes / self.tokens.max(f64::EPSILON)
        });
        FIXED_COST + WRITE_COST * writes
    }

    /// Records that a stream with this limit of output tokens ended after so many writes.
    pub fn record_stream(&mut self, tokens_out: u32, writes: u32) {
        self.tokens += STREAM_WEIGHT * (f64::from(tokens_out) - self.tokens);
        self.writes += STREAM_WEIGHT * (f64::from(writes) - self.writes);
    }
}
