//! A version move on the direct path: a small share of the calls first, all of them late, and
//! none once the version shows its fault.
//!
//! Every router counts the answers that it sees and hears the counts of its peers. Each judges the
//! sum by itself, so that a bad version is left at once everywhere; only the record of the move
//! needs a single writer.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::peers::TrialCount;
use crate::ids::NodeId;
use crate::routing::MoveOrder;

/// Part of the service's calls that the target gets before it is trusted.
const TRIAL_SHARE: f64 = 0.05;

/// Part of the move's time after which a version without a fault takes all calls.
const TRUST_PART: f64 = 0.55;

/// Part of the move's time by which the move is completed although old calls still run.
const LATEST_PART: f64 = 0.93;

/// Answers of the target below which it is not judged good.
const LEAST_ANSWERS: u32 = 20;

/// Bad answers of the target below which it is not judged bad.
const LEAST_BAD: u32 = 6;

/// Share of bad answers above the other versions' share at which the target is bad.
const TOLERATED_BAD: f64 = 0.08;

/// Standard errors of the difference between two shares before a fault counts as shown.
const FAULT_DEVIATIONS: f64 = 3.0;

/// How far a move is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum TrialStage {
    /// The target gets a small share.
    #[display("trial")]
    Trial,
    /// The target gets all calls; the move is not yet recorded as done.
    #[display("moved")]
    Moved,
    /// The move is done.
    #[display("done")]
    Done,
    /// The target showed a fault and gets no calls.
    #[display("taken-back")]
    TakenBack,
}

/// What a router concludes about a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveVerdict {
    /// Nothing new.
    Unchanged,
    /// The stage changed.
    Entered(TrialStage),
}

/// One router's part in a version move.
#[derive(Clone, Debug)]
pub struct VersionTrial {
    order: MoveOrder,
    ordered: Instant,
    stage: TrialStage,
    own: TrialCount,
    seen: u64,
    sent: u64,
}

impl VersionTrial {
    /// Starts a move that was ordered at `ordered`.
    pub fn new(order: MoveOrder, ordered: Instant) -> Self {
        let own = TrialCount::new(&order.service, &order.target);
        Self { order, ordered, stage: TrialStage::Trial, own, seen: 0, sent: 0 }
    }

    /// The order.
    pub fn order(&self) -> &MoveOrder {
        &self.order
    }

    /// How far the move is.
    pub fn stage(&self) -> TrialStage {
        self.stage
    }

    /// Takes over a stage that is recorded in the store.
    pub fn adopt(&mut self, stage: TrialStage) {
        if !matches!(self.stage, TrialStage::Done | TrialStage::TakenBack) {
            self.stage = stage;
        }
    }

    /// Returns whether the next call goes to the target.
    pub fn next_is_target(&mut self) -> bool {
        match self.stage {
            TrialStage::Moved | TrialStage::Done => true,
            TrialStage::TakenBack => false,
            TrialStage::Trial => {
                self.seen += 1;
                let due = (self.sent as f64) < TRIAL_SHARE * self.seen as f64;
                self.sent += u64::from(due);
                due
            }
        }
    }

    /// Counts an answer.
    pub fn record(&mut self, of_target: bool, good: bool) {
        let count = match (of_target, good) {
            (true, true) => &mut self.own.target_good,
            (true, false) => &mut self.own.target_bad,
            (false, true) => &mut self.own.other_good,
            (false, false) => &mut self.own.other_bad,
        };
        *count += 1;
    }

    /// This router's counts, for its peers.
    pub fn report(&self, other_running: u32) -> TrialCount {
        TrialCount {
            other_running,
            moved: matches!(self.stage, TrialStage::Moved | TrialStage::Done),
            ..self.own.clone()
        }
    }

    /// Judges the move by the counts of all routers.
    pub fn judge(
        &mut self,
        other_running: u32,
        peers: &IndexMap<NodeId, TrialCount>,
        routers: u32,
        now: Instant,
    ) -> MoveVerdict {
        let mut sum = self.own.clone();
        for count in peers.values() {
            sum.target_good += count.target_good;
            sum.target_bad += count.target_bad;
            sum.other_good += count.other_good;
            sum.other_bad += count.other_bad;
        }
        let elapsed = now.duration_since(self.ordered).as_secs_f64();
        let part = elapsed / self.order.duration.max(Duration::from_millis(1)).as_secs_f64();
        let next = match self.stage {
            TrialStage::Trial | TrialStage::Moved if is_faulty(&sum) => TrialStage::TakenBack,
            TrialStage::Trial
                if part >= TRUST_PART && sum.target_good + sum.target_bad >= LEAST_ANSWERS =>
            {
                TrialStage::Moved
            }
            TrialStage::Moved => {
                let all_moved =
                    peers.len() + 1 >= routers as usize && peers.values().all(|count| count.moved);
                let drained =
                    other_running == 0 && peers.values().all(|count| count.other_running == 0);
                if all_moved && (drained || part >= LATEST_PART) {
                    TrialStage::Done
                } else {
                    TrialStage::Moved
                }
            }
            stage => stage,
        };
        if next == self.stage {
            return MoveVerdict::Unchanged;
        }
        self.stage = next;
        MoveVerdict::Entered(next)
    }
}

/// Compares the shares of bad answers of the target and of the other versions.
fn is_faulty(sum: &TrialCount) -> bool {
    if sum.target_bad < LEAST_BAD {
        return false;
    }
    let target_total = f64::from(sum.target_good + sum.target_bad);
    let other_total = f64::from(sum.other_good + sum.other_bad);
    let target_share = f64::from(sum.target_bad) / target_total;
    let other_share = if other_total > 0.0 { f64::from(sum.other_bad) / other_total } else { 0.0 };
    let pooled = f64::from(sum.target_bad + sum.other_bad) / (target_total + other_total);
    let error =
        (pooled * (1.0 - pooled) * (1.0 / target_total + 1.0 / other_total.max(1.0))).sqrt();
    target_share > other_share + TOLERATED_BAD
        && target_share - other_share > FAULT_DEVIATIONS * error
}
