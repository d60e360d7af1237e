//! The agent's rule: which offered request takes the next free slot.
//!
//! It joins the fair queue, which decides about the order, and the admission limit, which decides
//! about the number of slots.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::admission::{AdmissionLimit, CompletionKind, HealthReport};
use super::fair_queue::{FairLimits, FairQueue, FairRefusal, FairnessPolicy, TeamOffer};
use crate::ids::{RequestId, TeamId};
use crate::lifecycle::request::OfferedRequest;

/// Routers that are told about a free slot. The routers that offered last are the likeliest to
/// have more; a waiting request of any other reaches every agent within 100 ms anyway.
const ANNOUNCED_ROUTERS: usize = 4;

/// Time for which a fetched request is held back by a fallen limit before it is given back.
const HOLD_LIMIT: Duration = Duration::from_secs(1);

/// The same for a request that must run alone and waits for the others to end.
const ALONE_HOLD_LIMIT: Duration = Duration::from_secs(30);

/// Bounds of the agent's queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueLimits {
    /// Most requests that run at once.
    pub slots: u32,
    /// Order of the offers.
    pub policy: FairnessPolicy,
    /// Bounds of the fair queue.
    pub fair: FairLimits,
}

/// What the agent must do after an event.
#[derive(Clone, Debug)]
pub enum QueueAction {
    /// Fetch the request from its router.
    Fetch(OfferedRequest),
    /// Hand a fetched request to the upstream.
    Admit(RequestId),
    /// Give a fetched request back: the upstream does not bear it now.
    GiveBack(RequestId),
    /// Tell these routers that a slot is free and no offer waits.
    AnnounceFree(Vec<SocketAddr>),
}

/// Why an offer is not taken.
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

/// What a slot is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SlotUse {
    /// The request is being fetched from its router.
    Fetching,
    /// The request is fetched and waits for the limit.
    Held(Instant),
    /// The upstream has the request.
    Started,
}

/// Waiting offers and occupied slots of one agent.
#[derive(Debug)]
pub struct AgentQueue {
    fair: FairQueue,
    admission: AdmissionLimit,
    offers: IndexMap<RequestId, OfferedRequest>,
    slots: IndexMap<RequestId, SlotUse>,
    /// Requests with a slot that must be the only one at the upstream, in their order.
    alone: IndexSet<RequestId>,
    /// Routers that offered, the latest last.
    routers: IndexSet<SocketAddr>,
    announced: bool,
    draining: bool,
}

impl AgentQueue {
    /// Creates an empty queue before a cold upstream.
    pub fn new(limits: QueueLimits, now: Instant) -> Self {
        Self {
            fair: FairQueue::new(limits.policy, limits.fair),
            admission: AdmissionLimit::new(limits.slots, now),
            offers: IndexMap::new(),
            slots: IndexMap::new(),
            alone: IndexSet::new(),
            routers: IndexSet::new(),
            announced: false,
            draining: false,
        }
    }

    /// Takes an offer. An offer that is known already changes nothing.
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
        self.fair.offer(TeamOffer {
            request: id,
            team: offer.ticket.team.clone(),
            router: offer.router,
            cost_hint: offer.ticket.cost_hint,
        })?;
        self.offers.insert(id, offer);
        self.announced = false;
        Ok(())
    }

    /// Forgets an offer that its router took back.
    pub fn withdraw(&mut self, request: RequestId) {
        self.fair.withdraw(request);
        self.offers.swap_remove(&request);
    }

    /// Fills the free slots and reports what else is due. No request is fetched behind one that
    /// must run alone, else that one would never start.
    pub fn start_ready(&mut self, now: Instant) -> Vec<QueueAction> {
        let mut actions = self.settle_held(now);
        while self.running() < self.limit() && self.alone.is_empty() {
            let Some(id) = self.fair.take() else { break };
            let Some(offer) = self.offers.swap_remove(&id) else { continue };
            if offer.ticket.run_alone {
                self.alone.insert(id);
            }
            self.slots.insert(id, SlotUse::Fetching);
            actions.push(QueueAction::Fetch(offer));
        }
        let is_free = self.running() < self.limit() && self.offers.is_empty();
        if is_free && !self.announced && !self.draining && !self.routers.is_empty() {
            self.announced = true;
            let routers = self.routers.iter().rev().take(ANNOUNCED_ROUTERS).copied().collect();
            actions.push(QueueAction::AnnounceFree(routers));
        }
        actions
    }

    /// A fetched request is ready for the upstream; [`QueueAction::Admit`] or
    /// [`QueueAction::GiveBack`] follows.
    pub fn prepare(&mut self, request: RequestId, now: Instant) {
        if let Some(slot) = self.slots.get_mut(&request) {
            *slot = SlotUse::Held(now);
        }
    }

    /// Records the units of service that a request got so far.
    pub fn progress(&mut self, request: RequestId, done: u64) {
        self.fair.record_progress(request, done);
    }

    /// Frees the slot of a request that the upstream ran or failed to run.
    pub fn finish(&mut self, request: RequestId, done: u64, kind: CompletionKind, now: Instant) {
        self.free(request);
        self.fair.record_progress(request, done);
        self.fair.finish(request);
        self.admission.observe_completion(kind, now);
    }

    /// Frees the slot of a request whose run was cancelled: its work counts, but says nothing
    /// about the upstream.
    pub fn cancel(&mut self, request: RequestId, done: u64) {
        self.free(request);
        self.fair.record_progress(request, done);
        self.fair.finish(request);
    }

    /// Frees the slot of a request that was not granted or was given back.
    pub fn release(&mut self, request: RequestId) {
        self.free(request);
        self.fair.abandon(request);
    }

    /// Takes the upstream's report on itself.
    pub fn observe_health(&mut self, report: &HealthReport, now: Instant) {
        self.admission.observe_health(report, now);
    }

    /// Records that the upstream refuses connections.
    pub fn observe_silence(&mut self, now: Instant) {
        self.admission.observe_silence(now);
    }

    /// Records that an upstream without health reports answers.
    pub fn observe_presence(&mut self) {
        self.admission.observe_presence();
    }

    /// Takes no more offers and returns those that wait, so that their routers can be told.
    pub fn drain(&mut self) -> Vec<OfferedRequest> {
        self.draining = true;
        self.drop_waiting()
    }

    /// Ramps up again from cold after the upstream was taken out and brought back.
    pub fn ramp_again(&mut self, now: Instant) {
        self.admission.ramp_again(now);
    }

    /// Gives up the offers that wait.
    pub fn drop_waiting(&mut self) -> Vec<OfferedRequest> {
        let dropped: Vec<OfferedRequest> = std::mem::take(&mut self.offers).into_values().collect();
        for offer in &dropped {
            self.fair.withdraw(offer.ticket.id);
        }
        dropped
    }

    /// Sets the shares in force.
    pub fn set_shares<'a>(&mut self, shares: impl IntoIterator<Item = (&'a TeamId, f64)>) {
        self.fair.set_shares(shares);
    }

    /// The fair queue, for the account exchange.
    pub fn fair(&self) -> &FairQueue {
        &self.fair
    }

    /// Takes service and waiting teams of other agents from the account exchange.
    pub fn exchange(
        &mut self,
        remote: &[(TeamId, u64)],
        backlogged: &IndexSet<TeamId>,
        staleness: Duration,
        now: Instant,
    ) {
        for (team, units) in remote {
            self.fair.charge_remote(team, *units);
        }
        self.fair.set_backlogged_elsewhere(backlogged);
        self.fair.set_max_lead_time(FairLimits::default().max_lead_time.max(staleness));
        self.fair.cap_lead(now);
    }

    /// Requests that hold a slot.
    pub fn running(&self) -> u32 {
        u32::try_from(self.slots.len()).unwrap_or(u32::MAX)
    }

    /// Offers that wait.
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.offers.len()).unwrap_or(u32::MAX)
    }

    /// Slots that may be occupied.
    pub fn limit(&self) -> u32 {
        self.admission.limit()
    }

    /// The admission limit.
    pub fn admission(&self) -> &AdmissionLimit {
        &self.admission
    }

    /// Time at which [`Self::start_ready`] must be called again without an event.
    pub fn next_wake(&self) -> Option<Instant> {
        let held = self.slots.iter().filter_map(|(id, slot)| match slot {
            SlotUse::Held(since) => Some(*since + self.hold_limit(*id)),
            SlotUse::Fetching | SlotUse::Started => None,
        });
        held.min()
    }

    fn hold_limit(&self, request: RequestId) -> Duration {
        if self.alone.contains(&request) { ALONE_HOLD_LIMIT } else { HOLD_LIMIT }
    }

    /// Admits held requests as far as the limit allows and gives back those held too long.
    fn settle_held(&mut self, now: Instant) -> Vec<QueueAction> {
        let mut actions = Vec::new();
        let limit = self.limit() as usize;
        let mut started = self.slots.values().filter(|slot| **slot == SlotUse::Started).count();
        let reachable = limit > 0;
        let alone = self.alone.first().copied();
        for (id, slot) in &mut self.slots {
            let SlotUse::Held(since) = *slot else { continue };
            let hold_limit = if self.alone.contains(id) { ALONE_HOLD_LIMIT } else { HOLD_LIMIT };
            let fits = alone.map_or(started < limit, |alone| alone == *id && started == 0);
            if fits && reachable {
                started += 1;
                *slot = SlotUse::Started;
                actions.push(QueueAction::Admit(*id));
            } else if !reachable || now.saturating_duration_since(since) >= hold_limit {
                // The slot stays in use until the runner has given the request back.
                *slot = SlotUse::Fetching;
                actions.push(QueueAction::GiveBack(*id));
            }
        }
        actions
    }

    fn free(&mut self, request: RequestId) {
        self.slots.shift_remove(&request);
        self.alone.shift_remove(&request);
        self.announced = false;
    }
}
