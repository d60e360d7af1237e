//! Dispatches pending calls to upstreams and tracks the calls in progress.

use std::cmp::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::call::{BudgetCharge, CallDecision, CallGrant, CallOutcome, PendingCall, RefusalCause};
use super::capacity::FleetBounds;
use super::fleet_demand::FleetDemand;
use super::load::UpstreamLoad;
use super::part_suspects::{PartSuspects, PartVerdict};
use super::peers::{PeerLoad, PeerReport, PeerTable};
use super::scaling_input::ScaledServices;
use super::stream_pace::StreamPace;
use super::suspects::{CRASH_LIMIT, SuspectList};
use super::team_usage::FairLevel;
use super::team_work::TeamWork;
use super::upstream_notices::{UpstreamNotices, UpstreamStart};
use super::version_trial::{TrialStage, VersionTrial};
use super::waiting::{ChangedUpstreams, WaitingCall, retry_after};
use super::window::RetryBudget;
use super::zone_choice::ZoneShare;
use crate::ids::{
    CallFingerprint, CallId, DataCentreId, GrantId, NodeId, PromptPartId, RegionId, RouteId,
    ServiceId, TeamId, UpstreamId,
};
use crate::routing::{MoveOrder, ServiceEntry};

/// A service, its retry budget, the pace of its streams, and the share of its calls that leave the
/// data centre.
#[derive(Debug)]
pub(super) struct ServiceState {
    pub(super) entry: ServiceEntry,
    pub(super) retries: RetryBudget,
    pub(super) pace: StreamPace,
    pub(super) zone: ZoneShare,
}

impl ServiceState {
    /// Creates the state of a service without calls.
    pub(super) fn new(entry: ServiceEntry, retry_window: Duration) -> Self {
        Self {
            entry,
            retries: RetryBudget::new(retry_window),
            pace: StreamPace::default(),
            zone: ZoneShare::default(),
        }
    }
}

/// A call in progress at an upstream.
#[derive(Debug)]
pub(super) struct GrantedCall {
    pub(super) call: CallId,
    pub(super) upstream: UpstreamId,
    /// Start of the upstream's process as known when the call was sent.
    pub(super) started: UpstreamStart,
    pub(super) team: Option<TeamId>,
    pub(super) fingerprint: CallFingerprint,
    pub(super) shared_parts: Vec<PromptPartId>,
    pub(super) uncached_tokens: u64,
    pub(super) queued_tokens: u64,
    pub(super) held_tokens: u64,
    pub(super) work: f64,
    pub(super) route: RouteId,
    /// When its caller stops waiting.
    pub(super) deadline: Instant,
    /// When the first event is expected.
    pub(super) due_at: Instant,
    pub(super) first_event_at: Option<Instant>,
    /// Whether the first event has probably arrived and lies unread at this router.
    pub(super) is_unread: bool,
}

/// A version move with a final record.
#[derive(Debug)]
pub(super) struct EndedMove {
    pub(super) order: MoveOrder,
    pub(super) stage: TrialStage,
}

/// Dispatcher of one router.
#[derive(Debug)]
pub struct DirectDispatcher {
    pub(super) node: NodeId,
    pub(super) data_centre: DataCentreId,
    pub(super) regions: IndexMap<DataCentreId, RegionId>,
    pub(super) bounds: FleetBounds,
    pub(super) services: IndexMap<ServiceId, ServiceState>,
    pub(super) upstreams: IndexMap<UpstreamId, UpstreamLoad>,
    pub(super) taken_out: IndexSet<DataCentreId>,
    pub(super) trials: IndexMap<ServiceId, VersionTrial>,
    /// Last recorded end of a move of each service whose order is no longer in force.
    pub(super) ended_moves: IndexMap<ServiceId, EndedMove>,
    waiting: Vec<WaitingCall>,
    pub(super) changed: ChangedUpstreams,
    pub(super) grants: IndexMap<GrantId, GrantedCall>,
    pub(super) next_grant: GrantId,
    pub(super) demand: FleetDemand,
    work: TeamWork,
    pub(super) scaling: ScaledServices,
    pub(super) peers: PeerTable,
    pub(super) suspects: SuspectList,
    pub(super) part_suspects: PartSuspects,
    pub(super) notices: UpstreamNotices,
    /// Time for which the last first event lay at this router before it was read.
    pub(super) own_delay: Duration,
    pub(super) store_recovered_at: Option<Instant>,
    store_restored_at: Option<Instant>,
}

impl DirectDispatcher {
    /// Creates a dispatcher without services and upstreams.
    pub fn new(
        node: NodeId,
        data_centre: DataCentreId,
        regions: IndexMap<DataCentreId, RegionId>,
        bounds: FleetBounds,
    ) -> Self {
        Self {
            node,
            data_centre,
            regions,
            bounds,
            services: IndexMap::new(),
            upstreams: IndexMap::new(),
            taken_out: IndexSet::new(),
            trials: IndexMap::new(),
            ended_moves: IndexMap::new(),
            waiting: Vec::new(),
            grants: IndexMap::new(),
            next_grant: 1,
            demand: FleetDemand::default(),
            work: TeamWork::default(),
            scaling: ScaledServices::default(),
            changed: ChangedUpstreams::All,
            peers: PeerTable::default(),
            suspects: SuspectList::default(),
            part_suspects: PartSuspects::default(),
            notices: UpstreamNotices::default(),
            own_delay: Duration::ZERO,
            store_recovered_at: None,
            store_restored_at: None,
        }
    }

    /// Returns the upstreams and their load.
    pub fn upstreams(&self) -> &IndexMap<UpstreamId, UpstreamLoad> {
        &self.upstreams
    }

    /// Returns the mean rate at which the upstreams with calls of this router read prompts, in
    /// tokens per millisecond; 0 without such upstreams.
    pub fn mean_read_rate(&self) -> f64 {
        let rates: Vec<f64> = self
            .upstreams
            .values()
            .filter(|load| load.own.held_tokens > 0)
            .map(UpstreamLoad::read_rate)
            .collect();
        rates.iter().sum::<f64>() / rates.len().max(1) as f64
    }

    /// Returns the pace of each service's streams.
    pub fn stream_paces(&self) -> impl Iterator<Item = (&ServiceId, &StreamPace)> {
        self.services.iter().map(|(service, state)| (service, &state.pace))
    }

    /// Returns the reports of the other routers.
    pub fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Sets the number of routers that the store names, including this one.
    pub fn set_members(&mut self, members: u32) {
        self.peers.set_members(members);
    }

    /// Returns the number of upstreams that leave or pause by their own statement.
    pub fn left_out(&self, now: Instant) -> usize {
        self.notices.left_out_count(now)
    }

    /// Returns the number of upstreams that state that work takes clearly longer than usual.
    pub fn slowed(&self, now: Instant) -> usize {
        self.upstreams.values().filter(|load| load.stated.is_slowed(now)).count()
    }

    /// Returns the upstreams whose pauses have ended since the last call.
    pub fn take_resumed(&mut self) -> Vec<UpstreamId> {
        self.notices.take_resumed()
    }

    /// Returns the number of pending calls.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the pending calls.
    pub(super) fn pending_calls(&self) -> impl Iterator<Item = &PendingCall> {
        self.waiting.iter().map(|waiting| &waiting.call)
    }

    /// Returns the number of calls in progress.
    pub fn granted(&self) -> usize {
        self.grants.len()
    }

    /// Records that the store answers again after an outage.
    pub fn record_store_recovery(&mut self, now: Instant) {
        self.store_recovered_at = Some(now);
    }

    /// Records that the store was restored from an older copy.
    pub fn record_store_restore(&mut self, now: Instant) {
        self.store_restored_at = Some(now);
    }

    /// Returns whether the store was restored less than `time` ago.
    pub(super) fn is_restored_within(&self, time: Duration, now: Instant) -> bool {
        self.store_restored_at.is_some_and(|at| now.saturating_duration_since(at) < time)
    }

    /// Records a report of another router and updates the load of its upstreams.
    pub fn record_report(&mut self, report: PeerReport, now: Instant) {
        let Some(change) = self.peers.record(report, now) else { return };
        for (id, before) in &change.before {
            if let Some(load) = self.upstreams.get_mut(id) {
                load.peers -= *before;
                self.changed.insert(id);
            }
        }
        for (id, after) in &change.after {
            if let Some(load) = self.upstreams.get_mut(id) {
                load.peers += *after;
            }
        }
    }

    /// Recomputes what depends on the age of the peers' reports: their load at each upstream, the
    /// teams' usage, the fair level and the refused parts of prompts. Returns the changes of these
    /// parts.
    pub fn refresh_from_peers(&mut self, now: Instant) -> Vec<PartVerdict> {
        let sums = self.peers.total_loads(now);
        let received_at = self.peers.mean_load_time(now);
        for (id, load) in &mut self.upstreams {
            load.peers = sums.get(id).copied().unwrap_or_default();
            load.peers_at = received_at;
        }
        for service in self.services.values_mut() {
            service.pace.adjust(now);
        }
        self.adjust_zone_shares(now);
        self.demand.refresh(&self.peers, now);
        self.refresh_scaled_services(now);
        self.estimate_unread(now);
        self.changed = ChangedUpstreams::All;
        self.part_suspects.evaluate(self.peers.parts(), now)
    }

    /// Estimates which first events lie unread at this router: those that are due for less than the
    /// router's own delay. Their prompts no longer wait at the upstreams.
    fn estimate_unread(&mut self, now: Instant) {
        for load in self.upstreams.values_mut() {
            load.unread_tokens = 0;
        }
        for call in self.grants.values_mut() {
            let is_due = now >= call.due_at && now < call.due_at + self.own_delay;
            call.is_unread = is_due && call.first_event_at.is_none();
            if call.is_unread
                && let Some(load) = self.upstreams.get_mut(&call.upstream)
            {
                load.unread_tokens += call.uncached_tokens;
            }
        }
    }

    /// Returns the number of parts of prompts whose calls are refused.
    pub fn refused_parts(&self) -> usize {
        self.part_suspects.refused_count()
    }

    /// Fills a report with this router's loads, team usage, suspects and version moves.
    pub fn fill_report(&mut self, report: &mut PeerReport, now: Instant) {
        report.loads = self
            .upstreams
            .iter()
            .filter(|(_, load)| load.own != PeerLoad::default())
            .map(|(id, load)| (Arc::clone(id), load.report()))
            .collect();
        self.demand.fill_report(report, now);
        report.work = self.service_work(now);
        report.suspects = self.suspects.report();
        report.parts = self.part_suspects.report(now);
        report.trials = self.report_trials(now);
    }

    /// Adds a pending call; [`Self::dispatch`] decides about it.
    pub fn enqueue(&mut self, call: PendingCall, now: Instant) {
        self.waiting.push(WaitingCall::new(call, now));
    }

    /// Removes a pending call whose caller left, or ends its grant: the caller may leave after the
    /// decision is made and before it is read.
    pub fn cancel(&mut self, id: CallId, now: Instant) {
        self.waiting.retain(|waiting| waiting.call.id != id);
        let unread = self.grants.iter().find(|(_, granted)| granted.call == id);
        if let Some(grant) = unread.map(|(grant, _)| *grant) {
            self.record_end(grant, CallOutcome::Unsent, false, now);
        }
    }

    /// Returns when the next pending call has to be refused.
    pub fn next_deadline(&self) -> Option<Instant> {
        self.waiting.iter().map(WaitingCall::placement_deadline).min()
    }

    /// Decides about the pending calls, by priority, then by the least recent usage of the team.
    pub fn dispatch(&mut self, now: Instant) -> Vec<(CallId, CallDecision)> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let changed = std::mem::replace(&mut self.changed, ChangedUpstreams::Some(IndexSet::new()));
        if matches!(changed, ChangedUpstreams::All) {
            self.waiting.iter_mut().for_each(|waiting| waiting.candidates = None);
        }
        let (ready, rest): (Vec<WaitingCall>, Vec<WaitingCall>) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting| waiting.needs_decision(&changed, &self.upstreams, now));
        self.waiting = rest;
        let mut calls: Vec<(f64, WaitingCall)> = ready
            .into_iter()
            .map(|waiting| (self.fleet_usage(waiting.call.team.as_deref(), now), waiting))
            .collect();
        calls.sort_by(|(left_usage, left), (right_usage, right)| {
            left.call
                .priority
                .cmp(&right.call.priority)
                .then(left_usage.partial_cmp(right_usage).unwrap_or(Ordering::Equal))
                .then(left.call.arrived.cmp(&right.call.arrived))
        });
        let mut decisions = Vec::new();
        for (_, mut waiting) in calls {
            match self.decide(&mut waiting, now) {
                Some(decision) => {
                    self.work.record_decision(&waiting.call, &decision);
                    self.record_lack_of_capacity(&waiting.call, &decision, now);
                    self.record_service_work(&waiting.call, &decision, now);
                    decisions.push((waiting.call.id, decision));
                }
                None => self.waiting.push(waiting),
            }
        }
        decisions
    }

    fn record_lack_of_capacity(
        &mut self,
        call: &PendingCall,
        decision: &CallDecision,
        now: Instant,
    ) {
        let (Some(team), BudgetCharge::First) = (&call.team, call.charge) else { return };
        if matches!(decision, CallDecision::Refuse { cause: RefusalCause::NoCapacity, .. }) {
            self.demand.record_refused(team, call.work(), now);
        }
    }

    /// Returns the work that the teams asked this router for.
    pub fn work_mut(&mut self) -> &mut TeamWork {
        &mut self.work
    }

    /// Returns the max-min fair level of the teams' usage.
    pub fn fair_level(&self) -> FairLevel {
        self.demand.level()
    }

    /// Returns the recent usage of a team at all routers; 0 for calls without a team.
    pub fn fleet_usage(&self, team: Option<&str>, now: Instant) -> f64 {
        team.map_or(0.0, |team| self.demand.usage_of(team, now))
    }

    /// Decides about a call; `None` when it keeps waiting.
    fn decide(&mut self, waiting: &mut WaitingCall, now: Instant) -> Option<CallDecision> {
        let call = &waiting.call;
        let refuse = |cause| Some(CallDecision::Refuse { cause, retry_after: retry_after(call) });
        if self.crash_count(call.fingerprint) >= CRASH_LIMIT {
            return refuse(RefusalCause::Suspect);
        }
        if let Some(retry_after) = self.part_refusal(call, now) {
            return Some(CallDecision::Refuse { cause: RefusalCause::Suspect, retry_after });
        }
        let candidates =
            waiting.candidates.unwrap_or_else(|| self.candidates(call, waiting.queued_at, now));
        let Some((upstream, uncached)) =
            self.select_upstream(call, &candidates, waiting.queued_at, now)
        else {
            if candidates.is_empty()
                && let Some(refusal) = self.notice_refusal(call, waiting.placement_deadline(), now)
            {
                return Some(refusal);
            }
            if now < waiting.placement_deadline() {
                waiting.candidates = Some(candidates);
                return None;
            }
            let is_empty = candidates.is_empty();
            return refuse(if is_empty {
                RefusalCause::NoUpstream
            } else {
                RefusalCause::NoCapacity
            });
        };
        if !self.charge_budget(call, now) {
            return refuse(RefusalCause::RetryBudget);
        }
        Some(CallDecision::Send(self.grant(call, &upstream, uncached, now)))
    }

    /// Returns the delay after which a call with a refused part of a prompt may be tried again.
    fn part_refusal(&mut self, call: &PendingCall, now: Instant) -> Option<Duration> {
        let prompt = call.prompt.as_ref()?;
        let position = self.peers.count_before(&self.node, now);
        self.part_suspects.refusal(prompt, position, now)
    }

    pub(super) fn crash_count(&self, fingerprint: CallFingerprint) -> u32 {
        if self.suspects.is_cleared(fingerprint) {
            return 0;
        }
        self.suspects.count(fingerprint) + self.peers.suspect_count(fingerprint)
    }

    /// Counts a first send, or uses a retry of the budget.
    fn charge_budget(&mut self, call: &PendingCall, now: Instant) -> bool {
        let routers = self.peers.router_count(now);
        let bounds = self.bounds;
        let Some(state) = self.services.get_mut(&call.service) else {
            return false;
        };
        match call.charge {
            BudgetCharge::First => state.retries.record_first(now),
            BudgetCharge::Free => {}
            BudgetCharge::Retry => {
                let (ratio, slack) = (bounds.retry_ratio, bounds.retry_slack);
                return state.retries.try_retry(ratio, slack, routers, now);
            }
        }
        true
    }

    fn grant(
        &mut self,
        call: &PendingCall,
        upstream: &UpstreamId,
        uncached: u64,
        now: Instant,
    ) -> CallGrant {
        let mut memory_tokens = None;
        if let Some(state) = self.services.get_mut(&call.service) {
            state.zone.record_call(uncached, call.objective);
            memory_tokens = state.entry.memory_tokens;
        }
        let load = &mut self.upstreams[upstream];
        let expected_wait = load.expected_wait(uncached, now);
        let held_tokens = call
            .prompt
            .as_ref()
            .map_or(0, |prompt| u64::from(prompt.tokens_in) + u64::from(prompt.tokens_out));
        load.own.running += 1;
        load.own.waiting_tokens += uncached;
        load.own.held_tokens += held_tokens;
        load.cold.record(now);
        let started = load.entry.started;
        if let Some(prompt) = &call.prompt {
            load.cache
                .record(prompt, UpstreamLoad::cache_capacity(memory_tokens.unwrap_or_default()));
        }
        let id = self.next_grant;
        self.next_grant += 1;
        let queued_tokens = load.waiting_tokens();
        self.notices.record_send(upstream, id);
        let grant = CallGrant {
            id,
            upstream: Arc::clone(upstream),
            address: load.entry.address,
            expected_wait,
        };
        if let Some(team) = &call.team {
            self.demand.record_sent(team, call.work(), now);
        }
        self.grants.insert(
            id,
            GrantedCall {
                call: call.id,
                upstream: Arc::clone(upstream),
                started,
                team: call.team.clone(),
                fingerprint: call.fingerprint,
                shared_parts: call.prompt.as_ref().map_or_else(Vec::new, |prompt| {
                    prompt.shared_parts().iter().map(|part| part.id).collect()
                }),
                uncached_tokens: uncached,
                queued_tokens,
                held_tokens,
                work: call.work(),
                route: Arc::clone(&call.route),
                deadline: call.deadline,
                due_at: now + expected_wait,
                first_event_at: None,
                is_unread: false,
            },
        );
        grant
    }
}
