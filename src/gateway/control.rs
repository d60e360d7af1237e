//! The thread that owns the gateway's control state: view, dispatcher, members, version moves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::MissedTickBehavior;

use super::edge::{MemberEntry, MoveRecord};
use super::events::{ControlEvent, ControlOutbox, PeerMail};
use super::observe::GatewayMetrics;
use super::settings::GatewaySettings;
use crate::decision::direct::{
    CallOutcome, CallVerdict, DirectDispatcher, MoveVerdict, PeerReport, TrialStage, trial_counts,
};
use crate::ids::{CallId, Incarnation, NodeId};
use crate::routing::{FleetView, RouteTable, ViewChange, ViewPart};
use crate::supervisor::{ControlInbox, StopSignal};

/// Shortest time between two reports to peers.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Reports that a router sends and receives in a second at most; larger fleets report less often.
const REPORTS_PER_SECOND: u32 = 220;

/// Age after which a member that has shown no sign of life no longer counts.
const MEMBER_LIFETIME: Duration = Duration::from_secs(20);

/// Events that are taken in before the waiting calls are looked at again.
const EVENT_BATCH: usize = 64;

/// Time for which a better informed peer may be ahead before its view is fetched.
const BEHIND_TIME: Duration = Duration::from_millis(250);

/// Snapshot of routes and keys that traffic reads; `None` until a configuration is known.
pub type TableWatch = watch::Receiver<Option<Arc<RouteTable>>>;

/// What a run of the control thread needs.
#[derive(Clone)]
pub struct ControlParts {
    /// Settings of the process.
    pub settings: Arc<GatewaySettings>,
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Events.
    pub inbox: ControlInbox<ControlEvent>,
    /// Work for other parts.
    pub outbox: ControlOutbox,
    /// Where route tables are published.
    pub table: Arc<watch::Sender<Option<Arc<RouteTable>>>>,
    /// Counters.
    pub metrics: Arc<GatewayMetrics>,
}

/// Owns the state until `stop` is cancelled.
pub async fn run_control(parts: ControlParts, stop: StopSignal) {
    let mut inbox = parts.inbox.acquire().await;
    let mut state = ControlState::new(parts.clone());
    let mut report_tick = tokio::time::interval(REPORT_INTERVAL);
    report_tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let wake = state.dispatcher.next_wake();
        tokio::select! {
            () = stop.cancelled() => return,
            event = inbox.recv() => {
                let Some(event) = event else { return };
                state.handle(event);
                for _ in 1..EVENT_BATCH {
                    let Ok(event) = inbox.try_recv() else { break };
                    state.handle(event);
                }
            }
            _ = report_tick.tick() => state.tick(),
            () = wait_until(wake) => {}
        }
        state.dispatch();
    }
}

async fn wait_until(wake: Option<Instant>) {
    match wake {
        Some(wake) => tokio::time::sleep_until(wake.into()).await,
        None => std::future::pending().await,
    }
}

struct ControlState {
    parts: ControlParts,
    view: FleetView,
    dispatcher: DirectDispatcher,
    replies: IndexMap<CallId, oneshot::Sender<CallVerdict>>,
    members: IndexMap<NodeId, MemberEntry>,
    sequence: u64,
    last_report: Option<Instant>,
    behind_since: Option<Instant>,
    leaving: bool,
}

impl ControlState {
    fn new(parts: ControlParts) -> Self {
        let settings = &parts.settings;
        let dispatcher = DirectDispatcher::new(
            Arc::clone(&settings.node),
            Arc::clone(&settings.data_centre),
            settings.regions.clone(),
            settings.bounds,
        );
        Self {
            parts,
            view: FleetView::default(),
            dispatcher,
            replies: IndexMap::new(),
            members: IndexMap::new(),
            sequence: 0,
            last_report: None,
            behind_since: None,
            leaving: false,
        }
    }

    fn handle(&mut self, event: ControlEvent) {
        let now = Instant::now();
        match event {
            ControlEvent::Arrive { call, reply } => {
                self.replies.insert(call.id, reply);
                self.dispatcher.arrive(*call);
            }
            ControlEvent::Withdraw(id) => {
                self.replies.swap_remove(&id);
                self.dispatcher.withdraw(id);
            }
            ControlEvent::Began(grant) => self.dispatcher.began(grant, now),
            ControlEvent::Ended { grant, outcome, late } => {
                if let Some(upstream) = self.dispatcher.ended(grant, outcome, late, now) {
                    log::warn!(
                        upstream = &*upstream, outcome:% = outcome;
                        "upstream rests after failures"
                    );
                }
            }
            ControlEvent::View(batch) => {
                let changes = self.view.apply(batch);
                self.take_changes(changes, "store", now);
            }
            ControlEvent::SourceRegained => self.dispatcher.record_store_recovery(now),
            ControlEvent::Import(export) => {
                let changes = self.view.import(export);
                self.take_changes(changes, "peer", now);
            }
            ControlEvent::Export(reply) => {
                // The asking router may have given up; nothing is lost then.
                let _ = reply.send(self.view.export());
            }
            ControlEvent::Peer(report) => self.dispatcher.record_peer(report, now),
            ControlEvent::Members(members) => self.take_members(members),
            ControlEvent::MoveRecorded(record) => self.adopt_move(&record),
            ControlEvent::Leaving => self.leaving = true,
        }
    }

    fn take_changes(&mut self, changes: Vec<ViewChange>, source: &str, now: Instant) {
        for change in changes {
            self.dispatcher.apply(&change, now);
            self.log_change(&change, source);
            if let ViewChange::Sheet(sheet) = &change {
                self.parts.table.send_replace(Some(Arc::new(RouteTable::from(&**sheet))));
                self.parts.metrics.configuration.set(i64::try_from(sheet.version).unwrap_or(0));
            }
        }
    }

    fn log_change(&self, change: &ViewChange, source: &str) {
        let operators = self.view.revision(ViewPart::Operators);
        let upstreams = self.view.revision(ViewPart::Upstreams);
        match change {
            ViewChange::Sheet(sheet) => log::info!(
                version = sheet.version, revision = operators, routes = sheet.routes.len(),
                teams = sheet.teams.len(), source = source; "configuration in force"
            ),
            ViewChange::TakenOut(centre) => log::info!(
                data_centre = &**centre, revision = operators, source = source;
                "data centre taken out"
            ),
            ViewChange::TakenBack(centre) => log::info!(
                data_centre = &**centre, revision = operators, source = source;
                "data centre taken back"
            ),
            ViewChange::MoveOrdered(order) => log::info!(
                service = &*order.service, target = &*order.target,
                duration:? = order.duration, revision = operators, source = source;
                "version move ordered"
            ),
            ViewChange::MoveEnded(service) => log::info!(
                service = &**service, revision = operators, source = source;
                "version move order removed"
            ),
            ViewChange::Upstream(id, entry) => log::info!(
                upstream = &**id, service = &*entry.service, address:% = entry.address,
                leaving = entry.leaving, cold_left:? = entry.cold_left, revision = upstreams,
                source = source; "upstream changed"
            ),
            ViewChange::UpstreamGone(id) => log::info!(
                upstream = &**id, revision = upstreams, source = source; "upstream entry gone"
            ),
        }
    }

    fn take_members(&mut self, members: Vec<MemberEntry>) {
        let own = Arc::clone(&self.parts.settings.node);
        let alive: IndexMap<NodeId, MemberEntry> = members
            .into_iter()
            .filter(|member| member.age < MEMBER_LIFETIME)
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
        self.dispatcher.refresh_from_peers(now);
        self.judge_moves(now);
        self.fetch_when_behind(now);
        self.report(now);
        let metrics = &self.parts.metrics;
        metrics.waiting.set(i64::try_from(self.dispatcher.waiting()).unwrap_or(i64::MAX));
        metrics.granted.set(i64::try_from(self.dispatcher.granted()).unwrap_or(i64::MAX));
        metrics.routers.set(i64::from(self.dispatcher.peers().routers(now)));
    }

    /// Asks a peer for its view when it has known more for a while: the store's changes may not
    /// reach this router.
    fn fetch_when_behind(&mut self, now: Instant) {
        let operators = self.view.revision(ViewPart::Operators);
        let upstreams = self.view.revision(ViewPart::Upstreams);
        let peer = self.dispatcher.peers().better_informed(operators, upstreams, now);
        let Some((peer, address)) = peer else {
            self.behind_since = None;
            return;
        };
        let since = *self.behind_since.get_or_insert(now);
        if now.duration_since(since) < BEHIND_TIME {
            return;
        }
        self.behind_since = Some(now);
        log::info!(peer = &**peer, operators, upstreams; "fetching a newer view from a peer");
        if self.parts.outbox.fetches.try_send(address).is_err() {
            log::debug!("a view is being fetched already");
        }
    }

    fn report(&mut self, now: Instant) {
        // A router that joined while the store does not answer is known by its reports only.
        let named = self.members.values().map(|member| member.address);
        let heard = self.dispatcher.peers().addresses(now);
        let addresses: IndexSet<SocketAddr> =
            named.chain(heard).filter(|address| *address != self.parts.settings.peer).collect();
        let peers = u32::try_from(addresses.len()).unwrap_or(u32::MAX);
        let interval = REPORT_INTERVAL.max(Duration::from_secs(1) * peers / REPORTS_PER_SECOND);
        let due = self.last_report.is_none_or(|last| now.duration_since(last) >= interval);
        if !due || addresses.is_empty() {
            return;
        }
        self.last_report = Some(now);
        self.sequence += 1;
        let settings = &self.parts.settings;
        let mut report = PeerReport {
            node: Arc::clone(&settings.node),
            address: settings.peer,
            incarnation: self.parts.incarnation,
            sequence: self.sequence,
            operators: self.view.revision(ViewPart::Operators),
            upstreams: self.view.revision(ViewPart::Upstreams),
            loads: Vec::new(),
            teams: Vec::new(),
            suspects: Vec::new(),
            trials: Vec::new(),
            leaving: self.leaving,
        };
        self.dispatcher.fill_report(&mut report, now);
        let addresses = addresses.into_iter().collect();
        if let Err(TrySendError::Full(_)) =
            self.parts.outbox.mail.try_send(PeerMail { report, addresses })
        {
            self.parts.metrics.reports_dropped.inc();
        }
    }

    fn judge_moves(&mut self, now: Instant) {
        let routers = self.dispatcher.peers().routers(now);
        let services: Vec<_> = self.dispatcher.trials_mut().keys().cloned().collect();
        for service in services {
            let counts = trial_counts(self.dispatcher.peers(), &service, now);
            let Some(mut trial) = self.dispatcher.trials_mut().shift_remove(&service) else {
                continue;
            };
            let elsewhere = self.dispatcher.running_elsewhere(&service, &trial);
            if let MoveVerdict::Entered(stage) = trial.judge(elsewhere, &counts, routers, now) {
                let order = trial.order();
                log::info!(
                    service = &*service, target = &*order.target, stage:% = stage,
                    routers = counts.len() + 1; "version move entered a stage"
                );
                self.record_move(&MoveRecord {
                    service: Arc::clone(&service),
                    target: Arc::clone(&order.target),
                    stage,
                });
            }
            self.dispatcher.trials_mut().insert(service, trial);
        }
    }

    fn record_move(&self, record: &MoveRecord) {
        if self.parts.outbox.moves.try_send(record.clone()).is_err() {
            log::warn!(
                service = &*record.service, stage:% = record.stage;
                "the queue of move records is full; the next judgement writes it"
            );
        }
    }

    fn adopt_move(&mut self, record: &MoveRecord) {
        if let Some(trial) = self.dispatcher.trials_mut().get_mut(&record.service)
            && trial.order().target == record.target
            && matches!(record.stage, TrialStage::Done | TrialStage::TakenBack)
        {
            trial.adopt(record.stage);
        }
    }

    fn dispatch(&mut self) {
        for (call, verdict) in self.dispatcher.dispatch(Instant::now()) {
            let Some(reply) = self.replies.swap_remove(&call) else {
                self.return_grant(verdict);
                continue;
            };
            if let Err(verdict) = reply.send(verdict) {
                self.return_grant(verdict);
            }
        }
    }

    /// The caller left while its verdict was on the way.
    fn return_grant(&mut self, verdict: CallVerdict) {
        if let CallVerdict::Send(grant) = verdict {
            self.dispatcher.ended(grant.id, CallOutcome::Unsent, false, Instant::now());
        }
    }
}

/// Creates the channels between the control thread and the parts that work for it.
pub fn control_channels() -> (ControlOutbox, OutboxEnds) {
    const CAPACITY: usize = 8;
    let (mail, mail_end) = mpsc::channel(CAPACITY);
    let (fetches, fetches_end) = mpsc::channel(1);
    let (moves, moves_end) = mpsc::channel(CAPACITY);
    let ends = OutboxEnds { mail: mail_end, fetches: fetches_end, moves: moves_end };
    (ControlOutbox { mail, fetches, moves }, ends)
}

/// Receiving ends of a [`ControlOutbox`].
#[derive(Debug)]
pub struct OutboxEnds {
    /// Reports for the other routers.
    pub mail: mpsc::Receiver<PeerMail>,
    /// Routers whose view is to be fetched.
    pub fetches: mpsc::Receiver<SocketAddr>,
    /// Records of version moves to be written.
    pub moves: mpsc::Receiver<MoveRecord>,
}
