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
    pub(super) fn candidates(&mut self, call: &PendingCall, now: Instant) -> CandidateSet {
        let usable = self.usable_upstreams(call, now);
        CandidateSet::for_call(call, &self.upstreams, &usable)
    }

    /// Returns the indices of the upstreams that may run the call, whatever their load.
    fn usable_upstreams(&mut self, call: &PendingCall, now: Instant) -> Vec<usize> {
        let candidates: Vec<usize> = self
            .upstreams
            .iter()
            .enumerate()
            .filter(|(_, (id, load))| {
                self.may_run(call, load) && !self.notices.is_left_out(id, load.entry.started, now)
            })
            .map(|(index, _)| index)
            .collect();
        let candidates = self.filter_by_version(call, candidates);
        let untried: Vec<usize> = candidates
            .iter()
            .copied()
            .filter(|index| {
                self.upstreams
                    .get_index(*index)
                    .is_some_and(|(id, load)| !call.tried.contains(id) && !load.is_backing_off(now))
            })
            .collect();
        if untried.is_empty() && call.charge != BudgetCharge::Retry { candidates } else { untried }
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

    /// Keeps the upstreams of the version to which a move assigns the call.
    fn filter_by_version(&mut self, call: &PendingCall, candidates: Vec<usize>) -> Vec<usize> {
        let Some(trial) = self.trials.get_mut(&call.service) else {
            return candidates;
        };
        let target = Arc::clone(&trial.order().target);
        let (of_target, others): (Vec<usize>, Vec<usize>) = candidates
            .into_iter()
            .partition(|index| self.upstreams[*index].entry.version == target);
        if of_target.is_empty() {
            return others;
        }
        // What was not moved or taken back goes on where it can.
        let is_open = matches!(trial.stage(), TrialStage::Unread | TrialStage::Trial);
        if others.is_empty() && is_open {
            return of_target;
        }
        if trial.sends_next_to_target() { of_target } else { others }
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
