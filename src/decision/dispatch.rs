//! Dispatch policy of a router: chooses the agents that each waiting request is offered to and
//! grants the request to the first agent that fetches it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::fair_queue::FairnessPolicy;
use super::placement::{
    AgentCandidate, INITIAL_OFFERS, OfferWindows, WindowKey, choose_agents, target_offers,
};
use crate::ids::{AttemptId, DataCentreId, RequestId, ServiceId, TeamId, UpstreamId, VersionId};
use crate::lifecycle::request::{
    AnsweredRequest, QueuedRequest, RequestTicket, ReservedRequest, RunningRequest,
};

/// Time for which an agent that did not answer gets no offers.
const SUSPECT_PERIOD: Duration = Duration::from_secs(1);

/// Maximum number of requests offered to an agent that asks for work. The agent needs a choice of
/// teams, but not every waiting request.
const MAX_ON_DEMAND_OFFERS: usize = 32;

/// Limits of the dispatch policy.
#[derive(Clone, Copy, Debug)]
pub struct DispatchLimits {
    /// Order of requests. `fifo` is the baseline for comparison: it offers each request to a
    /// single agent, round robin.
    pub policy: FairnessPolicy,
    /// Maximum number of waiting requests per team.
    pub team_queue: usize,
    /// Time after which a waiting request is refused.
    pub queue_timeout: Duration,
}

/// An agent that the router may offer requests to.
#[derive(Clone, Debug)]
pub struct AgentEntry {
    /// Upstream that the agent manages.
    pub upstream: UpstreamId,
    /// Service that the upstream runs.
    pub service: ServiceId,
    /// Version that the upstream runs, when it is known.
    pub version: Option<VersionId>,
    /// Data centre of the agent.
    pub data_centre: DataCentreId,
    /// Address of the agent's peer endpoint.
    pub address: SocketAddr,
}

/// Most recent load report of an agent.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportedLoad {
    /// Requests that hold a slot.
    pub running: u32,
    /// Number of slots that the admission limit allows.
    pub limit: u32,
    /// Offers that wait in the agent's queue.
    pub waiting: u32,
}

/// An agent and its load and reachability as this router last observed them.
#[derive(Clone, Debug)]
struct AgentState {
    entry: AgentEntry,
    load: ReportedLoad,
    /// Offers sent since the last load report, which does not count them yet.
    unreported_offers: u32,
    suspect_until: Option<Instant>,
    takes_work: bool,
}

/// A request in any state between arrival and answer.
#[derive(Debug)]
enum TrackedRequest {
    Queued(QueuedRequest),
    Reserved(ReservedRequest),
    Running(RunningRequest),
}

impl TrackedRequest {
    fn ticket(&self) -> &RequestTicket {
        match self {
            Self::Queued(request) => request.ticket(),
            Self::Reserved(request) => request.ticket(),
            Self::Running(request) => request.ticket(),
        }
    }

    fn is_waiting(&self) -> bool {
        !matches!(self, Self::Running(_))
    }
}

/// Message that the router must send after an event.
#[derive(Clone, Debug)]
pub enum DispatchAction {
    /// Offer a request to an agent.
    Offer {
        /// Upstream of the agent.
        agent: UpstreamId,
        /// Peer address of the agent.
        address: SocketAddr,
        /// Ticket of the offered request.
        ticket: RequestTicket,
    },
    /// Withdraw an offer.
    Withdraw {
        /// Peer address of the agent.
        address: SocketAddr,
        /// Request whose offer is withdrawn.
        request: RequestId,
    },
    /// Tell the caller that its request was not run.
    Refuse {
        /// Request to refuse.
        request: RequestId,
        /// Reason for the refusal.
        reason: DispatchRefusal,
    },
}

/// Reason for refusing a request that was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DispatchRefusal {
    /// The team's queue is full.
    TeamQueueFull,
    /// No upstream of the service accepts work.
    NoUpstream,
    /// No upstream had a free slot before the queue timeout.
    QueueTimeout,
    /// The request was in flight at two upstream crashes.
    Quarantined,
    /// The router is probably partitioned from the fleet.
    CutOff,
}

/// Outcome of an agent's attempt to fetch a request.
#[derive(Debug)]
pub enum FetchOutcome {
    /// The agent has exclusive permission to run the request.
    Granted,
    /// The request was granted to another agent or has ended.
    Withdrawn,
}

/// Waiting and running requests of one router and the agents that can run them.
#[derive(Debug)]
pub struct DispatchPolicy {
    limits: DispatchLimits,
    agents: IndexMap<UpstreamId, AgentState>,
    requests: IndexMap<RequestId, TrackedRequest>,
    waiting: IndexMap<TeamId, usize>,
    windows: OfferWindows,
    /// Round-robin position of the FIFO baseline.
    next_agent: usize,
}

fn window_key(ticket: &RequestTicket) -> WindowKey {
    WindowKey {
        team: ticket.team.clone(),
        service: ticket.service.clone(),
        version: ticket.version.clone(),
    }
}

impl DispatchPolicy {
    /// Creates a policy without agents or requests.
    pub fn new(limits: DispatchLimits) -> Self {
        Self {
            limits,
            agents: IndexMap::new(),
            requests: IndexMap::new(),
            waiting: IndexMap::new(),
            windows: OfferWindows::default(),
            next_agent: 0,
        }
    }

    /// Replaces the set of agents, and keeps the observed state of those whose address is
    /// unchanged.
    pub fn set_agents(
        &mut self,
        entries: Vec<AgentEntry>,
        takes_work: impl Fn(&AgentEntry) -> bool,
    ) {
        let mut previous = std::mem::take(&mut self.agents);
        for entry in entries {
            let retained = previous.swap_remove(&entry.upstream);
            let retained = retained.filter(|state| state.entry.address == entry.address);
            let (load, unreported_offers, suspect_until) = retained
                .map_or((ReportedLoad::default(), 0, None), |state| {
                    (state.load, state.unreported_offers, state.suspect_until)
                });
            let takes_work = takes_work(&entry);
            let state = AgentState { entry, load, unreported_offers, suspect_until, takes_work };
            self.agents.insert(state.entry.upstream.clone(), state);
        }
    }

    /// Re-evaluates which of the known agents accept work.
    pub fn refresh_agents(&mut self, takes_work: impl Fn(&AgentEntry) -> bool) {
        for state in self.agents.values_mut() {
            state.takes_work = takes_work(&state.entry);
        }
    }

    /// Number of requests that wait or run.
    pub fn in_flight(&self) -> usize {
        self.requests.len()
    }

    /// Queues a new request and offers it if its team's window allows.
    pub fn enqueue(
        &mut self,
        ticket: RequestTicket,
        now: Instant,
    ) -> Result<Vec<DispatchAction>, DispatchRefusal> {
        let waiting = self.waiting.entry(ticket.team.clone()).or_insert(0);
        if *waiting >= self.limits.team_queue {
            return Err(DispatchRefusal::TeamQueueFull);
        }
        *waiting += 1;
        let (id, key) = (ticket.id, window_key(&ticket));
        self.requests.insert(id, TrackedRequest::Queued(QueuedRequest::new(ticket, now)));
        if self.limits.policy == FairnessPolicy::Fifo {
            return Ok(self.offer_round_robin(id, now).into_iter().collect());
        }
        if !self.windows.try_offer(&key, id) {
            return Ok(Vec::new());
        }
        Ok(self.offer_best(id, INITIAL_OFFERS, now))
    }

    /// Records an agent's reply to offers: its load and the requests that it refused.
    pub fn record_offer_reply(
        &mut self,
        agent: &str,
        refused: &[RequestId],
        load: ReportedLoad,
        now: Instant,
    ) -> Vec<DispatchAction> {
        self.record_load(agent, load);
        self.remove_reservations(agent, refused, now)
    }

    /// Records that offers could not be delivered, and suspends offers to the agent.
    pub fn record_offer_failure(
        &mut self,
        agent: &str,
        requests: &[RequestId],
        now: Instant,
    ) -> Vec<DispatchAction> {
        if let Some(state) = self.agents.get_mut(agent) {
            state.suspect_until = Some(now + SUSPECT_PERIOD);
        }
        self.remove_reservations(agent, requests, now)
    }

    /// Records a load report, which also ends a suspension of the agent.
    pub fn record_load(&mut self, agent: &str, load: ReportedLoad) {
        if let Some(state) = self.agents.get_mut(agent) {
            state.load = load;
            state.unreported_offers = 0;
            state.suspect_until = None;
        }
    }

    /// Answers an agent that has a free slot and asks for work: offers it the oldest request of
    /// each team that it does not have an offer of yet, and more if these do not fill its slots.
    pub fn offer_to_free_agent(
        &mut self,
        agent: &str,
        load: ReportedLoad,
        now: Instant,
    ) -> Vec<DispatchAction> {
        self.record_load(agent, load);
        if self.limits.policy == FairnessPolicy::Fifo {
            return Vec::new();
        }
        let free = load.limit.saturating_sub(load.running) as usize;
        let mut teams = IndexSet::new();
        let (oldest_per_team, others): (Vec<_>, Vec<_>) = self
            .requests
            .iter()
            .filter(|(_, tracked)| match tracked {
                TrackedRequest::Queued(_) => true,
                TrackedRequest::Reserved(request) => !request.holders().contains(agent),
                TrackedRequest::Running(_) => false,
            })
            .filter(|(_, tracked)| self.is_eligible(agent, tracked.ticket(), now))
            .map(|(id, tracked)| (*id, &tracked.ticket().team))
            .partition(|(_, team)| teams.insert(*team));
        let count = free.max(oldest_per_team.len()).min(MAX_ON_DEMAND_OFFERS);
        let chosen: Vec<RequestId> =
            oldest_per_team.into_iter().chain(others).map(|(id, _)| id).take(count).collect();
        chosen.into_iter().filter_map(|id| self.offer_on_demand(id, agent, now)).collect()
    }

    /// Records that an agent is shutting down and cancels its reservations.
    pub fn record_agent_leaving(&mut self, agent: &str, now: Instant) -> Vec<DispatchAction> {
        if let Some(state) = self.agents.get_mut(agent) {
            state.takes_work = false;
        }
        let held: Vec<RequestId> = self
            .requests
            .iter()
            .filter(|(_, tracked)| {
                matches!(tracked, TrackedRequest::Reserved(request) if request.holders().contains(agent))
            })
            .map(|(id, _)| *id)
            .collect();
        self.remove_reservations(agent, &held, now)
    }

    /// Handles an agent's fetch of a request. The first agent to fetch it is granted it.
    pub fn fetch(
        &mut self,
        request: RequestId,
        agent: &UpstreamId,
        attempt: AttemptId,
        now: Instant,
    ) -> (FetchOutcome, Vec<DispatchAction>) {
        match self.requests.shift_remove(&request) {
            Some(TrackedRequest::Reserved(reserved)) => {
                let mut actions = self.dequeue(&reserved.ticket().clone(), now);
                let (running, other_holders) = reserved.grant(agent.clone(), attempt);
                self.requests.insert(request, TrackedRequest::Running(running));
                actions.extend(self.withdraw(request, &other_holders));
                (FetchOutcome::Granted, actions)
            }
            Some(TrackedRequest::Running(running)) if running.attempt() == attempt => {
                // The agent repeats the fetch because the first reply was lost.
                self.requests.insert(request, TrackedRequest::Running(running));
                (FetchOutcome::Granted, Vec::new())
            }
            Some(tracked) => {
                self.requests.insert(request, tracked);
                (FetchOutcome::Withdrawn, Vec::new())
            }
            None => (FetchOutcome::Withdrawn, Vec::new()),
        }
    }

    /// Returns the ticket of a request that waits or runs.
    pub fn ticket(&self, request: RequestId) -> Option<&RequestTicket> {
        self.requests.get(&request).map(TrackedRequest::ticket)
    }

    /// Withdraws the offers of a waiting request and offers it again, marked to run alone.
    pub fn offer_alone(&mut self, request: RequestId, now: Instant) -> Vec<DispatchAction> {
        let Some(TrackedRequest::Reserved(reserved)) = self.requests.get_mut(&request) else {
            return Vec::new();
        };
        reserved.set_run_alone();
        let holders = reserved.holders().clone();
        let mut actions = self.withdraw(request, &holders);
        if let Some(TrackedRequest::Reserved(reserved)) = self.requests.shift_remove(&request) {
            self.requests.insert(request, TrackedRequest::Queued(reserved.requeue()));
        }
        actions.extend(self.offer_best(request, INITIAL_OFFERS, now));
        actions
    }

    /// Marks a granted request so that its next runs are exclusive on their upstream.
    pub fn set_run_alone(&mut self, request: RequestId) {
        if let Some(TrackedRequest::Running(running)) = self.requests.get_mut(&request) {
            running.set_run_alone();
        }
    }

    /// Returns a granted request to the queue, and suspends offers to the agent that had it. Must
    /// only be called for a request that did not run or that may run again.
    pub fn requeue(
        &mut self,
        request: RequestId,
        version: Option<VersionId>,
        now: Instant,
    ) -> Vec<DispatchAction> {
        match self.requests.shift_remove(&request) {
            Some(TrackedRequest::Running(running)) => {
                if let Some(state) = self.agents.get_mut(running.agent()) {
                    state.suspect_until = Some(now + SUSPECT_PERIOD);
                }
                *self.waiting.entry(running.ticket().team.clone()).or_insert(0) += 1;
                let mut queued = running.requeue(now);
                if version.is_some() {
                    queued.pin(version);
                }
                self.offer_again(queued, now)
            }
            Some(tracked) => {
                self.requests.insert(request, tracked);
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// Removes a request that was answered or refused, or whose caller disconnected.
    pub fn end(
        &mut self,
        request: RequestId,
        now: Instant,
    ) -> (Option<AnsweredRequest>, Vec<DispatchAction>) {
        match self.requests.shift_remove(&request) {
            Some(TrackedRequest::Running(running)) => (Some(running.answer(now)), Vec::new()),
            Some(TrackedRequest::Reserved(reserved)) => {
                let mut actions = self.dequeue(&reserved.ticket().clone(), now);
                actions.extend(self.withdraw(request, reserved.holders()));
                (None, actions)
            }
            Some(TrackedRequest::Queued(queued)) => {
                (None, self.dequeue(&queued.ticket().clone(), now))
            }
            None => (None, Vec::new()),
        }
    }

    /// Refuses requests that have reached the queue timeout and offers the others to more agents.
    pub fn tick(&mut self, now: Instant) -> Vec<DispatchAction> {
        let mut overdue = Vec::new();
        let mut to_extend = Vec::new();
        for (id, tracked) in &self.requests {
            let since = match tracked {
                TrackedRequest::Queued(request) => request.queued_at(),
                TrackedRequest::Reserved(request) => request.queued_at(),
                TrackedRequest::Running(_) => continue,
            };
            if now.duration_since(since) >= self.limits.queue_timeout {
                overdue.push(*id);
            } else if let Some(missing) = self.missing_offers(*id, tracked, now) {
                to_extend.push((*id, missing));
            }
        }
        let mut actions = Vec::new();
        for id in overdue {
            actions.extend(self.end(id, now).1);
            actions.push(DispatchAction::Refuse {
                request: id,
                reason: DispatchRefusal::QueueTimeout,
            });
        }
        for (id, missing) in to_extend {
            actions.extend(self.offer_best(id, missing, now));
        }
        actions
    }

    /// Refuses all waiting requests, so that their callers can try another router.
    pub fn refuse_waiting(&mut self, reason: DispatchRefusal, now: Instant) -> Vec<DispatchAction> {
        let waiting = self.requests.iter().filter(|(_, tracked)| tracked.is_waiting());
        let waiting: Vec<RequestId> = waiting.map(|(id, _)| *id).collect();
        let mut actions = Vec::new();
        for request in waiting {
            actions.extend(self.end(request, now).1);
            actions.push(DispatchAction::Refuse { request, reason });
        }
        actions
    }

    /// Pins waiting requests to the version that `replace` returns for them, if any, and offers
    /// them again.
    pub fn repin(
        &mut self,
        replace: impl Fn(&RequestTicket) -> Option<VersionId>,
        now: Instant,
    ) -> Vec<DispatchAction> {
        let waiting = self.requests.iter().filter(|(_, tracked)| tracked.is_waiting());
        let replaced: Vec<(RequestId, VersionId)> =
            waiting.filter_map(|(id, tracked)| Some((*id, replace(tracked.ticket())?))).collect();
        let mut actions = Vec::new();
        for (id, version) in replaced {
            let mut queued = match self.requests.shift_remove(&id) {
                Some(TrackedRequest::Queued(queued)) => queued,
                Some(TrackedRequest::Reserved(reserved)) => {
                    actions.extend(self.withdraw(id, reserved.holders()));
                    reserved.requeue()
                }
                _ => continue,
            };
            actions.extend(self.dequeue(&queued.ticket().clone(), now));
            *self.waiting.entry(queued.ticket().team.clone()).or_insert(0) += 1;
            queued.pin(Some(version));
            actions.extend(self.offer_again(queued, now));
        }
        actions
    }

    /// Offers a request that has waited before, ahead of the requests that its window still holds.
    fn offer_again(&mut self, queued: QueuedRequest, now: Instant) -> Vec<DispatchAction> {
        let (id, key) = (queued.ticket().id, window_key(queued.ticket()));
        self.requests.insert(id, TrackedRequest::Queued(queued));
        if self.limits.policy == FairnessPolicy::Fifo {
            return self.offer_round_robin(id, now).into_iter().collect();
        }
        self.windows.force_offer(&key, id);
        self.offer_best(id, INITIAL_OFFERS, now)
    }

    /// Returns whether a request has not been granted yet.
    pub fn is_waiting(&self, request: RequestId) -> bool {
        self.requests.get(&request).is_some_and(TrackedRequest::is_waiting)
    }

    /// Number of offers to add to a request, or `None` if it has enough.
    fn missing_offers(
        &self,
        id: RequestId,
        tracked: &TrackedRequest,
        now: Instant,
    ) -> Option<usize> {
        let ticket = tracked.ticket();
        let is_fifo = self.limits.policy == FairnessPolicy::Fifo;
        let missing = match tracked {
            TrackedRequest::Queued(_) if is_fifo => 1,
            TrackedRequest::Queued(_) if self.windows.is_held(&window_key(ticket), id) => 0,
            TrackedRequest::Queued(_) => INITIAL_OFFERS,
            TrackedRequest::Reserved(request) if !is_fifo => {
                let waited = now.duration_since(request.first_offered_at());
                target_offers(waited, self.agents.len()).saturating_sub(request.holders().len())
            }
            TrackedRequest::Reserved(_) | TrackedRequest::Running(_) => 0,
        };
        (missing > 0).then_some(missing)
    }

    /// Returns whether any agent of the service accepts work.
    pub fn can_serve(&self, service: &str) -> bool {
        self.agents.values().any(|state| state.takes_work && *state.entry.service == *service)
    }

    /// Offers a request to one agent, in rotation.
    fn offer_round_robin(&mut self, id: RequestId, now: Instant) -> Option<DispatchAction> {
        let ticket = self.requests.get(&id)?.ticket();
        let eligible: Vec<UpstreamId> = self
            .agents
            .keys()
            .filter(|agent| self.is_eligible(agent, ticket, now))
            .cloned()
            .collect();
        let chosen = eligible.get(self.next_agent.checked_rem(eligible.len())?)?;
        self.next_agent = self.next_agent.wrapping_add(1);
        self.offer(id, chosen, now)
    }

    /// Offers a request to up to `count` more agents, the best candidates first.
    fn offer_best(&mut self, id: RequestId, count: usize, now: Instant) -> Vec<DispatchAction> {
        self.offer_best_except(id, None, count, now)
    }

    fn offer_best_except(
        &mut self,
        id: RequestId,
        excluded: Option<&str>,
        count: usize,
        now: Instant,
    ) -> Vec<DispatchAction> {
        let Some(tracked) = self.requests.get(&id) else { return Vec::new() };
        let holders = match tracked {
            TrackedRequest::Queued(_) => None,
            TrackedRequest::Reserved(request) => Some(request.holders()),
            TrackedRequest::Running(_) => return Vec::new(),
        };
        let ticket = tracked.ticket();
        let candidates: Vec<AgentCandidate> = self
            .agents
            .iter()
            .filter(|(agent, _)| !holders.is_some_and(|holders| holders.contains(*agent)))
            .filter(|(agent, _)| excluded.is_none_or(|excluded| ***agent != *excluded))
            .filter(|(agent, _)| self.is_eligible(agent, ticket, now))
            .map(|(agent, state)| AgentCandidate {
                agent: agent.clone(),
                busy: state.load.running + state.load.waiting + state.unreported_offers,
                limit: state.load.limit,
            })
            .collect();
        let chosen = choose_agents(id, ticket.prefix_hash, candidates, count);
        chosen.iter().filter_map(|agent| self.offer(id, agent, now)).collect()
    }

    /// Offers a request to an agent that asked for work, even if its window holds the request.
    fn offer_on_demand(
        &mut self,
        id: RequestId,
        agent: &str,
        now: Instant,
    ) -> Option<DispatchAction> {
        let key = window_key(self.requests.get(&id)?.ticket());
        if self.windows.is_held(&key, id) {
            self.windows.force_offer(&key, id);
        }
        self.offer(id, agent, now)
    }

    fn offer(&mut self, id: RequestId, agent: &str, now: Instant) -> Option<DispatchAction> {
        let state = self.agents.get_mut(agent)?;
        state.unreported_offers += 1;
        let (upstream, address) = (state.entry.upstream.clone(), state.entry.address);
        // The swaps replace the state of the request without changing its place in the arrival
        // order.
        let tracked = self.requests.get_mut(&id)?;
        let ticket = tracked.ticket().clone();
        match tracked {
            TrackedRequest::Reserved(request) => request.add_holder(upstream.clone()),
            TrackedRequest::Queued(_) => {
                let index = self.requests.get_index_of(&id)?;
                let (id, tracked) = self.requests.swap_remove_index(index)?;
                if let TrackedRequest::Queued(request) = tracked {
                    let reserved = request.reserve(upstream.clone(), now);
                    let (last, _) =
                        self.requests.insert_full(id, TrackedRequest::Reserved(reserved));
                    self.requests.swap_indices(index, last);
                }
            }
            TrackedRequest::Running(_) => return None,
        }
        Some(DispatchAction::Offer { agent: upstream, address, ticket })
    }

    fn remove_reservations(
        &mut self,
        agent: &str,
        requests: &[RequestId],
        now: Instant,
    ) -> Vec<DispatchAction> {
        let mut actions = Vec::new();
        for id in requests {
            let Some(TrackedRequest::Reserved(request)) = self.requests.get_mut(id) else {
                continue;
            };
            request.remove_holder(agent);
            if !request.holders().is_empty() {
                continue;
            }
            if let Some(TrackedRequest::Reserved(request)) = self.requests.shift_remove(id) {
                self.requests.insert(*id, TrackedRequest::Queued(request.requeue()));
            }
            // The agent that has just refused would refuse again at once, so it is left out.
            actions.extend(self.offer_best_except(*id, Some(agent), 1, now));
        }
        actions
    }

    fn is_eligible(&self, agent: &str, ticket: &RequestTicket, now: Instant) -> bool {
        self.agents.get(agent).is_some_and(|state| {
            state.takes_work
                && state.entry.service == ticket.service
                && state.suspect_until.is_none_or(|until| now >= until)
                && ticket.version.as_ref().is_none_or(|version| {
                    state.entry.version.as_ref().is_none_or(|running| running == version)
                })
        })
    }

    fn withdraw(&self, request: RequestId, holders: &IndexSet<UpstreamId>) -> Vec<DispatchAction> {
        holders
            .iter()
            .filter_map(|agent| self.agents.get(agent))
            .map(|state| DispatchAction::Withdraw { address: state.entry.address, request })
            .collect()
    }

    /// Removes a request from its team's queue and offers the next held request of its window.
    fn dequeue(&mut self, ticket: &RequestTicket, now: Instant) -> Vec<DispatchAction> {
        if let Some(waiting) = self.waiting.get_mut(&ticket.team) {
            *waiting = waiting.saturating_sub(1);
            if *waiting == 0 {
                self.waiting.swap_remove(&ticket.team);
            }
        }
        let key = window_key(ticket);
        if self.limits.policy == FairnessPolicy::Fifo || self.windows.remove_held(&key, ticket.id) {
            return Vec::new();
        }
        let next = self.windows.complete_offer(&key);
        next.map(|next| self.offer_best(next, INITIAL_OFFERS, now)).unwrap_or_default()
    }

    /// Number of waiting requests of a team.
    pub fn waiting_for(&self, team: &str) -> usize {
        self.requests
            .values()
            .filter(|tracked| tracked.is_waiting() && *tracked.ticket().team == *team)
            .count()
    }
}
