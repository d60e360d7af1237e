//! Outcomes and latencies of the calls of a load.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::client::BufferedAnswer;
use crate::fleet::CheckedCall;

/// Largest number of unsuccessful calls that a report describes.
const MAX_EXAMPLES: usize = 20;

/// Significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// Outcome of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The expected answer was received.
    Answered,
    /// The call was refused, with the statement that it was not executed.
    Refused(String),
    /// No complete answer was received, or not the expected one.
    Failed(String),
}

impl CallOutcome {
    /// Derives the outcome from the answer or error that a call received.
    pub fn classify(call: &CheckedCall, result: &eyre::Result<BufferedAnswer>) -> Self {
        match result {
            Err(report) => Self::Failed(format!("{}: {report:#}", call.call.path)),
            Ok(answer) => match call.check(answer) {
                Ok(()) => Self::Answered,
                Err(reason) => match answer.headers.get("godwitcrank-was-run") {
                    Some(state) if state == "no" => Self::Refused(reason),
                    _ => Self::Failed(reason),
                },
            },
        }
    }
}

/// Counts and latencies of the calls of a load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Calls that received the expected answer.
    pub answered: u64,
    /// Calls that were refused, with the statement that they were not executed.
    pub refused: u64,
    /// Calls that received no complete answer, or not the expected one.
    pub failed: u64,
    /// Reasons of some of the refused and failed calls.
    pub examples: Vec<String>,
    /// Latencies of the answered calls, in nanoseconds.
    latencies: Histogram<u64>,
}

impl Default for LoadReport {
    fn default() -> Self {
        let bounds = (1_000, 600_000_000_000);
        let latencies = Histogram::new_with_bounds(bounds.0, bounds.1, LATENCY_DIGITS)
            .expect("the bounds and digits are valid");
        Self { answered: 0, refused: 0, failed: 0, examples: Vec::new(), latencies }
    }
}

impl LoadReport {
    /// Records one call.
    pub fn add(&mut self, outcome: CallOutcome, latency: Duration) {
        match outcome {
            CallOutcome::Answered => {
                self.answered += 1;
                let nanoseconds = u64::try_from(latency.as_nanos()).unwrap_or(u64::MAX);
                self.latencies.saturating_record(nanoseconds);
            }
            CallOutcome::Refused(reason) => {
                self.refused += 1;
                self.keep_example(reason);
            }
            CallOutcome::Failed(reason) => {
                self.failed += 1;
                self.keep_example(reason);
            }
        }
    }

    /// Adds the calls of another report.
    pub fn merge(&mut self, other: Self) {
        self.answered += other.answered;
        self.refused += other.refused;
        self.failed += other.failed;
        for example in other.examples {
            self.keep_example(example);
        }
        // Adding cannot fail, because both histograms have the same bounds.
        let added = self.latencies.add(&other.latencies);
        debug_assert!(added.is_ok(), "histograms differ in their bounds");
    }

    /// Returns a quantile, from 0 to 1, of the latencies of the answered calls.
    pub fn latency(&self, quantile: f64) -> Duration {
        Duration::from_nanos(self.latencies.value_at_quantile(quantile))
    }

    fn keep_example(&mut self, example: String) {
        if self.examples.len() < MAX_EXAMPLES {
            self.examples.push(example);
        }
    }
}
