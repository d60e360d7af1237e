//! What happened under a load.

use std::time::Duration;

use hdrhistogram::Histogram;

use crate::client::BufferedAnswer;
use crate::fleet::CheckedCall;

/// Examples of calls that did not succeed which a report keeps.
const KEPT_EXAMPLES: usize = 20;

/// Significant digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;

/// Outcome of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole answer arrived and was the right one.
    Answered,
    /// The call was refused as not run.
    Refused(String),
    /// No whole answer arrived, or another one.
    Failed(String),
}

impl CallOutcome {
    /// Judges what a call got.
    pub fn classify(call: &CheckedCall, got: &eyre::Result<BufferedAnswer>) -> Self {
        match got {
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
    /// Calls that got their whole answer.
    pub answered: u64,
    /// Calls that were refused as not run.
    pub refused: u64,
    /// Calls that got no whole answer, or another one.
    pub failed: u64,
    /// Some of the calls that did not succeed, with the reason.
    pub examples: Vec<String>,
    /// Latencies of the answered calls in nanoseconds.
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
    /// Adds one call.
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

    /// Adds another report.
    pub fn merge(&mut self, other: Self) {
        self.answered += other.answered;
        self.refused += other.refused;
        self.failed += other.failed;
        for example in other.examples {
            self.keep_example(example);
        }
        // Both histograms have the same bounds, so that adding cannot fail.
        let added = self.latencies.add(&other.latencies);
        debug_assert!(added.is_ok(), "histograms differ in their bounds");
    }

    /// Returns the latency that a share `quantile` of the answered calls does not exceed.
    pub fn latency(&self, quantile: f64) -> Duration {
        Duration::from_nanos(self.latencies.value_at_quantile(quantile))
    }

    fn keep_example(&mut self, example: String) {
        if self.examples.len() < KEPT_EXAMPLES {
            self.examples.push(example);
        }
    }
}
