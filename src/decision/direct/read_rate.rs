//! Rate at which an engine reads prompts, learned from the first events of its answers.
//!
//! Engines of one service differ in speed, so each has its own rate.

/// Prompt tokens that an engine reads per millisecond, before its rate is measured.
const INITIAL_READ_RATE: f64 = 70.0;

/// Range of a measured rate, in tokens per millisecond.
const READ_RATE_RANGE: (f64, f64) = (12.0, 130.0);

/// Weight of a new measurement in the moving average of the rate.
const MEASUREMENT_WEIGHT: f64 = 0.08;

/// Rate of one engine, as one router measures it.
#[derive(Clone, Copy, Debug)]
pub struct ReadRate {
    tokens_per_ms: f64,
}

impl Default for ReadRate {
    fn default() -> Self {
        Self { tokens_per_ms: INITIAL_READ_RATE }
    }
}

impl ReadRate {
    /// Returns the rate in tokens per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Adds a measurement in tokens per millisecond.
    pub fn record(&mut self, measured: f64) {
        let measured = measured.clamp(READ_RATE_RANGE.0, READ_RATE_RANGE.1);
        self.tokens_per_ms += MEASUREMENT_WEIGHT * (measured - self.tokens_per_ms);
    }
}
