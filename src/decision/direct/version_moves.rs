//! Evaluates the version moves of a router's services.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::dispatcher::DirectDispatcher;
use super::peers::{PeerTable, TrialCount};
use super::version_evidence::MoveEvidence;
use super::version_trial::{StageChange, TrialStage, VersionTrial};
use crate::ids::{NodeId, ServiceId, StoreRevision};
use crate::routing::MoveOrder;

/// Time after a restore of the store for which no move is newly recorded as ended. A router that
/// knows of another end, whose record the store has lost, writes that again meanwhile.
const RECORD_HOLD: Duration = Duration::from_secs(2);

/// Outcome of one evaluation of a version move.
#[derive(Clone, Debug)]
pub struct MoveStep {
    /// Order of the move.
    pub order: MoveOrder,
    /// Change of its stage.
    pub change: StageChange,
    /// Whether the store's record decided the stage.
    pub is_recorded: bool,
    /// Routers whose answers were counted.
    pub routers: usize,
    /// Answers that these routers received.
    pub evidence: MoveEvidence,
    /// Stage that the store should record.
    pub request: Option<TrialStage>,
}

impl DirectDispatcher {
    /// Evaluates all version moves; returns those with a change or a request.
    pub fn evaluate_moves(&mut self, now: Instant) -> Vec<MoveStep> {
        let routers = self.peers.router_count(now);
        let services: Vec<ServiceId> = self.trials.keys().cloned().collect();
        let may_record = !self.is_restored_within(RECORD_HOLD, now);
        services
            .iter()
            .filter_map(|service| {
                let other_running = self.running_at_other_versions(service, &self.trials[service]);
                let trial = self.trials.get_mut(service)?;
                let counts = trial_counts(&self.peers, trial, now);
                let change = trial.evaluate(other_running, &counts, routers, now);
                let request = (may_record || trial.is_recorded())
                    .then(|| trial.take_record_request(now))
                    .flatten();
                if change == StageChange::Unchanged && request.is_none() {
                    return None;
                }
                Some(describe_step(trial, change, &counts, request, now))
            })
            .collect()
    }

    /// Applies the stage that the store records for an order; `None` if it is not in force.
    pub fn apply_move_record(
        &mut self,
        service: &ServiceId,
        order: StoreRevision,
        stage: TrialStage,
        now: Instant,
    ) -> Option<MoveStep> {
        let trial = self.trials.get_mut(service)?;
        if trial.order().revision != order {
            return None;
        }
        let change = trial.apply_recorded(stage);
        let counts = trial_counts(&self.peers, trial, now);
        Some(describe_step(trial, change, &counts, None, now))
    }

    /// Returns this router's counts of all version moves, for the report to peers.
    pub(super) fn report_trials(&mut self, now: Instant) -> Vec<TrialCount> {
        let running: Vec<u32> = self
            .trials
            .iter()
            .map(|(service, trial)| self.running_at_other_versions(service, trial))
            .collect();
        let trials = self.trials.values_mut().zip(running);
        trials.map(|(trial, other_running)| trial.report(other_running, now)).collect()
    }

    /// Returns this router's calls in progress at versions other than the target of a move.
    fn running_at_other_versions(&self, service: &ServiceId, trial: &VersionTrial) -> u32 {
        self.upstreams
            .values()
            .filter(|load| {
                load.entry.service == *service && load.entry.version != trial.order().target
            })
            .map(|load| load.own.running)
            .sum()
    }
}

fn describe_step(
    trial: &mut VersionTrial,
    change: StageChange,
    counts: &IndexMap<NodeId, TrialCount>,
    request: Option<TrialStage>,
    now: Instant,
) -> MoveStep {
    MoveStep {
        order: trial.order().clone(),
        change,
        is_recorded: trial.is_recorded(),
        routers: counts.len() + 1,
        evidence: trial.total_evidence(counts, now),
        request,
    }
}

/// Returns the counts of the routers that take part in the same version move.
fn trial_counts(
    peers: &PeerTable,
    trial: &VersionTrial,
    now: Instant,
) -> IndexMap<NodeId, TrialCount> {
    peers
        .trials(now)
        .filter_map(|(node, counts)| {
            let count = counts.iter().find(|count| trial.matches(count))?;
            Some((Arc::clone(node), count.clone()))
        })
        .collect()
}
