//! Selects the upstream of a call.

use std::sync::Arc;
use std::time::Instant;

use super::call::{BudgetCharge, CallDecision, PendingCall, RefusalCause};
use super::candidates::CandidateSet;
use super::capacity::{
    CallNeeds, cold_share, connection_share, expected_uncached, has_capacity, send_cost,
    team_fractions,
};
use super::dispatcher::DirectDispatcher;
use super::load::UpstreamLoad;
use super::version_trial::TrialStage;
use super::waiting::retry_after;
use crate::ids::{DataCentreId, UpstreamId};

impl DirectDispatcher {
    /// Returns the upstreams that are considered for a call.
    pub(super) fn candidates(
        &mut self,
        call: &PendingCall,
        queued_at: Instant,
        now: Instant,
    ) -> CandidateSet {
        let usable = self.usable_upstreams(call, now);
        let (of_target, others) = self.split_by_version(call, usable);
        if let Some(candidates) = self.trial_candidates(call, &of_target, now) {
            return candidates;
        }
        let usable = self.choose_version(call, of_target, others);
        let usable = self.prefer_untried(call, usable, now);
        self.zone_candidates(call, &usable, queued_at, now)
    }

    /// Returns the indices of the upstreams that may run the call, whatever their load.
    fn usable_upstreams(&self, call: &PendingCall, now: Instant) -> Vec<usize> {
        self.upstreams
            .iter()
            .enumerate()
            .filter(|(_, (id, load))| {
                self.may_run(call, load) && !self.notices.is_left_out(id, load.entry.started, now)
            })
            .map(|(index, _)| index)
            .collect()
    }

    /// Keeps the upstreams that have not run the call and do not back off, if there are any. A retry
    /// goes to no others.
    fn prefer_untried(&self, call: &PendingCall, usable: Vec<usize>, now: Instant) -> Vec<usize> {
        let untried: Vec<usize> =
            usable.iter().copied().filter(|index| self.is_untried(call, *index, now)).collect();
        if untried.is_empty() && call.charge != BudgetCharge::Retry { usable } else { untried }
    }

    fn is_untried(&self, call: &PendingCall, index: usize, now: Instant) -> bool {
        self.upstreams
            .get_index(index)
            .is_some_and(|(id, load)| !call.tried.contains(id) && !load.is_backing_off(now))
    }

    /// Returns whether an upstream may run a call, by what the store says of both.
    fn may_run(&self, call: &PendingCall, load: &UpstreamLoad) -> bool {
        load.entry.service == call.service
            && !load.entry.leaving
            && !self.taken_out.contains(&load.entry.data_centre)
            && self.allows_data_centre(call, &load.entry.data_centre)
    }

    /// Returns the refusal of a call whose upstreams all leave or pause by their own statements,
    /// unless one of them is due back before `until`.
    pub(super) fn notice_refusal(
        &self,
        call: &PendingCall,
        until: Instant,
        now: Instant,
    ) -> Option<CallDecision> {
        let left_out: Vec<Option<Instant>> = self
            .upstreams
            .iter()
            .filter(|(_, load)| self.may_run(call, load))
            .map(|(id, load)| self.notices.paused_until(id, load.entry.started, now))
            .collect();
        if left_out.is_empty() {
            return None;
        }
        let (cause, retry_after) = match left_out.into_iter().flatten().min() {
            Some(back_at) if back_at <= until => return None,
            Some(back_at) => (RefusalCause::Paused, back_at.duration_since(now)),
            None => (RefusalCause::NoUpstream, retry_after(call)),
        };
        Some(CallDecision::Refuse { cause, retry_after })
    }

    /// Returns whether the call may run in a data centre. A data centre of unknown region runs only
    /// calls without home regions.
    fn allows_data_centre(&self, call: &PendingCall, data_centre: &DataCentreId) -> bool {
        let Some(homes) = &call.homes else { return true };
        self.regions.get(data_centre).is_some_and(|region| homes.contains(region))
    }

    /// Separates the upstreams of the version that the call's service moves to from the others.
    fn split_by_version(&self, call: &PendingCall, usable: Vec<usize>) -> (Vec<usize>, Vec<usize>) {
        let Some(trial) = self.trials.get(&call.service) else {
            return (Vec::new(), usable);
        };
        let target = &trial.order().target;
        usable.into_iter().partition(|index| self.upstreams[*index].entry.version == *target)
    }

    /// Returns the candidates of a call that a trial sends to the target. Without capacity there,
    /// the call is left to the other version.
    fn trial_candidates(
        &mut self,
        call: &PendingCall,
        of_target: &[usize],
        now: Instant,
    ) -> Option<CandidateSet> {
        let trial = self.trials.get_mut(&call.service)?;
        let load = trial.trial_load(of_target.len(), now)?;
        let order = trial.order().revision.version;
        if !trial.count_call(load) {
            return None;
        }
        let mut loaded = of_target.to_vec();
        // All routers load the same upstreams.
        loaded.sort_by_key(|index| std::cmp::Reverse(self.upstreams[*index].affinity(order)));
        loaded.truncate(load.upstreams);
        loaded.retain(|index| self.is_untried(call, *index, now));
        let candidates = CandidateSet::for_call(call, &self.upstreams, &loaded);
        self.select_upstream(call, &candidates, now, now)?;
        self.trials.get_mut(&call.service)?.record_target_call();
        Some(candidates)
    }

    /// Returns the upstreams of the version to which a move assigns a call outside its trial.
    fn choose_version(
        &self,
        call: &PendingCall,
        of_target: Vec<usize>,
        others: Vec<usize>,
    ) -> Vec<usize> {
        let Some(trial) = self.trials.get(&call.service) else {
            return others;
        };
        if of_target.is_empty() {
            return others;
        }
        // What was not moved or taken back goes on where it can.
        let is_open = matches!(trial.stage(), TrialStage::Unread | TrialStage::Trial);
        if trial.sends_to_target() || (others.is_empty() && is_open) { of_target } else { others }
    }

    /// Returns the upstream with the lowest cost among those with capacity, and the prompt tokens
    /// that it has to read.
    pub(super) fn select_upstream(
        &mut self,
        call: &PendingCall,
        candidates: &CandidateSet,
        queued_at: Instant,
        now: Instant,
    ) -> Option<(UpstreamId, u64)> {
        let state = self.services.get(&call.service)?;
        let service = &state.entry;
        let slot_fraction = state.pace.slot_fraction();
        let routers = self.peers.router_count(now);
        let connections = connection_share(service, routers);
        let team_usage = self.fleet_usage(call.team.as_deref(), now);
        let fractions = team_fractions(team_usage, self.demand.level());
        let mut best: Option<(f64, usize, u64)> = None;
        for index in candidates.indices() {
            let (id, load) = self.upstreams.get_index_mut(index)?;
            let share = cold_share(service, self.bounds, routers, id, &self.node);
            if load.own.running >= connections
                || !load.cold.allows(share, now)
                || (load.needs_probe() && load.own.running > 0)
                || self.notices.awaits_probe(id, load.entry.started)
            {
                continue;
            }
            let rank = candidates.rank(index);
            let uncached =
                call.prompt.as_ref().map_or(0, |prompt| expected_uncached(load, prompt, rank));
            let needs = CallNeeds { uncached, rank, slot_fraction, fractions, queued_at };
            if !has_capacity(load, call, service, needs, routers, now) {
                continue;
            }
            let cost = send_cost(load, uncached, &self.data_centre, now);
            if best.is_none_or(|(lowest, _, _)| cost < lowest) {
                best = Some((cost, index, uncached));
            }
        }
        let (_, index, uncached) = best?;
        let (id, _) = self.upstreams.get_index(index)?;
        Some((Arc::clone(id), uncached))
    }
}
