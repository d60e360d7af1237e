//! Evidence about the target of a version move: the answers that routers received from it and from
//! the other versions.

use serde::{Deserialize, Serialize};

/// Fewest bad answers of the target that count as a fault.
const MIN_BAD_ANSWERS: u32 = 6;

/// Excess of the target's share of bad answers over that of the other versions that is tolerated.
const TOLERATED_BAD_SHARE: f64 = 0.08;

/// Standard errors by which the shares must differ for a fault to be significant.
const FAULT_STANDARD_ERRORS: f64 = 3.0;

/// Good and bad answers of the target and of the other versions.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::AddAssign,
)]
#[display("target {target_good} good {target_bad} bad, others {other_good} good {other_bad} bad")]
pub struct VersionAnswers {
    /// Good answers from the target.
    pub target_good: u32,
    /// Bad answers from the target.
    pub target_bad: u32,
    /// Good answers from other versions.
    pub other_good: u32,
    /// Bad answers from other versions.
    pub other_bad: u32,
}

impl VersionAnswers {
    /// Counts an answer of the target or of another version.
    pub fn record(&mut self, of_target: bool, good: bool) {
        let count = match (of_target, good) {
            (true, true) => &mut self.target_good,
            (true, false) => &mut self.target_bad,
            (false, true) => &mut self.other_good,
            (false, false) => &mut self.other_bad,
        };
        *count += 1;
    }

    /// Returns the number of answers from the target.
    pub fn target_total(&self) -> u32 {
        self.target_good + self.target_bad
    }

    /// Returns whether the target proves faulty: compares the shares of bad answers with a
    /// two-proportion z-test.
    pub fn is_faulty(&self) -> bool {
        if self.target_bad < MIN_BAD_ANSWERS {
            return false;
        }
        let target_total = f64::from(self.target_total());
        let other_total = f64::from(self.other_good + self.other_bad);
        let target_share = f64::from(self.target_bad) / target_total;
        let other_share =
            if other_total > 0.0 { f64::from(self.other_bad) / other_total } else { 0.0 };
        let pooled = f64::from(self.target_bad + self.other_bad) / (target_total + other_total);
        let error =
            (pooled * (1.0 - pooled) * (1.0 / target_total + 1.0 / other_total.max(1.0))).sqrt();
        target_share > other_share + TOLERATED_BAD_SHARE
            && target_share - other_share > FAULT_STANDARD_ERRORS * error
    }
}
