//! Control thread of the gateway, which owns the view, the dispatcher, the members and the version
//! moves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

use super::adapter::{MemberEntry, MoveRecord};
use super::decision_log::{log_notice, log_stage, log_verdict};
use super::events::{ControlEvent, ControlOutbox, OutgoingReport};
use super::follow::CheckSignals;
use super::observe::GatewayMetrics;
use super::settings::GatewaySettings;
use super::view_log::{ChangeContext, ViewOrigin, log_change};
use super::work_log::WorkLog;
use crate::decision::direct::{
    CallDecision, CallOutcome, DirectDispatcher, HandoffOffer, PeerReport, ReceivedLoad,
    TrialStage, ViewFreshness,
};
use crate::ids::{CallId, GrantId, Incarnation, NodeId, StoreRevision};
use crate::routing::{FleetView, MoveOrder, RouteTable, ViewChange, ViewPart};
use crate::supervisor::{ControlInbox, StopSignal};

/// Minimum time between two reports to peers.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of reports that a router sends, and so receives, per second; in larger fleets the
/// interval grows.
const MAX_REPORTS_PER_SECOND: u32 = 220;

/// Age at which a member's entry no longer counts.
const MEMBER_TTL: Duration = Duration::from_secs(20);

/// Maximum number of events that are handled before the next dispatch.
const EVENT_BATCH: usize = 64;

/// Smallest rate that is offered to other routers, in calls per second.
const MIN_OFFERED_RATE: f64 = 20.0;

/// Time for which a peer's view must be ahead before it is fetched.
const MAX_BEHIND_TIME: Duration = Duration::from_millis(250);

/// Current route table for the traffic tasks; `None` until a configuration is known.
pub type TableWatch = watch::Receiver<Option<Arc<RouteTable>>>;

/// Settings and channels of the control thread.
#[derive(Clone)]
pub struct ControlContext {
    /// Settings of the process.
    pub settings: Arc<GatewaySettings>,
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Queue of events.
    pub inbox: ControlInbox<ControlEvent>,
    /// Channels to the tasks that do I/O for the control thread.
    pub outbox: ControlOutbox,
    /// Requests to the followers to ask the source at once.
    pub checks: Arc<CheckSignals>,
    /// Channel on which route tables are published.
    pub table: Arc<watch::Sender<Option<Arc<RouteTable>>>>,
    /// Channel on which the offers of other routers are published.
    pub offers: Arc<watch::Sender<Vec<HandoffOffer>>>,
    /// Metrics of the gateway.
    pub metrics: Arc<GatewayMetrics>,
}

/// Runs the control loop until `stop` is cancelled.
pub async fn run_control(context: ControlContext, stop: StopSignal) {
    let mut inbox = context.inbox.acquire().await;
    let mut state = ControlState::new(context.clone());
    let mut report_tick = tokio::time::interval(REPORT_INTERVAL);
    report_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let deadline = state.dispatcher.next_deadline();
        tokio::select! {
            () = stop.cancelled() => return,
            event = inbox.recv() => {
                let Some(event) = event else { return };
                state.handle_event(event);
                for _ in 1..EVENT_BATCH {
                    let Ok(event) = inbox.try_recv() else { break };
                    state.handle_event(event);
                }
            }
            _ = report_tick.tick() => state.tick(),
            () = wait_until(deadline) => {}
        }
        state.dispatch();
    }
}

async fn wait_until(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline.into()).await,
        None => std::future::pending().await,
    }
}

struct ControlState {
    context: ControlContext,
    view: FleetView,
    freshness: ViewFreshness,
    dispatcher: DirectDispatcher,
    replies: IndexMap<CallId, oneshot::Sender<CallDecision>>,
    members: IndexMap<NodeId, MemberEntry>,
    sequence: u64,
    last_report: Option<Instant>,
    work_log: WorkLog,
    behind_since: Option<Instant>,
    leaving: bool,
    spare_rate: f64,
}

impl ControlState {
    fn new(context: ControlContext) -> Self {
        let settings = &context.settings;
        let dispatcher = DirectDispatcher::new(
            Arc::clone(&settings.node),
            Arc::clone(&settings.data_centre),
            settings.regions.clone(),
            settings.bounds,
        );
        Self {
            context,
            view: FleetView::default(),
            freshness: ViewFreshness::default(),
            dispatcher,
            replies: IndexMap::new(),
            members: IndexMap::new(),
            sequence: 0,
            last_report: None,
            work_log: WorkLog::default(),
            behind_since: None,
            leaving: false,
            spare_rate: 0.0,
        }
    }

    fn handle_event(&mut self, event: ControlEvent) {
        let now = Instant::now();
        match event {
            ControlEvent::Place { call, reply } => {
                self.replies.insert(call.id, reply);
                self.dispatcher.enqueue(*call, now);
            }
            ControlEvent::Cancel(id) => {
                self.replies.swap_remove(&id);
                self.dispatcher.cancel(id, now);
            }
            ControlEvent::FirstEvent { grant, waited, own_delay, stated } => {
                self.record_stated_load(grant, stated);
                self.dispatcher.record_first_event(grant, waited, own_delay, now);
            }
            ControlEvent::Notice { grant, call, notice, status } => {
                if let Some(noticed) = self.dispatcher.record_notice(grant, notice, now) {
                    self.context.metrics.count_notice(notice);
                    log_notice(&noticed, notice, call, status);
                }
            }
            ControlEvent::Ended { grant, outcome, late, writes, stated } => {
                self.record_stated_load(grant, stated);
                if matches!(outcome, CallOutcome::Completed | CallOutcome::Abandoned) {
                    let is_complete = outcome == CallOutcome::Completed;
                    self.dispatcher.record_stream(grant, writes, is_complete, now);
                }
                if let Some(upstream) = self.dispatcher.record_end(grant, outcome, late, now) {
                    log::warn!(
                        upstream = &*upstream, outcome:% = outcome;
                        "upstream backs off after failures"
                    );
                }
            }
            ControlEvent::Shed(shed) => self.dispatcher.work_mut().record_shed(&shed),
            ControlEvent::SpareRate(rate) => self.spare_rate = rate,
            ControlEvent::View { batch, origin, confirmed_at } => {
                let (part, revision) = (batch.part, batch.revision);
                let context = self.change_context(origin, part, now);
                let changes = self.view.apply(batch);
                self.apply_changes(changes, context, now);
                self.confirm(part, revision, confirmed_at);
            }
            ControlEvent::Unchanged { part, revision, confirmed_at } => {
                self.confirm(part, revision, confirmed_at);
            }
            ControlEvent::SourceRecovered => self.dispatcher.record_store_recovery(now),
            ControlEvent::Import(snapshot) => {
                let context = self.change_context(ViewOrigin::Peer, ViewPart::Operators, now);
                let changes = self.view.import(snapshot);
                self.apply_changes(changes, context, now);
            }
            ControlEvent::Export(reply) => {
                // The receiver is gone when the requesting router gave up.
                let _ = reply.send(self.view.export());
            }
            ControlEvent::Report(report) => self.dispatcher.record_report(*report, now),
            ControlEvent::Members(members) => self.update_members(members),
            ControlEvent::MoveRecorded(record) => {
                let MoveRecord { service, order, stage, .. } = record;
                let step = self.dispatcher.apply_move_record(&service, order, stage, now);
                step.iter().for_each(log_stage);
            }
            ControlEvent::ShuttingDown => self.leaving = true,
        }
    }

    fn record_stated_load(&mut self, grant: GrantId, stated: Option<ReceivedLoad>) {
        if let Some(received) = stated {
            self.dispatcher.record_stated_load(grant, received);
        }
    }

    /// Records that a revision of a part was current, unless a newer one is known.
    fn confirm(&mut self, part: ViewPart, revision: StoreRevision, confirmed_at: Instant) {
        if revision >= self.view.revision(part) {
            self.freshness.confirm(part, confirmed_at);
        }
    }

    fn change_context(&self, origin: ViewOrigin, part: ViewPart, now: Instant) -> ChangeContext {
        ChangeContext {
            origin,
            previous: self.view.configuration().map(|configuration| configuration.version),
            unconfirmed: self.freshness.age(part, now),
        }
    }

    fn apply_changes(&mut self, changes: Vec<ViewChange>, context: ChangeContext, now: Instant) {
        for change in changes {
            self.dispatcher.apply(&change, now);
            log_change(&change, &self.view, context);
            if let ViewChange::Configuration(configuration) = &change {
                self.context.table.send_replace(Some(Arc::new(RouteTable::from(&**configuration))));
                self.context
                    .metrics
                    .configuration
                    .set(i64::try_from(configuration.version).unwrap_or(0));
            }
        }
    }

    fn update_members(&mut self, members: Vec<MemberEntry>) {
        let own = Arc::clone(&self.context.settings.node);
        let alive: IndexMap<NodeId, MemberEntry> = members
            .into_iter()
            .filter(|member| member.age < MEMBER_TTL)
            .map(|member| (Arc::clone(&member.node), member))
            .collect();
        for node in alive.keys().filter(|node| !self.members.contains_key(*node)) {
            log::info!(peer = &**node; "router joined");
        }
        for node in self.members.keys().filter(|node| !alive.contains_key(*node)) {
            log::info!(peer = &**node; "router left");
        }
        let others = alive.keys().filter(|node| **node != own).count();
        self.members = alive;
        self.dispatcher.set_members(u32::try_from(others).unwrap_or(u32::MAX).saturating_add(1));
    }

    fn tick(&mut self) {
        let now = Instant::now();
        self.dispatcher.remove_expired(now);
        for verdict in self.dispatcher.refresh_from_peers(now) {
            log_verdict(verdict);
        }
        self.evaluate_moves(now);
        self.fetch_newer_view(now);
        self.request_checks(now);
        self.send_report(now);
        self.publish_offers(now);
        let metrics = &self.context.metrics;
        self.work_log.update(&mut self.dispatcher, metrics, &self.context.settings, now);
        metrics.waiting.set(i64::try_from(self.dispatcher.waiting()).unwrap_or(i64::MAX));
        metrics.granted.set(i64::try_from(self.dispatcher.granted()).unwrap_or(i64::MAX));
        for part in ViewPart::ALL {
            metrics.record_view_age(part, self.freshness.age(part, now));
        }
        for upstream in self.dispatcher.take_resumed() {
            log::info!(upstream = &*upstream; "pause of an upstream ended");
        }
        let left_out = self.dispatcher.left_out(now);
        metrics.left_out.set(i64::try_from(left_out).unwrap_or(i64::MAX));
        let slowed = self.dispatcher.slowed(now);
        metrics.slowed.set(i64::try_from(slowed).unwrap_or(i64::MAX));
        let refused_parts = self.dispatcher.refused_parts();
        metrics.refused_parts.set(i64::try_from(refused_parts).unwrap_or(i64::MAX));
        metrics.routers.set(i64::from(self.dispatcher.peers().router_count(now)));
    }

    /// Fetches the view of a peer that has been ahead for a while, in case this router cannot reach
    /// the store.
    fn fetch_newer_view(&mut self, now: Instant) {
        let operators = self.view.usable_revision(ViewPart::Operators);
        let upstreams = self.view.usable_revision(ViewPart::Upstreams);
        let peer = self.dispatcher.peers().find_ahead(operators, upstreams, now);
        let Some((peer, address)) = peer else {
            self.behind_since = None;
            return;
        };
        let since = *self.behind_since.get_or_insert(now);
        if now.duration_since(since) < MAX_BEHIND_TIME {
            return;
        }
        self.behind_since = Some(now);
        log::info!(peer = &**peer, operators, upstreams; "fetching a newer view from a peer");
        if self.context.outbox.fetches.try_send(address).is_err() {
            log::debug!("a view is being fetched already");
        }
    }

    /// Has the followers ask the source for parts that neither it nor a peer has confirmed lately.
    fn request_checks(&mut self, now: Instant) {
        let peers = self.dispatcher.peers();
        for part in ViewPart::ALL {
            if let Some(at) = peers.confirmed_at(part, self.view.revision(part), now) {
                self.freshness.confirm(part, at);
            }
        }
        let position = peers.count_before(&self.context.settings.node, now);
        for part in self.freshness.take_due_checks(position, now) {
            self.context.checks.of(part).notify_one();
        }
    }

    fn send_report(&mut self, now: Instant) {
        // A router that joined during an outage of the store is known by its reports only.
        let store_addresses = self.members.values().map(|member| member.address);
        let report_addresses = self.dispatcher.peers().addresses(now);
        let addresses: IndexSet<SocketAddr> = store_addresses
            .chain(report_addresses)
            .filter(|address| *address != self.context.settings.peer)
            .collect();
        let peers = u32::try_from(addresses.len()).unwrap_or(u32::MAX);
        let interval = REPORT_INTERVAL.max(Duration::from_secs(1) * peers / MAX_REPORTS_PER_SECOND);
        let due = self.last_report.is_none_or(|last| now.duration_since(last) >= interval);
        if !due || addresses.is_empty() {
            return;
        }
        self.last_report = Some(now);
        self.sequence += 1;
        let settings = &self.context.settings;
        let node = Arc::clone(&settings.node);
        let incarnation = self.context.incarnation;
        let mut report = PeerReport {
            operators: self.view.usable_revision(ViewPart::Operators),
            upstreams: self.view.usable_revision(ViewPart::Upstreams),
            leaving: self.leaving,
            offer: self.offer(),
            view_ages: ViewPart::ALL
                .into_iter()
                .filter_map(|part| Some((part, self.freshness.age(part, now)?)))
                .collect(),
            ..PeerReport::new(node, settings.peer, incarnation, self.sequence)
        };
        self.dispatcher.fill_report(&mut report, now);
        let addresses = addresses.into_iter().collect();
        if let Err(TrySendError::Full(_)) =
            self.context.outbox.reports.try_send(OutgoingReport { report, addresses })
        {
            self.context.metrics.reports_dropped.inc();
        }
    }

    /// Returns what this router would serve for the callers of other routers.
    fn offer(&self) -> Option<HandoffOffer> {
        let settings = &self.context.settings;
        let address = settings.handoff?;
        let is_serving = !self.leaving && self.view.configuration().is_some();
        (is_serving && self.spare_rate >= MIN_OFFERED_RATE).then(|| HandoffOffer {
            address,
            data_centre: Arc::clone(&settings.data_centre),
            spare_rate: self.spare_rate,
        })
    }

    fn publish_offers(&self, now: Instant) {
        let operators = self.view.revision(ViewPart::Operators);
        let offers = self.dispatcher.peers().offers(operators, now);
        self.context.offers.send_replace(offers);
    }

    fn evaluate_moves(&mut self, now: Instant) {
        for step in self.dispatcher.evaluate_moves(now) {
            log_stage(&step);
            if let Some(stage) = step.request {
                self.request_record(&step.order, stage);
            }
        }
    }

    /// Requests a record from the store. With a full queue the request is dropped; the move
    /// requests it again.
    fn request_record(&self, order: &MoveOrder, stage: TrialStage) {
        let record = MoveRecord {
            service: Arc::clone(&order.service),
            target: Arc::clone(&order.target),
            order: order.revision,
            stage,
        };
        if self.context.outbox.moves.try_send(record).is_err() {
            log::warn!(
                service = &*order.service, stage:% = stage;
                "the queue of move records is full; the record is requested again"
            );
        }
    }

    fn dispatch(&mut self) {
        for (call, decision) in self.dispatcher.dispatch(Instant::now()) {
            let Some(reply) = self.replies.swap_remove(&call) else {
                self.return_grant(decision);
                continue;
            };
            if let Err(decision) = reply.send(decision) {
                self.return_grant(decision);
            }
        }
    }

    /// Ends the grant of a caller that left while the decision was on its way.
    fn return_grant(&mut self, decision: CallDecision) {
        if let CallDecision::Send(grant) = decision {
            self.dispatcher.record_end(grant.id, CallOutcome::Unsent, false, Instant::now());
        }
    }
}

/// Creates the channels from the control thread to the tasks that do I/O for it.
pub fn control_channels() -> (ControlOutbox, OutboxReceivers) {
    const CAPACITY: usize = 8;
    let (reports, reports_receiver) = mpsc::channel(CAPACITY);
    let (fetches, fetches_receiver) = mpsc::channel(1);
    let (moves, moves_receiver) = mpsc::channel(CAPACITY);
    let receivers = OutboxReceivers {
        reports: reports_receiver,
        fetches: fetches_receiver,
        moves: moves_receiver,
    };
    (ControlOutbox { reports, fetches, moves }, receivers)
}

/// Receiving ends of a [`ControlOutbox`].
#[derive(Debug)]
pub struct OutboxReceivers {
    /// Reports for the other routers.
    pub reports: mpsc::Receiver<OutgoingReport>,
    /// Routers to fetch the view from.
    pub fetches: mpsc::Receiver<SocketAddr>,
    /// Records of version moves to write.
    pub moves: mpsc::Receiver<MoveRecord>,
}
