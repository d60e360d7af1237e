//! Chooses the next waiting call and its upstream.

use std::cmp::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::call::{
    ArrivingCall, BudgetCharge, CallGrant, CallOutcome, CallVerdict, PromptShape, RefusalCause,
};
use super::load::UpstreamLoad;
use super::peers::{PeerLoad, PeerReport, PeerTable};
use super::suspects::{CRASH_LIMIT, SuspectList};
use super::team_use::{OwedLevel, TeamUse};
use super::version_trial::{TrialStage, VersionTrial};
use super::window::RepeatBudget;
use crate::decision::rendezvous::rendezvous_weight;
use crate::ids::{
    CallFingerprint, CallId, DataCentreId, GrantId, NodeId, ServiceId, TeamId, UpstreamId,
};
use crate::routing::{MoveOrder, ServiceEntry, UpstreamEntry, ViewChange};

/// Part of a call's objective that it may wait at the router for an upstream.
const WAIT_PART: f64 = 0.11;

/// Part of a call's objective within which its first event must be expected when it is sent.
const START_PART: f64 = 0.62;

/// The same for a call that would read shared parts again at an engine that others do not prefer:
/// under load it rather waits for the engine that has kept them.
const SPILL_START_PART: f64 = 0.26;

/// The least of both parts, for a team whose use is far beyond what it is owed. What lies between
/// is kept free for teams that have had less.
const LEAST_START_PART: f64 = 0.34;
const LEAST_SPILL_START_PART: f64 = 0.10;

/// Part of the deadline that a call larger than the objective allows may take on an idle engine.
const LARGE_CALL_PART: f64 = 0.4;

/// Part of an engine's slots, memory and connections that routers use together.
const USED_SLOTS: f64 = 0.9;
const USED_MEMORY: f64 = 0.85;
const USED_CONNECTIONS: f64 = 0.8;

/// Calls at a plain upstream for each of its slots: some wait there, so that none of its slots is
/// idle while an answer travels.
const PLAIN_CALLS_PER_SLOT: f64 = 1.5;

/// Calls at a plain upstream for each of its slots that all routers may have there together, also
/// while their reports are on the way: the upstream declines what its short queue cannot hold.
const PLAIN_SHARE_PER_SLOT: f64 = 4.0;

/// Weight of reading shared parts again beside the wait that it causes.
const REREAD_WEIGHT: f64 = 8.0;

/// Chance that the first engines in a part's order have kept the part though this router has not
/// sent it there: its peers prefer the same engines.
const CHOICE_KEPT: [f64; 2] = [0.9, 0.6];

/// Part of the fleet's bound on calls to a cold upstream that is used.
const USED_COLD_PART: f64 = 0.8;

/// Penalty of an upstream whose recent answers were all failures, as a wait.
const FAILURE_PENALTY: Duration = Duration::from_millis(400);

/// Penalty of an upstream in another data centre, as a wait.
const DISTANCE_PENALTY: Duration = Duration::from_millis(2);

/// Time for which an entry that disappeared right after the store came back is still used: the
/// entries of live upstreams that lapsed during an outage are back by then.
const LAPSE_GRACE: Duration = Duration::from_millis(1200);

/// Part of the objective after which a refused caller should come back, and its spread.
const RETRY_PART: f64 = 0.2;

/// Bounds that hold for all routers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetBounds {
    /// Repeats for each call to a service.
    pub repeat_ratio: f64,
    /// Window of the budget for repeats.
    pub repeat_window: Duration,
    /// Repeats that are allowed besides.
    pub repeat_slack: f64,
    /// Factor on a cold upstream's calls a second.
    pub cold_factor: f64,
    /// Calls a second that a cold upstream may get besides.
    pub cold_slack: f64,
}

/// A service and its budget for repeats.
#[derive(Debug)]
struct ServiceState {
    entry: ServiceEntry,
    repeats: RepeatBudget,
}

/// A call without an upstream.
#[derive(Debug)]
struct WaitingCall {
    call: ArrivingCall,
    /// Whether all upstreams were looked at for it.
    seen_all: bool,
}

/// Upstreams whose room may have grown since the waiting calls were last looked at.
#[derive(Debug)]
enum ChangedUpstreams {
    All,
    Some(IndexSet<UpstreamId>),
}

impl ChangedUpstreams {
    fn note(&mut self, upstream: &UpstreamId) {
        if let Self::Some(changed) = self {
            changed.insert(Arc::clone(upstream));
        }
    }

    fn contains(&self, upstream: &UpstreamId) -> bool {
        match self {
            Self::All => true,
            Self::Some(changed) => changed.contains(upstream),
        }
    }

    fn is_empty(&self) -> bool {
        matches!(self, Self::Some(changed) if changed.is_empty())
    }
}

/// A call that was sent to an upstream.
#[derive(Debug)]
struct GrantedCall {
    upstream: UpstreamId,
    team: Option<TeamId>,
    fingerprint: CallFingerprint,
    missing_tokens: u64,
    queued_tokens: u64,
    held_tokens: u64,
    work: f64,
    sent: Instant,
    began: bool,
}

/// State of the direct path's decisions at one router.
#[derive(Debug)]
pub struct DirectDispatcher {
    node: NodeId,
    data_centre: DataCentreId,
    bounds: FleetBounds,
    services: IndexMap<ServiceId, ServiceState>,
    upstreams: IndexMap<UpstreamId, UpstreamLoad>,
    taken_out: IndexSet<DataCentreId>,
    trials: IndexMap<ServiceId, VersionTrial>,
    waiting: Vec<WaitingCall>,
    changed: ChangedUpstreams,
    grants: IndexMap<GrantId, GrantedCall>,
    next_grant: GrantId,
    teams: TeamUse,
    work_rate: Option<f64>,
    owed_level: OwedLevel,
    peer_use: IndexMap<TeamId, f64>,
    peers: PeerTable,
    suspects: SuspectList,
    regained: Option<Instant>,
}

impl DirectDispatcher {
    /// Creates a dispatcher that knows of no services and upstreams.
    pub fn new(node: NodeId, data_centre: DataCentreId, bounds: FleetBounds) -> Self {
        Self {
            node,
            data_centre,
            bounds,
            services: IndexMap::new(),
            upstreams: IndexMap::new(),
            taken_out: IndexSet::new(),
            trials: IndexMap::new(),
            waiting: Vec::new(),
            grants: IndexMap::new(),
            next_grant: 1,
            teams: TeamUse::default(),
            work_rate: None,
            owed_level: OwedLevel::default(),
            peer_use: IndexMap::new(),
            changed: ChangedUpstreams::All,
            peers: PeerTable::default(),
            suspects: SuspectList::default(),
            regained: None,
        }
    }

    /// Upstreams and their load.
    pub fn upstreams(&self) -> &IndexMap<UpstreamId, UpstreamLoad> {
        &self.upstreams
    }

    /// Reports of the other routers.
    pub fn peers(&self) -> &PeerTable {
        &self.peers
    }

    /// Sets the number of routers that the store names, this one included.
    pub fn set_members(&mut self, members: u32) {
        self.peers.set_members(members);
    }

    /// Version moves under way.
    pub fn trials_mut(&mut self) -> &mut IndexMap<ServiceId, VersionTrial> {
        &mut self.trials
    }

    /// Calls that wait for an upstream.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Calls that were sent and have not ended.
    pub fn granted(&self) -> usize {
        self.grants.len()
    }

    /// Notes that the store answers again after an outage.
    pub fn store_regained(&mut self, now: Instant) {
        self.regained = Some(now);
    }

    /// Takes a change of the fleet's view in.
    pub fn apply(&mut self, change: &ViewChange, now: Instant) {
        self.changed = ChangedUpstreams::All;
        match change {
            ViewChange::Sheet(sheet) => {
                let mut services = IndexMap::new();
                for entry in &sheet.services {
                    let repeats = self.services.swap_remove(&entry.name).map_or_else(
                        || RepeatBudget::new(self.bounds.repeat_window),
                        |state| state.repeats,
                    );
                    let state = ServiceState { entry: entry.clone(), repeats };
                    services.insert(Arc::clone(&entry.name), state);
                }
                self.services = services;
                self.work_rate = sheet.work_rate;
            }
            ViewChange::TakenOut(centre) => {
                self.taken_out.insert(Arc::clone(centre));
            }
            ViewChange::TakenBack(centre) => {
                self.taken_out.shift_remove(centre);
                self.mark_centre_cold(centre, now);
            }
            ViewChange::MoveOrdered(order) => self.start_trial(order, now),
            ViewChange::MoveEnded(service) => {
                self.trials.shift_remove(service);
            }
            ViewChange::Upstream(id, entry) => self.update_upstream(id, entry, now),
            ViewChange::UpstreamGone(id) => self.remove_upstream(id, now),
        }
    }

    fn start_trial(&mut self, order: &MoveOrder, now: Instant) {
        let known = self.trials.get(&order.service).is_some_and(|trial| trial.order() == order);
        if !known {
            let trial = VersionTrial::new(order.clone(), now);
            self.trials.insert(Arc::clone(&order.service), trial);
        }
    }

    /// The upstreams of a data centre that was out may have become cold without a word.
    fn mark_centre_cold(&mut self, centre: &DataCentreId, now: Instant) {
        for load in self.upstreams.values_mut() {
            if load.entry.data_centre == *centre
                && let Some(service) = self.services.get(&load.entry.service)
            {
                load.cold.mark(now + service.entry.cold_period);
            }
        }
    }

    fn update_upstream(&mut self, id: &UpstreamId, entry: &UpstreamEntry, now: Instant) {
        let cold_period = self
            .services
            .get(&entry.service)
            .map_or(Duration::ZERO, |state| state.entry.cold_period);
        let load = self
            .upstreams
            .entry(Arc::clone(id))
            .or_insert_with(|| UpstreamLoad::new(id, entry.clone()));
        if entry.started != load.entry.started {
            load.memory.clear();
            load.cold.mark(now + cold_period.max(entry.cold_left));
        }
        if !entry.cold_left.is_zero() {
            load.cold.mark(now + entry.cold_left);
        }
        load.entry = entry.clone();
        load.lapsed = None;
    }

    fn remove_upstream(&mut self, id: &UpstreamId, now: Instant) {
        let in_grace = self.regained.is_some_and(|at| now.duration_since(at) < LAPSE_GRACE);
        match self.upstreams.get_mut(id) {
            Some(load) if in_grace => load.lapsed = Some(now),
            _ => {
                self.upstreams.swap_remove(id);
            }
        }
    }

    /// Removes the upstreams whose entries did not come back after an outage of the store.
    pub fn expire_lapsed(&mut self, now: Instant) {
        self.upstreams
            .retain(|_, load| load.lapsed.is_none_or(|at| now.duration_since(at) < LAPSE_GRACE));
    }

    /// Takes a report of another router in.
    pub fn record_peer(&mut self, report: PeerReport, now: Instant) {
        let Some(change) = self.peers.record(report, now) else { return };
        for (id, before) in &change.before {
            if let Some(load) = self.upstreams.get_mut(id) {
                load.peers -= *before;
                self.changed.note(id);
            }
        }
        for (id, after) in &change.after {
            if let Some(load) = self.upstreams.get_mut(id) {
                load.peers += *after;
            }
        }
    }

    /// Brings what is taken from the peers' reports up to date: their load at every upstream, the
    /// teams' use, and the use up to which teams are owed service.
    pub fn refresh_from_peers(&mut self, now: Instant) {
        let sums = self.peers.loads(now);
        for (id, load) in &mut self.upstreams {
            load.peers = sums.get(id).copied().unwrap_or_default();
        }
        self.peer_use = self.peers.team_uses(now);
        let names: IndexSet<&TeamId> = self.teams.names().chain(self.peer_use.keys()).collect();
        let uses = names.into_iter().map(|team| self.fleet_use(Some(team), now)).collect();
        self.owed_level =
            self.work_rate.map_or_else(OwedLevel::default, |rate| OwedLevel::new(uses, rate));
        self.changed = ChangedUpstreams::All;
    }

    /// What this router tells its peers of loads, teams, suspects and moves.
    pub fn fill_report(&mut self, report: &mut PeerReport, now: Instant) {
        report.loads = self
            .upstreams
            .iter()
            .filter(|(_, load)| load.own != PeerLoad::default())
            .map(|(id, load)| (Arc::clone(id), load.own))
            .collect();
        report.teams = self.teams.list(now);
        report.suspects = self.suspects.report();
        report.trials = self
            .trials
            .iter()
            .map(|(service, trial)| trial.report(self.running_elsewhere(service, trial)))
            .collect();
    }

    /// Own calls under way at the versions that a move leaves.
    pub fn running_elsewhere(&self, service: &ServiceId, trial: &VersionTrial) -> u32 {
        self.upstreams
            .values()
            .filter(|load| {
                load.entry.service == *service && load.entry.version != trial.order().target
            })
            .map(|load| load.own.running)
            .sum()
    }

    /// Adds a call; [`Self::dispatch`] decides about it.
    pub fn arrive(&mut self, call: ArrivingCall) {
        self.waiting.push(WaitingCall { call, seen_all: false });
    }

    /// Removes a waiting call whose caller left.
    pub fn withdraw(&mut self, id: CallId) {
        self.waiting.retain(|waiting| waiting.call.id != id);
    }

    /// When the next waiting call must be refused.
    pub fn next_wake(&self) -> Option<Instant> {
        self.waiting.iter().map(|waiting| give_up_at(&waiting.call)).min()
    }

    /// Decides about the waiting calls, the teams with the least recent use first.
    pub fn dispatch(&mut self, now: Instant) -> Vec<(CallId, CallVerdict)> {
        if self.waiting.is_empty() {
            return Vec::new();
        }
        let changed = std::mem::replace(&mut self.changed, ChangedUpstreams::Some(IndexSet::new()));
        let mut calls: Vec<(f64, WaitingCall)> = std::mem::take(&mut self.waiting)
            .into_iter()
            .map(|waiting| (self.fleet_use(waiting.call.team.as_deref(), now), waiting))
            .collect();
        calls.sort_by(|(left_use, left), (right_use, right)| {
            left.call
                .priority
                .cmp(&right.call.priority)
                .then(left_use.partial_cmp(right_use).unwrap_or(Ordering::Equal))
                .then(left.call.arrived.cmp(&right.call.arrived))
        });
        let mut verdicts = Vec::new();
        for (_, mut waiting) in calls {
            let only = waiting.seen_all.then_some(&changed);
            match self.decide(&waiting.call, only, now) {
                Some(verdict) => verdicts.push((waiting.call.id, verdict)),
                None => {
                    waiting.seen_all = true;
                    self.waiting.push(waiting);
                }
            }
        }
        verdicts
    }

    /// Recent use of a team at all routers; calls without a team go first.
    fn fleet_use(&self, team: Option<&str>, now: Instant) -> f64 {
        team.map_or(0.0, |team| {
            self.teams.of(team, now) + self.peer_use.get(team).copied().unwrap_or_default()
        })
    }

    /// Returns a verdict, or `None` when the call goes on waiting.
    fn decide(
        &mut self,
        call: &ArrivingCall,
        only: Option<&ChangedUpstreams>,
        now: Instant,
    ) -> Option<CallVerdict> {
        let refuse = |cause| Some(CallVerdict::Refuse { cause, retry_after: retry_after(call) });
        let expired = now >= give_up_at(call);
        if !expired && only.is_some_and(ChangedUpstreams::is_empty) {
            return None;
        }
        if self.crash_count(call.fingerprint) >= CRASH_LIMIT {
            return refuse(RefusalCause::Suspect);
        }
        let usable = self.usable_upstreams(call, now);
        let chosen = self.choose(call, &usable, only, now);
        let Some((upstream, missing)) = chosen else {
            if !expired {
                return None;
            }
            let cause =
                if usable.is_empty() { RefusalCause::NoUpstream } else { RefusalCause::NoCapacity };
            return refuse(cause);
        };
        if !self.charge_budget(call, now) {
            return refuse(RefusalCause::RepeatBudget);
        }
        Some(CallVerdict::Send(self.grant(call, &upstream, missing, now)))
    }

    fn crash_count(&self, fingerprint: CallFingerprint) -> u32 {
        if self.suspects.is_cleared(fingerprint) {
            return 0;
        }
        self.suspects.count(fingerprint) + self.peers.suspect_count(fingerprint)
    }

    /// Counts a first call, or takes a repeat from the fleet's budget.
    fn charge_budget(&mut self, call: &ArrivingCall, now: Instant) -> bool {
        let routers = self.peers.routers(now);
        let bounds = self.bounds;
        let Some(state) = self.services.get_mut(&call.service) else {
            return false;
        };
        match call.charge {
            BudgetCharge::First => state.repeats.record_first(now),
            BudgetCharge::Free => {}
            BudgetCharge::Repeat => {
                let (ratio, slack) = (bounds.repeat_ratio, bounds.repeat_slack);
                return state.repeats.try_repeat(ratio, slack, routers, now);
            }
        }
        true
    }

    /// Upstreams that may run the call at all, whatever their load.
    fn usable_upstreams(&mut self, call: &ArrivingCall, now: Instant) -> Vec<usize> {
        let candidates: Vec<usize> = self
            .upstreams
            .values()
            .enumerate()
            .filter(|(_, load)| {
                load.entry.service == call.service
                    && !load.entry.leaving
                    && !self.taken_out.contains(&load.entry.data_centre)
            })
            .map(|(index, _)| index)
            .collect();
        let candidates = self.filter_version(call, candidates);
        let untried: Vec<usize> = candidates
            .iter()
            .copied()
            .filter(|index| {
                self.upstreams
                    .get_index(*index)
                    .is_some_and(|(id, load)| !call.tried.contains(id) && !load.is_resting(now))
            })
            .collect();
        if untried.is_empty() && call.charge != BudgetCharge::Repeat { candidates } else { untried }
    }

    /// Keeps the upstreams of the version that a move gives the call to.
    fn filter_version(&mut self, call: &ArrivingCall, candidates: Vec<usize>) -> Vec<usize> {
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
        if others.is_empty() && trial.stage() == TrialStage::Trial {
            return of_target;
        }
        if trial.next_is_target() { of_target } else { others }
    }

    /// The upstream with the lowest cost among those that have room, and the prompt tokens that it
    /// has to read.
    fn choose(
        &mut self,
        call: &ArrivingCall,
        usable: &[usize],
        only: Option<&ChangedUpstreams>,
        now: Instant,
    ) -> Option<(UpstreamId, u64)> {
        let service = &self.services.get(&call.service)?.entry;
        let routers = self.peers.routers(now);
        let connections = connection_share(service, routers);
        let team_use = self.fleet_use(call.team.as_deref(), now);
        let (start_part, spill_part) = start_parts(team_use, self.owed_level);
        let preferred = call
            .prompt
            .as_ref()
            .and_then(PromptShape::affinity_part)
            .map_or([None; CHOICE_KEPT.len()], |part| {
                preferred_upstreams(&self.upstreams, usable, part)
            });
        let mut best: Option<(f64, usize, u64)> = None;
        for index in usable {
            let (id, load) = self.upstreams.get_index_mut(*index)?;
            if only.is_some_and(|only| !only.contains(id)) {
                continue;
            }
            let share = cold_share(service, self.bounds, routers, id, &self.node);
            if load.own.running >= connections
                || !load.cold.allows(share, now)
                || (load.is_unproved() && load.own.running > 0)
            {
                continue;
            }
            let rank = preferred.iter().position(|preferred| *preferred == Some(*index));
            let missing =
                call.prompt.as_ref().map_or(0, |prompt| expected_missing(load, prompt, rank));
            let has_room = match (&call.prompt, service.memory_tokens) {
                (Some(prompt), Some(memory)) => {
                    let spilled = rank != Some(0) && lacks_shared(prompt, missing);
                    let part = if spilled { spill_part } else { start_part };
                    model_has_room(load, call, prompt, (missing, memory), part, now)
                }
                _ => plain_has_room(load, routers),
            };
            if !has_room {
                continue;
            }
            let mut cost = load.expected_wait(missing).as_secs_f64()
                + REREAD_WEIGHT * load.read_time(missing).as_secs_f64()
                + FAILURE_PENALTY.as_secs_f64() * load.failure_share()
                + f64::from(load.running()) / f64::from(load.entry.slots.max(1)) * 0.01;
            if load.entry.data_centre != self.data_centre {
                cost += DISTANCE_PENALTY.as_secs_f64();
            }
            if best.is_none_or(|(lowest, _, _)| cost < lowest) {
                best = Some((cost, *index, missing));
            }
        }
        let (_, index, missing) = best?;
        let (id, _) = self.upstreams.get_index(index)?;
        Some((Arc::clone(id), missing))
    }

    fn grant(
        &mut self,
        call: &ArrivingCall,
        upstream: &UpstreamId,
        missing: u64,
        now: Instant,
    ) -> CallGrant {
        let memory_tokens = self
            .services
            .get(&call.service)
            .and_then(|state| state.entry.memory_tokens)
            .unwrap_or_default();
        let load = &mut self.upstreams[upstream];
        let expected_wait = load.expected_wait(missing);
        let held = call
            .prompt
            .as_ref()
            .map_or(0, |prompt| u64::from(prompt.tokens_in) + u64::from(prompt.tokens_out));
        load.own.running += 1;
        load.own.waiting_tokens += missing;
        load.own.held_tokens += held;
        load.cold.record(now);
        if let Some(prompt) = &call.prompt {
            load.memory.record(prompt, UpstreamLoad::remembered_tokens(memory_tokens));
        }
        let id = self.next_grant;
        self.next_grant += 1;
        let queued_tokens = load.own.waiting_tokens + load.peers.waiting_tokens;
        let grant = CallGrant {
            id,
            upstream: Arc::clone(upstream),
            address: load.entry.address,
            version: Arc::clone(&load.entry.version),
            expected_wait,
        };
        if let Some(team) = &call.team {
            self.teams.add(team, call.work(), now);
        }
        self.grants.insert(
            id,
            GrantedCall {
                upstream: Arc::clone(upstream),
                team: call.team.clone(),
                fingerprint: call.fingerprint,
                missing_tokens: missing,
                queued_tokens,
                held_tokens: held,
                work: call.work(),
                sent: now,
                began: false,
            },
        );
        grant
    }

    /// Notes the first event of a call's answer.
    pub fn began(&mut self, grant: GrantId, now: Instant) {
        let Some(call) = self.grants.get_mut(&grant) else { return };
        if std::mem::replace(&mut call.began, true) {
            return;
        }
        self.changed.note(&call.upstream);
        if let Some(load) = self.upstreams.get_mut(&call.upstream) {
            load.own.waiting_tokens = load.own.waiting_tokens.saturating_sub(call.missing_tokens);
            load.record_first_event(call.queued_tokens, now.duration_since(call.sent));
        }
    }

    /// Notes the end of a call; returns the upstream when it probably went down.
    pub fn ended(
        &mut self,
        grant: GrantId,
        outcome: CallOutcome,
        late: bool,
        now: Instant,
    ) -> Option<UpstreamId> {
        let call = self.grants.swap_remove(&grant)?;
        self.changed.note(&call.upstream);
        match outcome {
            CallOutcome::Broken => self.suspects.record(call.fingerprint, now),
            CallOutcome::Completed if self.crash_count(call.fingerprint) > 0 => {
                self.suspects.clear(call.fingerprint, now);
            }
            _ => {}
        }
        if matches!(outcome, CallOutcome::Declined | CallOutcome::Unreachable)
            && let Some(team) = &call.team
        {
            // Work that did not run is not held against the team.
            self.teams.add(team, -call.work, now);
        }
        let load = self.upstreams.get_mut(&call.upstream)?;
        load.own.running = load.own.running.saturating_sub(1);
        load.own.held_tokens = load.own.held_tokens.saturating_sub(call.held_tokens);
        if !call.began {
            load.own.waiting_tokens = load.own.waiting_tokens.saturating_sub(call.missing_tokens);
        }
        if let Some(trial) = self.trials.get_mut(&load.entry.service) {
            let judged = !matches!(
                outcome,
                CallOutcome::Abandoned
                    | CallOutcome::Unsent
                    | CallOutcome::Declined
                    | CallOutcome::Misdirected
            );
            if judged {
                let good = outcome == CallOutcome::Completed && !late;
                trial.record(load.entry.version == trial.order().target, good);
            }
        }
        let down = load.record_outcome(outcome, now);
        if !down {
            return None;
        }
        // An upstream that comes back after a failure is cold.
        if let Some(service) = self.services.get(&load.entry.service) {
            load.cold.mark(now + service.entry.cold_period);
        }
        Some(call.upstream)
    }
}

/// When a waiting call is refused.
fn give_up_at(call: &ArrivingCall) -> Instant {
    let wait = call.objective.mul_f64(WAIT_PART);
    (call.arrived + wait).min(call.deadline)
}

/// When a refused caller should come back; spread so that callers do not return together.
fn retry_after(call: &ArrivingCall) -> Duration {
    let spread = 0.6 + (call.id % 9) as f64 / 10.0;
    call.objective.mul_f64(RETRY_PART * spread)
}

/// Parts of the objective for calls of a team: full up to the owed level, less with each step of
/// use beyond it, so that of two teams beyond it the one that had less gets more.
fn start_parts(team_use: f64, level: OwedLevel) -> (f64, f64) {
    let owed = level.owed_part(team_use);
    let between = |least: f64, full: f64| least + (full - least) * owed;
    (between(LEAST_START_PART, START_PART), between(LEAST_SPILL_START_PART, SPILL_START_PART))
}

/// Connections to one upstream that this router may use.
fn connection_share(service: &ServiceEntry, routers: u32) -> u32 {
    let share = f64::from(service.connection_limit) * USED_CONNECTIONS / f64::from(routers.max(1));
    (share as u32).max(1)
}

/// Calls that this router may send to a cold upstream in a second.
///
/// Where there are more routers than calls, a hash of router and upstream picks the routers that
/// may send one.
fn cold_share(
    service: &ServiceEntry,
    bounds: FleetBounds,
    routers: u32,
    upstream: &UpstreamId,
    node: &NodeId,
) -> u32 {
    if service.cold_rate <= 0.0 {
        return u32::MAX;
    }
    let bound = (service.cold_rate * bounds.cold_factor + bounds.cold_slack) * USED_COLD_PART;
    let share = bound / f64::from(routers.max(1));
    if share >= 1.0 {
        return share as u32;
    }
    let chance = (rendezvous_weight(upstream, node) >> 11) as f64 / (1_u64 << 53) as f64;
    u32::from(chance < share)
}

/// The engines that every router prefers for a prompt part, by rendezvous hashing.
fn preferred_upstreams(
    upstreams: &IndexMap<UpstreamId, UpstreamLoad>,
    usable: &[usize],
    part: u64,
) -> [Option<usize>; CHOICE_KEPT.len()] {
    let mut first: [Option<(u64, usize)>; CHOICE_KEPT.len()] = [None; CHOICE_KEPT.len()];
    for index in usable {
        let mut candidate = Some((upstreams[*index].affinity(part), *index));
        for place in &mut first {
            if candidate > *place {
                std::mem::swap(place, &mut candidate);
            }
        }
    }
    first.map(|place| place.map(|(_, index)| index))
}

/// Prompt tokens that the upstream probably has to read.
fn expected_missing(load: &UpstreamLoad, prompt: &PromptShape, rank: Option<usize>) -> u64 {
    let missing = load.memory.missing_tokens(prompt);
    let Some(rank) = rank else { return missing };
    let own: u64 = prompt.parts.last().map_or(0, |part| u64::from(part.tokens));
    let shared = missing.saturating_sub(own);
    own.min(missing) + (shared as f64 * (1.0 - CHOICE_KEPT[rank])) as u64
}

/// Returns whether the prompt tokens to read include shared ones.
fn lacks_shared(prompt: &PromptShape, missing: u64) -> bool {
    missing > prompt.parts.last().map_or(0, |part| u64::from(part.tokens))
}

fn model_has_room(
    load: &UpstreamLoad,
    call: &ArrivingCall,
    prompt: &PromptShape,
    (missing, memory): (u64, u64),
    start_part: f64,
    now: Instant,
) -> bool {
    let slots = f64::from(load.entry.slots) * USED_SLOTS;
    if f64::from(load.running()) >= slots {
        return false;
    }
    let held = load.held_tokens() + u64::from(prompt.tokens_in) + u64::from(prompt.tokens_out);
    if held as f64 > memory as f64 * USED_MEMORY && load.running() > 0 {
        return false;
    }
    let elapsed = now.duration_since(call.arrived);
    let wait = load.expected_wait(missing) + elapsed;
    if wait <= call.objective.mul_f64(start_part) {
        return true;
    }
    let idle = load.own.waiting_tokens + load.peers.waiting_tokens == 0;
    idle && wait <= call.deadline.duration_since(call.arrived).mul_f64(LARGE_CALL_PART)
}

fn plain_has_room(load: &UpstreamLoad, routers: u32) -> bool {
    let slots = f64::from(load.entry.slots);
    let share = (slots * PLAIN_SHARE_PER_SLOT / f64::from(routers.max(1))).max(1.0);
    f64::from(load.own.running) < share.floor()
        && f64::from(load.running()) < slots * PLAIN_CALLS_PER_SLOT
}

/// Names of the routers that report a move of a service, with their counts.
pub fn trial_counts(
    peers: &PeerTable,
    service: &ServiceId,
    now: Instant,
) -> IndexMap<NodeId, super::peers::TrialCount> {
    peers
        .trials(now)
        .filter_map(|(node, counts)| {
            let count = counts.iter().find(|count| count.service == *service)?;
            Some((Arc::clone(node), count.clone()))
        })
        .collect()
}
