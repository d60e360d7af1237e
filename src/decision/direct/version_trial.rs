//! Canary phase of a version move: the target version gets a small share of the calls first, then
//! all of them, and none once it proves faulty.
//!
//! Every router counts the answers that it receives and adds the counts of its peers. Each one
//! evaluates the sum by itself, so that all stop using a bad version at once; only the record of
//! the move needs a single writer.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::peers::TrialCount;
use crate::ids::NodeId;
use crate::routing::MoveOrder;

/// Share of the service's calls that the target gets during the canary phase.
const TRIAL_SHARE: f64 = 0.05;

/// Fraction of the move's duration after which a target without a fault gets all calls.
const PROMOTION_FRACTION: f64 = 0.55;

/// Fraction of the move's duration after which the move is completed although calls still run at
/// other versions.
const COMPLETION_FRACTION: f64 = 0.93;

/// Fewest answers of the target that allow to promote it.
const MIN_ANSWERS: u32 = 20;

/// Fewest bad answers of the target that count as a fault.
const MIN_BAD_ANSWERS: u32 = 6;

/// Excess of the target's share of bad answers over that of the other versions that is tolerated.
const TOLERATED_BAD_SHARE: f64 = 0.08;

/// Standard errors by which the shares must differ for a fault to be significant.
const FAULT_STANDARD_ERRORS: f64 = 3.0;

/// Stage of a version move.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum TrialStage {
    /// The target gets a small share of the calls.
    #[display("trial")]
    Trial,
    /// The target gets all calls; the move is not yet complete.
    #[display("moved")]
    Moved,
    /// The move is complete.
    #[display("done")]
    Done,
    /// The target proved faulty and gets no calls.
    #[display("taken-back")]
    TakenBack,
}

/// Result of an evaluation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageChange {
    /// The stage is unchanged.
    Unchanged,
    /// The move entered another stage.
    Entered(TrialStage),
}

/// State of a version move at one router.
#[derive(Clone, Debug)]
pub struct VersionTrial {
    order: MoveOrder,
    ordered_at: Instant,
    stage: TrialStage,
    own: TrialCount,
    calls: u64,
    target_calls: u64,
}

impl VersionTrial {
    /// Starts a move that was ordered at `ordered_at`.
    pub fn new(order: MoveOrder, ordered_at: Instant) -> Self {
        let own = TrialCount::new(&order.service, &order.target);
        Self { order, ordered_at, stage: TrialStage::Trial, own, calls: 0, target_calls: 0 }
    }

    /// Order of the move.
    pub fn order(&self) -> &MoveOrder {
        &self.order
    }

    /// Current stage.
    pub fn stage(&self) -> TrialStage {
        self.stage
    }

    /// Applies a stage that is recorded in the store; a final stage is kept.
    pub fn apply_recorded(&mut self, stage: TrialStage) {
        if !matches!(self.stage, TrialStage::Done | TrialStage::TakenBack) {
            self.stage = stage;
        }
    }

    /// Returns whether the next call goes to the target, and counts it.
    pub fn sends_next_to_target(&mut self) -> bool {
        match self.stage {
            TrialStage::Moved | TrialStage::Done => true,
            TrialStage::TakenBack => false,
            TrialStage::Trial => {
                self.calls += 1;
                let due = (self.target_calls as f64) < TRIAL_SHARE * self.calls as f64;
                self.target_calls += u64::from(due);
                due
            }
        }
    }

    /// Counts an answer of the target or of another version.
    pub fn record(&mut self, of_target: bool, good: bool) {
        let count = match (of_target, good) {
            (true, true) => &mut self.own.target_good,
            (true, false) => &mut self.own.target_bad,
            (false, true) => &mut self.own.other_good,
            (false, false) => &mut self.own.other_bad,
        };
        *count += 1;
    }

    /// Returns this router's counts, for the report to peers.
    pub fn report(&self, other_running: u32) -> TrialCount {
        TrialCount {
            other_running,
            moved: matches!(self.stage, TrialStage::Moved | TrialStage::Done),
            ..self.own.clone()
        }
    }

    /// Evaluates the move by the counts of all routers.
    pub fn evaluate(
        &mut self,
        other_running: u32,
        peers: &IndexMap<NodeId, TrialCount>,
        routers: u32,
        now: Instant,
    ) -> StageChange {
        let mut sum = self.own.clone();
        for count in peers.values() {
            sum.target_good += count.target_good;
            sum.target_bad += count.target_bad;
            sum.other_good += count.other_good;
            sum.other_bad += count.other_bad;
        }
        let elapsed = now.duration_since(self.ordered_at).as_secs_f64();
        let elapsed_fraction =
            elapsed / self.order.duration.max(Duration::from_millis(1)).as_secs_f64();
        let next = match self.stage {
            TrialStage::Trial | TrialStage::Moved if is_faulty(&sum) => TrialStage::TakenBack,
            TrialStage::Trial
                if elapsed_fraction >= PROMOTION_FRACTION
                    && sum.target_good + sum.target_bad >= MIN_ANSWERS =>
            {
                TrialStage::Moved
            }
            TrialStage::Moved => {
                let all_moved =
                    peers.len() + 1 >= routers as usize && peers.values().all(|count| count.moved);
                let drained =
                    other_running == 0 && peers.values().all(|count| count.other_running == 0);
                if all_moved && (drained || elapsed_fraction >= COMPLETION_FRACTION) {
                    TrialStage::Done
                } else {
                    TrialStage::Moved
                }
            }
            stage => stage,
        };
        if next == self.stage {
            return StageChange::Unchanged;
        }
        self.stage = next;
        StageChange::Entered(next)
    }
}

/// Compares the shares of bad answers of the target and the other versions with a two-proportion
/// z-test.
fn is_faulty(sum: &TrialCount) -> bool {
    if sum.target_bad < MIN_BAD_ANSWERS {
        return false;
    }
    let target_total = f64::from(sum.target_good + sum.target_bad);
    let other_total = f64::from(sum.other_good + sum.other_bad);
    let target_share = f64::from(sum.target_bad) / target_total;
    let other_share = if other_total > 0.0 { f64::from(sum.other_bad) / other_total } else { 0.0 };
    let pooled = f64::from(sum.target_bad + sum.other_bad) / (target_total + other_total);
    let error =
        (pooled * (1.0 - pooled) * (1.0 / target_total + 1.0 / other_total.max(1.0))).sqrt();
    target_share > other_share + TOLERATED_BAD_SHARE
        && target_share - other_share > FAULT_STANDARD_ERRORS * error
}
