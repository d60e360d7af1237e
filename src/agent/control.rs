//! Control thread of the agent: owns the queue of offers and the slots.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Instant, SystemTime};

use indexmap::{IndexMap, IndexSet};
use tokio::runtime::Handle;
use tokio::sync::oneshot;
use tokio::time::sleep_until;

use super::AgentContext;
use super::claims::probe_store;
use super::crash::{announce_suspects, probe_upstream, publish_suspects};
use super::crash_tracker::CrashTracker;
use super::events::{AgentEvent, RunOutcome, RunReport, UpstreamHealth};
use super::exchange::AgentAccounts;
use super::orders::OrderHandler;
use super::runner::run_offer;
use crate::clock;
use crate::configuration::VersionedConfiguration;
use crate::decision::account_tree::ExchangeMember;
use crate::decision::admission::CompletionKind;
use crate::decision::agent_queue::{AgentQueue, QueueAction, QueueLimits, QueueRefusal};
use crate::decision::claim_limiter::ClaimLimiter;
use crate::decision::fair_queue::{FairLimits, FairnessPolicy};
use crate::exchange::{ExchangeControl, ExchangeEvent};
use crate::fleet::{FleetEvent, run_fleet_loop};
use crate::ids::RequestId;
use crate::lifecycle::request::{OfferedRequest, RequestTicket};
use crate::protocol::{
    AgentLoad, AgentNotice, NoticeKind, OfferBatch, OfferRefusal, OfferReply, RefusedOffer,
    RequestOffer,
};
use crate::store::StoreSignal;
use crate::supervisor::{ControlInbox, StopSignal, run_control_thread};

/// Lowest HTTP status that counts as a failure of the upstream.
const MIN_SERVER_ERROR: u16 = 500;

/// Maximum number of routers to which suspects are announced; others poll the quarantine rows.
const MAX_KNOWN_ROUTERS: usize = 512;

/// Runs the control thread until `stop` is cancelled.
pub async fn run(
    context: Arc<AgentContext>,
    inbox: ControlInbox<AgentEvent>,
    fleet_inbox: ControlInbox<FleetEvent>,
    stop: StopSignal,
) -> eyre::Result<()> {
    let traffic = Handle::current();
    run_control_thread("agent-control", move || async move {
        let fleet = Arc::clone(&context.fleet);
        let fleet_loop = run_fleet_loop(fleet, fleet_inbox, traffic.clone(), stop.clone());
        tokio::join!(control_loop(context, inbox, traffic, stop), fleet_loop);
    })
    .await
}

async fn control_loop(
    context: Arc<AgentContext>,
    inbox: ControlInbox<AgentEvent>,
    traffic: Handle,
    stop: StopSignal,
) {
    let mut receiver = inbox.acquire().await;
    let mut configuration = context.configuration.subscribe();
    let mut status = context.fleet.status.subscribe();
    let mut control = AgentControl::new(context, traffic, Instant::now());
    let current = configuration.borrow_and_update().clone();
    control.configure(current);
    let mut wake = control.next_wake(Instant::now());
    loop {
        // An event may only make the wake time earlier. If it could make it later, reports would
        // never be sent under load.
        wake = wake.min(control.next_wake(Instant::now()));
        tokio::select! {
            () = stop.cancelled() => break,
            Some(event) = receiver.recv() => control.handle(event, Instant::now()),
            Ok(()) = status.changed() => control.update_service_state(Instant::now()),
            () = sleep_until(wake.into()) => {
                let now = Instant::now();
                control.run_timers(now);
                wake = control.next_wake(now);
            }
            Ok(()) = configuration.changed() => {
                let current = configuration.borrow_and_update().clone();
                control.configure(current);
                control.update_service_state(Instant::now());
            }
        }
    }
}

struct AgentControl {
    context: Arc<AgentContext>,
    traffic: Handle,
    queue: AgentQueue,
    claim_limiter: ClaimLimiter,
    crashes: CrashTracker,
    /// Routers that have sent offers, oldest first.
    routers: IndexSet<SocketAddr>,
    orders: OrderHandler,
    /// Whether the upstream and its data centre were in service at the last update.
    was_in_service: bool,
    exchange: ExchangeControl,
    accounts: AgentAccounts,
    /// Channels to the runs that wait for admission to the upstream.
    pending_admissions: IndexMap<RequestId, oneshot::Sender<bool>>,
}

impl AgentControl {
    fn new(context: Arc<AgentContext>, traffic: Handle, now: Instant) -> Self {
        let slots = u32::try_from(context.upstream.slots).unwrap_or(u32::MAX);
        let claims_per_second = context.settings.limits.claims_per_second;
        let orders = OrderHandler::new(Arc::clone(&context), traffic.clone());
        let policy = context.settings.fairness.policy;
        let limits = QueueLimits { slots, policy, fair: FairLimits::default() };
        let own = ExchangeMember {
            node: context.settings.node.id.clone(),
            data_centre: context.settings.node.data_centre.clone(),
            address: context.peer_address,
        };
        // A restarted control thread gets a new incarnation, because its exchange counters start
        // from zero.
        let incarnation = clock::incarnation();
        let exchange = ExchangeControl::new(own, incarnation, context.reports.clone());
        Self {
            claim_limiter: ClaimLimiter::new(claims_per_second, now),
            crashes: CrashTracker::new(&context.upstream.id),
            routers: IndexSet::new(),
            context,
            traffic,
            queue: AgentQueue::new(limits, now),
            orders,
            was_in_service: true,
            exchange,
            accounts: AgentAccounts::default(),
            pending_admissions: IndexMap::new(),
        }
    }

    fn configure(&mut self, configuration: Option<Arc<VersionedConfiguration>>) {
        let Some(configuration) = configuration else { return };
        let teams = &configuration.checked.teams;
        self.queue.set_shares(teams.iter().map(|(team, entry)| (team, entry.share)));
        let service = &self.context.upstream.service;
        self.accounts = AgentAccounts::new(service, &configuration.checked);
    }

    fn next_wake(&self, now: Instant) -> Instant {
        let due = self.exchange.next_due(now);
        self.queue.next_deadline().map_or(due, |deadline| deadline.min(due))
    }

    fn run_timers(&mut self, now: Instant) {
        self.execute(now);
        if self.context.settings.fairness.policy == FairnessPolicy::Fleet {
            let service = &self.context.upstream.service;
            self.accounts.publish(service, &self.queue, &mut self.exchange);
        }
        self.exchange.send_due(now);
    }

    fn handle(&mut self, event: AgentEvent, now: Instant) {
        match event {
            AgentEvent::OffersReceived { batch, reply } => {
                let answer = self.accept_offers(batch, now);
                // Fails only if the router's call has ended; it then treats the offers as failed.
                let _ = reply.send(answer);
            }
            AgentEvent::OffersWithdrawn(requests) => {
                for request in requests {
                    self.queue.withdraw(request);
                }
            }
            AgentEvent::ConnectionLost { fingerprint, reply } => {
                if self.crashes.record_broken_run(fingerprint, reply) {
                    self.traffic.spawn(probe_upstream(Arc::clone(&self.context)));
                }
            }
            AgentEvent::UpstreamProbed(health) => self.handle_probe(&health),
            AgentEvent::SuspectCleared { fingerprint, record } => {
                let routers: Vec<SocketAddr> = self.routers.iter().copied().collect();
                let context = Arc::clone(&self.context);
                self.traffic.spawn(async move {
                    announce_suspects(&context, &[(fingerprint, record)], &routers).await;
                });
            }
            AgentEvent::ClaimRequested { reply } => {
                let _ = reply.send(self.claim_limiter.admit(now));
            }
            AgentEvent::StoreObserved(signal) => match signal {
                StoreSignal::Answered => self.claim_limiter.record_store_answer(),
                StoreSignal::Failed => {
                    if self.claim_limiter.record_store_failure() {
                        self.traffic.spawn(probe_store(Arc::clone(&self.context)));
                    }
                }
                StoreSignal::Throttled => self.claim_limiter.record_throttling(now),
            },
            AgentEvent::OrderReceived { message, reply } => {
                // Fails only if the lease holder's call has ended; it then repeats the order.
                let _ = reply.send(self.orders.accept(message));
            }
            AgentEvent::FencingRead(highest) => self.orders.update_fence(highest),
            AgentEvent::WeightsLoaded { fencing, version } => {
                self.orders.handle_loaded(fencing, version)
            }
            AgentEvent::OrderEnded { version, done } => self.orders.handle_end(&version, done),
            AgentEvent::RequestPrepared { request, health, admit } => {
                self.observe_health(&health, now);
                self.pending_admissions.insert(request, admit);
                self.queue.hold(request, now);
            }
            AgentEvent::HealthObserved(health) => self.observe_health(&health, now),
            AgentEvent::ProgressReported { request, done } => {
                self.queue.record_progress(request, done)
            }
            AgentEvent::RunEnded(report) => self.end_run(&report, now),
            AgentEvent::Exchange(event) => self.handle_exchange(event, now),
            AgentEvent::Drain => self.drain(),
        }
        self.execute(now);
    }

    fn execute(&mut self, now: Instant) {
        for action in self.queue.fill_slots(now) {
            match action {
                QueueAction::Fetch(offer) => {
                    self.traffic.spawn(run_offer(Arc::clone(&self.context), offer));
                }
                QueueAction::Admit(request) => self.reply_admission(request, true),
                QueueAction::Return(request) => self.reply_admission(request, false),
                QueueAction::AnnounceFreeSlot(routers) => self.announce(NoticeKind::Free, routers),
            }
        }
    }

    fn reply_admission(&mut self, request: RequestId, admitted: bool) {
        if let Some(admit) = self.pending_admissions.swap_remove(&request) {
            // Fails only if the run was dropped in the meantime; its report frees the slot.
            let _ = admit.send(admitted);
        }
    }

    fn observe_health(&mut self, health: &UpstreamHealth, now: Instant) {
        match health {
            UpstreamHealth::Reported(report) => {
                self.crashes.record_boot(&report.boot, SystemTime::now());
                self.queue.observe_health(report, now);
            }
            UpstreamHealth::Responding => self.queue.mark_reachable(),
            UpstreamHealth::ConnectionRefused => self.queue.mark_unreachable(now),
            UpstreamHealth::Unknown => {}
        }
    }

    fn end_run(&mut self, report: &RunReport, now: Instant) {
        let RunReport { request, done, ran_for, outcome } = *report;
        self.pending_admissions.swap_remove(&request);
        match outcome {
            RunOutcome::NotGranted => self.queue.release(request),
            RunOutcome::Cancelled => self.queue.cancel(request, done),
            RunOutcome::Answered(status) if status >= MIN_SERVER_ERROR => {
                self.queue.finish(request, done, CompletionKind::Error, now);
            }
            RunOutcome::Answered(_) => {
                let kind = CompletionKind::Success { ran_for, units: done };
                self.queue.finish(request, done, kind, now);
            }
            RunOutcome::Failed => self.queue.finish(request, done, CompletionKind::Lost, now),
        }
    }

    fn handle_exchange(&mut self, event: ExchangeEvent, now: Instant) {
        self.exchange.handle(event, now);
        if self.context.settings.fairness.policy == FairnessPolicy::Fleet {
            self.accounts.apply_remote(&mut self.exchange, &mut self.queue, now);
        }
    }

    fn handle_probe(&mut self, health: &UpstreamHealth) {
        let (records, waiting) = self.crashes.handle_probe(health, SystemTime::now());
        let routers = self.routers.iter().copied().collect();
        let context = Arc::clone(&self.context);
        self.traffic.spawn(publish_suspects(context, records, routers, waiting));
    }

    fn accept_offers(&mut self, batch: OfferBatch, now: Instant) -> OfferReply {
        if self.routers.len() >= MAX_KNOWN_ROUTERS {
            self.routers.shift_remove_index(0);
        }
        self.routers.insert(batch.router);
        let mut refused = Vec::new();
        for offer in batch.offers {
            let request = offer.request;
            if let Err(reason) = self.check_offer(&offer) {
                refused.push(RefusedOffer { request, reason });
                continue;
            }
            let ticket = RequestTicket::from(offer);
            let offered = OfferedRequest { ticket, router: batch.router, offered_at: now };
            if let Err(reason) = self.queue.offer(offered) {
                refused.push(RefusedOffer { request, reason: reason.into() });
            }
        }
        OfferReply { refused, load: self.load() }
    }

    fn check_offer(&self, offer: &RequestOffer) -> Result<(), OfferRefusal> {
        let upstream = &self.context.upstream;
        let loaded = self.context.fleet.labels.borrow().version.clone();
        let wrong_version =
            offer.version.as_ref().is_some_and(|version| Some(version) != loaded.as_ref());
        if offer.service != upstream.service || wrong_version {
            return Err(OfferRefusal::WrongService);
        }
        if self.takes_work() { Ok(()) } else { Err(OfferRefusal::OutOfService) }
    }

    /// Returns whether the upstream and its data centre are in service and the agent is not cut off
    /// from the fleet.
    fn takes_work(&self) -> bool {
        self.is_in_service() && self.context.fleet.takes_work()
    }

    fn is_in_service(&self) -> bool {
        let configuration = self.context.configuration.borrow();
        configuration.as_ref().is_some_and(|configuration| {
            let centre = &self.context.settings.node.data_centre;
            configuration.checked.takes_work(&self.context.upstream.id, centre)
        })
    }

    /// Drops waiting offers once the agent may not take new work; running requests continue. An
    /// upstream that returns to service has cold caches, so its load is ramped up again.
    fn update_service_state(&mut self, now: Instant) {
        let is_in_service = self.is_in_service();
        if is_in_service && !self.was_in_service {
            self.queue.restart_ramp(now);
        }
        self.was_in_service = is_in_service;
        if !self.takes_work() {
            let dropped = self.queue.clear_offers();
            self.announce_leaving(&dropped);
        }
    }

    fn load(&self) -> AgentLoad {
        AgentLoad {
            running: self.queue.running(),
            limit: self.queue.limit(),
            waiting: self.queue.waiting(),
            incarnation: self.context.incarnation,
            boot: self.queue.admission().boot().cloned(),
        }
    }

    fn drain(&mut self) {
        let dropped = self.queue.drain();
        self.announce_leaving(&dropped);
    }

    fn announce_leaving(&self, dropped: &[OfferedRequest]) {
        let routers: IndexSet<SocketAddr> = dropped.iter().map(|offer| offer.router).collect();
        self.announce(NoticeKind::Leaving, routers);
    }

    fn announce(&self, kind: NoticeKind, routers: impl IntoIterator<Item = SocketAddr>) {
        let agent = self.context.upstream.id.clone();
        let notice = AgentNotice { agent, load: self.load(), kind };
        for router in routers {
            let (context, notice) = (Arc::clone(&self.context), notice.clone());
            self.traffic.spawn(async move {
                // A router that misses the notice gets the load with the next reply to an offer.
                if let Err(error) = context.peers.call(router, &notice).await {
                    log::debug!(router:% = router; "notice was not delivered: {error}");
                }
            });
        }
    }
}

impl From<QueueRefusal> for OfferRefusal {
    fn from(refusal: QueueRefusal) -> Self {
        match refusal {
            QueueRefusal::Full => Self::QueueFull,
            QueueRefusal::Draining => Self::Draining,
        }
    }
}

impl From<RequestOffer> for RequestTicket {
    fn from(offer: RequestOffer) -> Self {
        Self {
            id: offer.request,
            team: offer.team,
            service: offer.service,
            route: offer.route,
            version: offer.version,
            repeatable: offer.repeatable,
            cost_hint: offer.cost_hint,
            prefix_hash: offer.prefix_hash,
            run_alone: offer.run_alone,
            fingerprint: offer.fingerprint,
        }
    }
}
