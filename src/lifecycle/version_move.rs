//! Life cycle of a version move.

use std::time::SystemTime;

use crate::decision::version_move::{MoveFault, MoveSchedule, MoveStage};

/// A move whose first stage has not started.
#[derive(Clone, Debug)]
pub struct PlannedMove {
    schedule: MoveSchedule,
}

/// A move in its first stage, which gives the new version a small share of the traffic.
#[derive(Clone, Debug)]
pub struct CanaryMove {
    schedule: MoveSchedule,
}

/// A move in a later stage, which gives the new version a growing share.
#[derive(Clone, Debug)]
pub struct RampingMove {
    schedule: MoveSchedule,
    stage: usize,
}

/// A move that has ended with all traffic on the new version.
#[derive(Clone, Debug)]
pub struct DoneMove {
    at: SystemTime,
}

/// A move that was rolled back.
#[derive(Clone, Debug)]
pub struct RevertedMove {
    at: SystemTime,
    fault: MoveFault,
}

impl PlannedMove {
    /// Creates a planned move.
    pub fn new(schedule: MoveSchedule) -> Self {
        Self { schedule }
    }

    /// Starts the first stage if it is due.
    pub fn start(self, now: SystemTime) -> Result<CanaryMove, Self> {
        match self.schedule.due(now) {
            Some(_) => Ok(CanaryMove { schedule: self.schedule }),
            None => Err(self),
        }
    }

    /// Rolls back the move before it has started.
    pub fn revert(self, fault: MoveFault, now: SystemTime) -> RevertedMove {
        RevertedMove { at: now, fault }
    }
}

impl CanaryMove {
    /// Returns the current stage.
    pub fn stage(&self) -> MoveStage {
        self.schedule.stages[0]
    }

    /// Starts the second stage if it is due.
    pub fn ramp(self, now: SystemTime) -> Result<RampingMove, Self> {
        match self.schedule.due(now) {
            // Stages are never skipped, so that a lease holder that takes over late does not move
            // all traffic at once.
            Some(due) if due >= 1 => Ok(RampingMove { schedule: self.schedule, stage: 1 }),
            _ => Err(self),
        }
    }

    /// Rolls back the move.
    pub fn revert(self, fault: MoveFault, now: SystemTime) -> RevertedMove {
        RevertedMove { at: now, fault }
    }
}

impl RampingMove {
    /// Returns the current stage.
    pub fn stage(&self) -> MoveStage {
        self.schedule.stages[self.stage]
    }

    /// Starts the next stage if it is due.
    pub fn advance(self, now: SystemTime) -> Self {
        let due = self.schedule.due(now).unwrap_or(0);
        let last = self.schedule.stages.len() - 1;
        let stage = if due > self.stage { (self.stage + 1).min(last) } else { self.stage };
        Self { stage, ..self }
    }

    /// Ends the move if it has been in the last stage for long enough.
    pub fn finish(self, now: SystemTime) -> Result<DoneMove, Self> {
        let all_moved = self.stage + 1 == self.schedule.stages.len();
        if all_moved && self.schedule.is_done(now) { Ok(DoneMove { at: now }) } else { Err(self) }
    }

    /// Rolls back the move.
    pub fn revert(self, fault: MoveFault, now: SystemTime) -> RevertedMove {
        RevertedMove { at: now, fault }
    }
}

impl DoneMove {
    /// Time at which the move was done.
    pub fn at(&self) -> SystemTime {
        self.at
    }
}

impl RevertedMove {
    /// Time at which the move was rolled back.
    pub fn at(&self) -> SystemTime {
        self.at
    }

    /// Reason for the rollback.
    pub fn fault(&self) -> &MoveFault {
        &self.fault
    }
}

/// A move in any state, so that moves can be kept in one collection.
#[derive(Clone, Debug, derive_more::From)]
pub enum MoveState {
    /// The move has not started.
    Planned(PlannedMove),
    /// The move is in its first stage.
    Canary(CanaryMove),
    /// The move is in a later stage.
    Ramping(RampingMove),
    /// The move has ended.
    Done(DoneMove),
    /// The move was rolled back.
    Reverted(RevertedMove),
}

impl MoveState {
    /// Restores the state of a running move from its recorded share, after a change of lease
    /// holder.
    pub fn resume(schedule: MoveSchedule, share: f64) -> Self {
        match schedule.stages.iter().rposition(|stage| stage.share <= share) {
            None => PlannedMove { schedule }.into(),
            Some(0) => CanaryMove { schedule }.into(),
            Some(stage) => RampingMove { schedule, stage }.into(),
        }
    }

    /// Advances by at most one stage.
    pub fn advance(self, now: SystemTime) -> Self {
        match self {
            Self::Planned(planned) => planned.start(now).map_or_else(Self::from, Self::from),
            Self::Canary(canary) => canary.ramp(now).map_or_else(Self::from, Self::from),
            Self::Ramping(ramping) => {
                ramping.advance(now).finish(now).map_or_else(Self::from, Self::from)
            }
            ended => ended,
        }
    }

    /// Rolls back the move unless it has ended.
    pub fn revert(self, fault: MoveFault, now: SystemTime) -> Self {
        match self {
            Self::Planned(planned) => planned.revert(fault, now).into(),
            Self::Canary(canary) => canary.revert(fault, now).into(),
            Self::Ramping(ramping) => ramping.revert(fault, now).into(),
            ended => ended,
        }
    }

    /// Returns the new version's share of the traffic.
    pub fn share(&self) -> f64 {
        match self {
            Self::Planned(_) | Self::Reverted(_) => 0.0,
            Self::Canary(canary) => canary.stage().share,
            Self::Ramping(ramping) => ramping.stage().share,
            Self::Done(_) => 1.0,
        }
    }
}
