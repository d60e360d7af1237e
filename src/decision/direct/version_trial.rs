//! Trial of a version move (a canary release): the target version gets a small share of the calls
//! first, then all of them, and none once it proves faulty. The move is complete only after the
//! target has had all calls for a while, since the other version's upstreams stop then.
//!
//! Every router counts the answers that it receives and adds the counts of its peers. Each one
//! evaluates the sum by itself, so that all stop using a bad version at once. Their sums differ by
//! the age of the reports, so the end of the move is decided by its record in the store alone: the
//! store accepts one final record, and every router follows it, whatever it found itself.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::peers::TrialCount;
use super::trial_load::TrialLoad;
use super::version_evidence::{AnswerQuality, EvidenceCounter, MoveEvidence};
use crate::ids::{NodeId, RouteId};
use crate::routing::MoveOrder;

/// Fraction of the move's duration after which a target without a fault gets all calls.
const PROMOTION_FRACTION: f64 = 0.55;

/// Fraction of the move's duration up to which a target that gets all calls is observed before the
/// move is completed.
const OBSERVED_FRACTION: f64 = 0.85;

/// Fraction of the move's duration after which the move is completed although calls still run at
/// other versions.
const COMPLETION_FRACTION: f64 = 0.93;

/// Fewest answers of the target that allow to promote it.
const MIN_ANSWERS: u32 = 20;

/// Most calls of the trial that are made up for after the target had no capacity.
const MAX_DUE_CALLS: f64 = 2.0;

/// Pause before a record that the store has not confirmed is requested again.
const RECORD_INTERVAL: Duration = Duration::from_millis(500);

/// Stage of a version move.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, derive_more::Display,
)]
pub enum TrialStage {
    /// The record of the move has not been read, so it may have ended already. The target gets no
    /// calls while other versions run.
    #[default]
    #[display("unread")]
    Unread,
    /// The target gets a small share of the calls.
    #[display("trial")]
    Trial,
    /// The target gets all calls; the move is not yet complete.
    #[display("moved")]
    Moved,
    /// The target gets all calls, and the store is asked to record the move as complete.
    #[display("completing")]
    Completing,
    /// The move is recorded as complete.
    #[display("done")]
    Done,
    /// The target proved faulty, here or at another router, and gets no calls.
    #[display("taken-back")]
    TakenBack,
}

impl TrialStage {
    /// Returns whether a record of this stage ends the move.
    pub fn is_final(self) -> bool {
        matches!(self, Self::Done | Self::TakenBack)
    }

    /// Returns whether all calls go to the target.
    fn is_moved(self) -> bool {
        matches!(self, Self::Moved | Self::Completing | Self::Done)
    }
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
    /// Whether the store's record names the stage, which then is final.
    is_recorded: bool,
    /// Whether the record has to be written again, since the store may have lost it.
    is_lost: bool,
    /// Last requested record, and when it was requested.
    requested: Option<(TrialStage, Instant)>,
    evidence: EvidenceCounter,
    /// Calls that the target is due, in the trial; a call adds the target's share.
    due_calls: f64,
}

impl VersionTrial {
    /// Starts a move whose order became known at `ordered_at`.
    pub fn new(order: MoveOrder, ordered_at: Instant) -> Self {
        Self {
            order,
            ordered_at,
            stage: TrialStage::Unread,
            is_recorded: false,
            is_lost: false,
            requested: None,
            evidence: EvidenceCounter::new(),
            due_calls: 0.0,
        }
    }

    /// Creates a move that was recorded with a final stage before the store was restored; the record
    /// has to be written again.
    pub fn recorded(order: MoveOrder, stage: TrialStage, now: Instant) -> Self {
        Self { stage, is_recorded: true, is_lost: true, ..Self::new(order, now) }
    }

    /// Takes over another revision of the same order, which was written again after the store was
    /// restored. The record has to be written again, too: it may be lost, and one with a lower
    /// revision would be taken for that of an earlier order.
    pub fn renew_order(&mut self, order: MoveOrder) {
        self.order = order;
        self.is_lost = true;
        self.requested = None;
    }

    /// Order of the move.
    pub fn order(&self) -> &MoveOrder {
        &self.order
    }

    /// Current stage.
    pub fn stage(&self) -> TrialStage {
        self.stage
    }

    /// Returns whether the store's record names the current stage, which then is final.
    pub fn is_recorded(&self) -> bool {
        self.is_recorded
    }

    /// Applies the stage that the store's record of this order names. The first final record
    /// stays, and goes before what this router found itself.
    pub fn apply_recorded(&mut self, stage: TrialStage) -> StageChange {
        if self.is_recorded {
            self.is_lost &= !stage.is_final();
            return StageChange::Unchanged;
        }
        self.is_lost = false;
        self.is_recorded = stage.is_final();
        if self.is_recorded || self.stage == TrialStage::Unread {
            return self.enter(stage);
        }
        StageChange::Unchanged
    }

    /// Returns the load of the target, which has so many usable upstreams; `None` outside the trial.
    pub fn trial_load(&self, usable: usize, now: Instant) -> Option<TrialLoad> {
        let is_trial = self.stage == TrialStage::Trial;
        is_trial.then(|| TrialLoad::at(self.elapsed_fraction(now), usable))
    }

    /// Counts a call of the trial; returns whether it is due to go to the target.
    pub fn count_call(&mut self, load: TrialLoad) -> bool {
        self.due_calls = (self.due_calls + load.share).min(MAX_DUE_CALLS);
        self.due_calls >= 1.0
    }

    /// Records that a call of the trial goes to the target.
    pub fn record_target_call(&mut self) {
        self.due_calls -= 1.0;
    }

    /// Returns whether calls outside the trial go to the target.
    pub fn sends_to_target(&self) -> bool {
        self.stage.is_moved()
    }

    /// Counts an answer of the target or of another version.
    pub fn record(
        &mut self,
        route: &RouteId,
        of_target: bool,
        quality: AnswerQuality,
        now: Instant,
    ) {
        if !self.is_recorded {
            self.evidence.record(route, of_target, quality, now);
        }
    }

    /// Returns this router's counts, for the report to peers.
    pub fn report(&mut self, other_running: u32, now: Instant) -> TrialCount {
        // Peers need no evidence about a move whose end is recorded.
        let evidence =
            if self.is_recorded { MoveEvidence::default() } else { self.evidence.evidence(now) };
        TrialCount {
            service: self.order.service.clone(),
            target: self.order.target.clone(),
            order: self.order.revision,
            stage: self.stage,
            is_recorded: self.is_recorded,
            age: now.saturating_duration_since(self.ordered_at),
            other_running,
            evidence,
        }
    }

    /// Returns whether a peer's counts belong to the same order. The peer may have read it in another
    /// era of the store.
    pub fn matches(&self, count: &TrialCount) -> bool {
        let own = self.order.revision;
        count.service == self.order.service
            && count.target == self.order.target
            && (count.order == own || count.order.era != own.era)
    }

    /// Returns the evidence of this router and its peers.
    pub fn total_evidence(
        &mut self,
        peers: &IndexMap<NodeId, TrialCount>,
        now: Instant,
    ) -> MoveEvidence {
        let mut total = self.evidence.evidence(now);
        for count in peers.values() {
            total.add(&count.evidence);
        }
        total
    }

    /// Evaluates the move by the counts of all routers.
    pub fn evaluate(
        &mut self,
        other_running: u32,
        peers: &IndexMap<NodeId, TrialCount>,
        routers: u32,
        now: Instant,
    ) -> StageChange {
        if self.is_recorded {
            return StageChange::Unchanged;
        }
        self.adopt_age(peers, now);
        if let Some(recorded) = peers.values().find(|count| count.is_recorded) {
            return self.apply_recorded(recorded.stage);
        }
        let evidence = self.total_evidence(peers, now);
        let found_by_peer = peers.values().any(|count| count.stage == TrialStage::TakenBack);
        let elapsed = self.elapsed_fraction(now);
        let next = match self.stage {
            TrialStage::Unread | TrialStage::Done | TrialStage::TakenBack => self.stage,
            _ if found_by_peer || evidence.is_faulty() => TrialStage::TakenBack,
            TrialStage::Trial
                if elapsed >= PROMOTION_FRACTION
                    && evidence.total.target.total() >= MIN_ANSWERS =>
            {
                TrialStage::Moved
            }
            TrialStage::Trial => TrialStage::Trial,
            TrialStage::Moved | TrialStage::Completing => {
                let all_moved = peers.len() + 1 >= routers as usize
                    && peers.values().all(|count| count.stage.is_moved());
                let drained =
                    other_running == 0 && peers.values().all(|count| count.other_running == 0);
                let observed = elapsed >= OBSERVED_FRACTION;
                if all_moved && ((drained && observed) || elapsed >= COMPLETION_FRACTION) {
                    TrialStage::Completing
                } else {
                    TrialStage::Moved
                }
            }
        };
        self.enter(next)
    }

    /// Returns the stage that the store should record now, if any. A request that was not confirmed
    /// is repeated after a pause, since the store may be away.
    pub fn take_record_request(&mut self, now: Instant) -> Option<TrialStage> {
        let wanted = match self.stage {
            _ if self.is_recorded && !self.is_lost => return None,
            final_stage if self.is_recorded => final_stage,
            // The answer says whether the move has a record already.
            TrialStage::Unread => TrialStage::Trial,
            TrialStage::Completing => TrialStage::Done,
            TrialStage::TakenBack => TrialStage::TakenBack,
            TrialStage::Trial | TrialStage::Moved if self.is_lost => TrialStage::Trial,
            TrialStage::Trial | TrialStage::Moved | TrialStage::Done => return None,
        };
        let is_pending = self.requested.is_some_and(|(stage, at)| {
            stage == wanted && now.saturating_duration_since(at) < RECORD_INTERVAL
        });
        if is_pending {
            return None;
        }
        self.requested = Some((wanted, now));
        Some(wanted)
    }

    /// Takes over the age of the order from the router that has known it longest: this one may have
    /// started during the move.
    fn adopt_age(&mut self, peers: &IndexMap<NodeId, TrialCount>, now: Instant) {
        let oldest = peers.values().map(|count| count.age).max().unwrap_or_default();
        if let Some(ordered_at) = now.checked_sub(oldest) {
            self.ordered_at = self.ordered_at.min(ordered_at);
        }
    }

    fn elapsed_fraction(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.ordered_at).as_secs_f64();
        elapsed / self.order.duration.max(Duration::from_millis(1)).as_secs_f64()
    }

    fn enter(&mut self, next: TrialStage) -> StageChange {
        if next == self.stage {
            return StageChange::Unchanged;
        }
        self.stage = next;
        StageChange::Entered(next)
    }
}
