//! Queue of an agent: assigns offered requests to the free slots of its upstream.
//!
//! It combines the fair queue, which determines the order of the requests, with the admission
//! limit, which determines how many may run.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::admission::{AdmissionLimit, CompletionKind, HealthReport};
use super::fair_queue::{FairLimits, FairQueue, FairRefusal, FairnessPolicy, TeamOffer};
use crate::ids::{RequestId, TeamId};
use crate::lifecycle::request::OfferedRequest;

/// Number of routers that are notified of a free slot. The routers that made the latest offers are
/// the most likely to have more; a request that waits at any other router reaches every agent
/// within 100 ms anyway.
const ANNOUNCED_ROUTERS: usize = 4;

/// Time after which a fetched request is returned to its router if the admission limit, which has
/// decreased meanwhile, does not let it start.
const MAX_HOLD: Duration = Duration::from_secs(1);

/// Time after which a request that must run alone is returned if the others have not ended.
const MAX_ALONE_HOLD: Duration = Duration::from_secs(30);

/// Limits of the agent's queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Maximum number of requests that run at once.
    pub slots: u32,
    /// Order of the offers.
    pub policy: FairnessPolicy,
    /// Limits of the fair queue.
    pub fair: FairLimits,
}

/// Action that the agent must take after an event.
#[derive(Clone, Debug)]
pub enum QueueAction {
    /// Fetch the request from its router.
    Fetch(OfferedRequest),
    /// Send a fetched request to the upstream.
    Admit(RequestId),
    /// Return a fetched request to its router, because the admission limit does not let it start.
    Return(RequestId),
    /// Notify these routers that a slot is free and no offer waits.
    AnnounceFreeSlot(Vec<SocketAddr>),
}

/// Reason for refusing an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueueRefusal {
    /// Too many offers wait.
    Full,
    /// The agent is stopping.
    Draining,
}

impl From<FairRefusal> for QueueRefusal {
    fn from(_: FairRefusal) -> Self {
        Self::Full
    }
}

/// State of an occupied slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotState {
    /// The request is being fetched from its router.
    Fetching,
    /// The request was fetched at this time and waits until the admission limit lets it start.
    Held(Instant),
    /// The request was sent to the upstream.
    Started,
}

/// Waiting offers and occupied slots of one agent.
#[derive(Debug)]
pub struct AgentQueue {
    fair_queue: FairQueue,
    admission: AdmissionLimit,
    offers: IndexMap<RequestId, OfferedRequest>,
    slots: IndexMap<RequestId, SlotState>,
    /// Requests with a slot that must run alone on the upstream, in the order of fetching.
    run_alone: IndexSet<RequestId>,
    /// Routers that have made offers, the most recent last.
    routers: IndexSet<SocketAddr>,
    announced: bool,
    draining: bool,
}

impl AgentQueue {
    /// Creates an empty queue for an upstream that counts as cold.
    pub fn new(limits: QueueLimits, now: Instant) -> Self {
        Self {
            fair_queue: FairQueue::new(limits.policy, limits.fair),
            admission: AdmissionLimit::new(limits.slots, now),
            offers: IndexMap::new(),
            slots: IndexMap::new(),
            run_alone: IndexSet::new(),
            routers: IndexSet::new(),
            announced: false,
            draining: false,
        }
    }

    /// Queues an offer. An offer of a request that is already queued or running is ignored.
    pub fn offer(&mut self, offer: OfferedRequest) -> Result<(), QueueRefusal> {
        let id = offer.ticket.id;
        if self.slots.contains_key(&id) || self.offers.contains_key(&id) {
            return Ok(());
        }
        if self.draining {
            return Err(QueueRefusal::Draining);
        }
        self.routers.shift_remove(&offer.router);
        self.routers.insert(offer.router);
        self.fair_queue.offer(TeamOffer {
            request: id,
            team: offer.ticket.team.clone(),
            router: offer.router,
            cost_hint: offer.ticket.cost_hint,
        })?;
        self.offers.insert(id, offer);
        self.announced = false;
        Ok(())
    }

    /// Removes an offer that its router has withdrawn.
    pub fn withdraw(&mut self, request: RequestId) {
        self.fair_queue.withdraw(request);
        self.offers.swap_remove(&request);
    }

    /// Fills the free slots and returns the actions that are due. While a request that must run
    /// alone waits, no other is fetched, because otherwise it might never start.
    pub fn fill_slots(&mut self, now: Instant) -> Vec<QueueAction> {
        let mut actions = self.resolve_held(now);
        while self.running() < self.limit() && self.run_alone.is_empty() {
            let Some(id) = self.fair_queue.take() else { break };
            let Some(offer) = self.offers.swap_remove(&id) else { continue };
            if offer.ticket.run_alone {
                self.run_alone.insert(id);
            }
            self.slots.insert(id, SlotState::Fetching);
            actions.push(QueueAction::Fetch(offer));
        }
        let is_free = self.running() < self.limit() && self.offers.is_empty();
        if is_free && !self.announced && !self.draining && !self.routers.is_empty() {
            self.announced = true;
            let routers = self.routers.iter().rev().take(ANNOUNCED_ROUTERS).copied().collect();
            actions.push(QueueAction::AnnounceFreeSlot(routers));
        }
        actions
    }

    /// Records that a request was fetched and is ready for the upstream. [`QueueAction::Admit`] or
    /// [`QueueAction::Return`] follows.
    pub fn hold(&mut self, request: RequestId, now: Instant) {
        if let Some(slot) = self.slots.get_mut(&request) {
            *slot = SlotState::Held(now);
        }
    }

    /// Records the units of service that a request has received so far.
    pub fn record_progress(&mut self, request: RequestId, done: u64) {
        self.fair_queue.record_progress(request, done);
    }

    /// Frees the slot of a request that ran, successfully or not.
    pub fn finish(&mut self, request: RequestId, done: u64, kind: CompletionKind, now: Instant) {
        self.free_slot(request);
        self.fair_queue.record_progress(request, done);
        self.fair_queue.finish(request);
        self.admission.observe_completion(kind, now);
    }

    /// Frees the slot of a request whose run was cancelled. Its work is charged, but the run is not
    /// counted as a success or failure of the upstream.
    pub fn cancel(&mut self, request: RequestId, done: u64) {
        self.free_slot(request);
        self.fair_queue.record_progress(request, done);
        self.fair_queue.finish(request);
    }

    /// Frees the slot of a request that was not granted or was returned to its router.
    pub fn release(&mut self, request: RequestId) {
        self.free_slot(request);
        self.fair_queue.abandon(request);
    }

    /// Applies a health report of the upstream.
    pub fn observe_health(&mut self, report: &HealthReport, now: Instant) {
        self.admission.observe_health(report, now);
    }

    /// Records that the upstream refuses connections.
    pub fn mark_unreachable(&mut self, now: Instant) {
        self.admission.mark_unreachable(now);
    }

    /// Records that an upstream without health reports accepts connections.
    pub fn mark_reachable(&mut self) {
        self.admission.mark_reachable();
    }

    /// Stops accepting offers and returns the waiting ones, so that their routers can be notified.
    pub fn drain(&mut self) -> Vec<OfferedRequest> {
        self.draining = true;
        self.clear_offers()
    }

    /// Restarts the ramp from cold, after the upstream was taken out of service and put back.
    pub fn restart_ramp(&mut self, now: Instant) {
        self.admission.restart_ramp(now);
    }

    /// Removes all waiting offers and returns them.
    pub fn clear_offers(&mut self) -> Vec<OfferedRequest> {
        let dropped: Vec<OfferedRequest> = std::mem::take(&mut self.offers).into_values().collect();
        for offer in &dropped {
            self.fair_queue.withdraw(offer.ticket.id);
        }
        dropped
    }

    /// Sets the teams' shares.
    pub fn set_shares<'a>(&mut self, shares: impl IntoIterator<Item = (&'a TeamId, f64)>) {
        self.fair_queue.set_shares(shares);
    }

    /// The fair queue, for the account exchange.
    pub fn fair_queue(&self) -> &FairQueue {
        &self.fair_queue
    }

    /// Applies what the account exchange reports about other agents: their service since the last
    /// call and the teams that wait there. `staleness` is the longest delay of these reports.
    pub fn apply_exchange(
        &mut self,
        remote: &[(TeamId, u64)],
        backlogged: &IndexSet<TeamId>,
        staleness: Duration,
        now: Instant,
    ) {
        for (team, units) in remote {
            self.fair_queue.charge_remote(team, *units);
        }
        self.fair_queue.set_backlogged_elsewhere(backlogged);
        self.fair_queue.set_max_lead_time(FairLimits::default().max_lead_time.max(staleness));
        self.fair_queue.cap_lead(now);
    }

    /// Number of occupied slots.
    pub fn running(&self) -> u32 {
        u32::try_from(self.slots.len()).unwrap_or(u32::MAX)
    }

    /// Number of waiting offers.
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.offers.len()).unwrap_or(u32::MAX)
    }

    /// Number of slots that may be occupied.
    pub fn limit(&self) -> u32 {
        self.admission.limit()
    }

    /// The admission limit.
    pub fn admission(&self) -> &AdmissionLimit {
        &self.admission
    }

    /// Time at which [`Self::fill_slots`] must be called even if no event occurs.
    pub fn next_deadline(&self) -> Option<Instant> {
        let held = self.slots.iter().filter_map(|(id, slot)| match slot {
            SlotState::Held(since) => Some(*since + self.max_hold(*id)),
            SlotState::Fetching | SlotState::Started => None,
        });
        held.min()
    }

    fn max_hold(&self, request: RequestId) -> Duration {
        if self.run_alone.contains(&request) { MAX_ALONE_HOLD } else { MAX_HOLD }
    }

    /// Admits held requests as far as the limit allows, and returns those held for too long.
    fn resolve_held(&mut self, now: Instant) -> Vec<QueueAction> {
        let mut actions = Vec::new();
        let limit = self.limit() as usize;
        let mut started = self.slots.values().filter(|slot| **slot == SlotState::Started).count();
        let reachable = limit > 0;
        let alone = self.run_alone.first().copied();
        for (id, slot) in &mut self.slots {
            let SlotState::Held(since) = *slot else { continue };
            let max_hold = if self.run_alone.contains(id) { MAX_ALONE_HOLD } else { MAX_HOLD };
            let fits = alone.map_or(started < limit, |alone| alone == *id && started == 0);
            if fits && reachable {
                started += 1;
                *slot = SlotState::Started;
                actions.push(QueueAction::Admit(*id));
            } else if !reachable || now.saturating_duration_since(since) >= max_hold {
                // The slot stays occupied until the runner has returned the request.
                *slot = SlotState::Fetching;
                actions.push(QueueAction::Return(*id));
            }
        }
        actions
    }

    fn free_slot(&mut self, request: RequestId) {
        self.slots.shift_remove(&request);
        self.run_alone.shift_remove(&request);
        self.announced = false;
    }
}
