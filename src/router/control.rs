//! Control thread of the router: owns the dispatch policy and the content of pending requests.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use indexmap::{IndexMap, IndexSet};
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::time::sleep_until;

use super::RouterContext;
use super::dispatch::send_actions;
use super::events::{CallerNotice, RouterEvent};
use super::version_tracking::{VersionCall, VersionTracker};
use crate::clock;
use crate::configuration::VersionedConfiguration;
use crate::decision::account_tree::ExchangeMember;
use crate::decision::dispatch::{
    AgentEntry, DispatchAction, DispatchLimits, DispatchPolicy, DispatchRefusal, FetchOutcome,
    ReportedLoad,
};
use crate::decision::quarantine::{QuarantineRegister, QuarantineState};
use crate::decision::retry::RetryBudget;
use crate::decision::version_move::choose_upstreams;
use crate::exchange::ExchangeControl;
use crate::fleet::{FleetEvent, FleetMember, MemberList, run_fleet_loop};
use crate::ids::{RequestId, UpstreamId, format_request_id};
use crate::jobs::run_job_loop;
use crate::lifecycle::request::AnsweredRequest;
use crate::protocol::{
    AgentLoad, AgentNotice, FetchReply, FetchRequest, NoticeKind, RequestContent,
};
use crate::report::{BurnRecorder, MAX_ENTRIES, ServiceObservation};
use crate::store::VmRole;
use crate::supervisor::{ControlInbox, StopSignal, run_control_thread};

/// Interval at which the policy re-evaluates waiting requests.
const TICK: Duration = Duration::from_millis(20);

/// Runs the control thread until `stop` is cancelled.
pub async fn run(
    context: Arc<RouterContext>,
    inbox: ControlInbox<RouterEvent>,
    fleet_inbox: ControlInbox<FleetEvent>,
    stop: StopSignal,
) -> eyre::Result<()> {
    let traffic = Handle::current();
    run_control_thread("router-control", move || async move {
        let fleet = Arc::clone(&context.fleet);
        let fleet_loop = run_fleet_loop(fleet, fleet_inbox, traffic.clone(), stop.clone());
        let job_loop = run_job_loop(Arc::clone(&context.fleet), traffic.clone(), stop.clone());
        tokio::join!(control_loop(context, inbox, traffic, stop), fleet_loop, job_loop);
    })
    .await
}

async fn control_loop(
    context: Arc<RouterContext>,
    inbox: ControlInbox<RouterEvent>,
    traffic: Handle,
    stop: StopSignal,
) {
    let mut receiver = inbox.acquire().await;
    let mut configuration = context.configuration.subscribe();
    let mut members = context.fleet.members.subscribe();
    members.mark_changed();
    let mut status = context.fleet.status.subscribe();
    let mut control = RouterControl::new(context, traffic);
    let mut ticker = tokio::time::interval(TICK);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    // The due time is computed only after a send. Recomputed after each event, it would keep
    // moving away under load and no report would ever be sent.
    let mut due = control.exchange.next_due(Instant::now());
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            Some(event) = receiver.recv() => control.handle(event, Instant::now()),
            () = sleep_until(due.into()) => {
                let now = Instant::now();
                control.exchange.send_due(now);
                due = control.exchange.next_due(now);
            }
            _ = ticker.tick() => control.tick(Instant::now()),
            Ok(()) = configuration.changed() => {
                let current = configuration.borrow_and_update().clone();
                control.configure(current, Instant::now());
            }
            Ok(()) = status.changed() => {
                let takes_work = status.borrow_and_update().takes_work;
                control.update_status(takes_work, Instant::now());
            }
            Ok(()) = members.changed() => {
                let current = members.borrow_and_update().clone();
                control.update_members(&current, Instant::now());
            }
        }
    }
}

/// A request with the channel to its caller's task.
struct PendingRequest {
    content: RequestContent,
    notices: mpsc::Sender<CallerNotice>,
}

struct RouterControl {
    context: Arc<RouterContext>,
    traffic: Handle,
    policy: DispatchPolicy,
    retries: RetryBudget,
    quarantine: QuarantineRegister,
    pending: IndexMap<RequestId, PendingRequest>,
    agents: IndexMap<UpstreamId, AgentEntry>,
    /// Agents that are leaving or do not answer.
    excluded: IndexSet<UpstreamId>,
    configuration: Option<Arc<VersionedConfiguration>>,
    exchange: ExchangeControl,
    recorder: BurnRecorder,
    tracker: VersionTracker,
}

impl RouterControl {
    fn new(context: Arc<RouterContext>, traffic: Handle) -> Self {
        let limits = &context.settings.limits;
        let policy = DispatchPolicy::new(DispatchLimits {
            policy: context.settings.fairness.policy,
            team_queue: usize::try_from(limits.team_queue).unwrap_or(usize::MAX),
            queue_timeout: limits.queue_timeout,
        });
        let configuration = context.configuration.borrow().clone();
        let (pending, agents) = (IndexMap::new(), IndexMap::new());
        let excluded = IndexSet::new();
        let retries = RetryBudget::new(Instant::now());
        let quarantine = QuarantineRegister::default();
        let recorder = BurnRecorder::new(MAX_ENTRIES, Instant::now());
        let own = ExchangeMember {
            node: context.settings.node.id.clone(),
            data_centre: context.settings.node.data_centre.clone(),
            address: context.peer_address,
        };
        // A restarted control thread gets a new incarnation, because its exchange counters start
        // from zero.
        let incarnation = clock::incarnation();
        let exchange = ExchangeControl::new(own, incarnation, context.reports.clone());
        let splits = context.splits.clone();
        let mut tracker = VersionTracker::new(incarnation, splits, Instant::now());
        if let Some(configuration) = &configuration {
            tracker.configure(&configuration.checked);
        }
        Self {
            context,
            traffic,
            policy,
            retries,
            quarantine,
            pending,
            agents,
            excluded,
            configuration,
            exchange,
            recorder,
            tracker,
        }
    }

    fn handle(&mut self, event: RouterEvent, now: Instant) {
        let actions = match event {
            RouterEvent::RequestArrived { mut ticket, content, notices } => {
                let id = ticket.id;
                self.retries.record_request();
                let state = self.quarantine.state(ticket.fingerprint, SystemTime::now());
                ticket.run_alone = state == QuarantineState::Alone;
                let arrival = match state {
                    QuarantineState::Refused { .. } => Err(DispatchRefusal::Quarantined),
                    _ => self.policy.enqueue(ticket, now),
                };
                match arrival {
                    Ok(actions) => {
                        self.pending.insert(id, PendingRequest { content, notices });
                        actions
                    }
                    Err(reason) => {
                        // Fails only if the caller's task has ended.
                        let _ = notices.try_send(CallerNotice::Refused(reason));
                        Vec::new()
                    }
                }
            }
            RouterEvent::OffersAnswered { agent, reply } => {
                let refused: Vec<RequestId> =
                    reply.refused.iter().map(|refused| refused.request).collect();
                self.policy.record_offer_reply(
                    &agent,
                    &refused,
                    ReportedLoad::from(&reply.load),
                    now,
                )
            }
            RouterEvent::OffersFailed { agent, requests } => {
                self.policy.record_offer_failure(&agent, &requests, now)
            }
            RouterEvent::Fetch { fetch, reply } => {
                let (answer, actions) = self.handle_fetch(&fetch, now);
                // If the reply is lost, the agent repeats the fetch.
                let _ = reply.send(answer);
                actions
            }
            RouterEvent::NoticeReceived(notice) => self.handle_notice(&notice, now),
            RouterEvent::AttemptFailed { failure, candidate, reply } => {
                let decision = self.retries.decide(failure, candidate, now, rand::random());
                let _ = reply.send(decision);
                Vec::new()
            }
            RouterEvent::Requeue { request, crashed } => self.requeue(request, crashed, now),
            RouterEvent::SuspectsReported(records) => {
                self.quarantine.expire(SystemTime::now());
                for (fingerprint, record) in records {
                    self.quarantine.merge(fingerprint, &record);
                }
                Vec::new()
            }
            RouterEvent::VersionCallEnded(call) => self.handle_version_call(&call, now),
            RouterEvent::EvidenceRequested(reply) => {
                let _ = reply.send(self.tracker.evidence());
                Vec::new()
            }
            RouterEvent::FaultReported(notice) => {
                self.tracker.record_fault(&notice);
                self.repin(now)
            }
            RouterEvent::RequestEnded(request) => {
                self.pending.swap_remove(&request);
                let (answered, actions) = self.policy.end(request, now);
                if let Some(answered) = answered {
                    log_request_end(&answered);
                }
                actions
            }
            RouterEvent::RequestObserved(observation) => {
                self.record_observation(&observation, now);
                Vec::new()
            }
            RouterEvent::BurnReportRequested { most, reply } => {
                let report = self.recorder.report(&self.context.settings.node.id, most, now);
                // Fails only if the operator has disconnected.
                let _ = reply.send(report);
                Vec::new()
            }
            RouterEvent::Exchange(event) => {
                self.exchange.handle(event, now);
                // A router only forwards accounts; it does not schedule by them.
                self.exchange.state().take_remote();
                Vec::new()
            }
        };
        self.execute(actions);
    }

    fn tick(&mut self, now: Instant) {
        self.tracker.tick(now);
        let actions = self.policy.tick(now);
        self.execute(actions);
    }

    fn record_observation(&mut self, observation: &ServiceObservation, now: Instant) {
        let Some(configuration) = &self.configuration else { return };
        let checked = &configuration.checked;
        // The configuration may have dropped the service since the request was admitted.
        if let Some(service) = checked.services.get(&observation.service) {
            let (team, kind) = (&observation.team, service.kind);
            let objectives = checked.objectives.find(&observation.service, team, kind);
            self.recorder.record(observation, objectives, now);
        }
    }

    fn configure(&mut self, configuration: Option<Arc<VersionedConfiguration>>, now: Instant) {
        self.configuration = configuration;
        if let Some(configuration) = &self.configuration {
            self.tracker.configure(&configuration.checked);
        }
        let actions = self.repin(now);
        self.execute(actions);
        self.apply_exclusions(now);
    }

    fn update_members(&mut self, members: &MemberList, now: Instant) {
        self.agents = members.values().filter_map(agent_entry).collect();
        self.excluded = members
            .values()
            .filter(|member| member.exclusion.is_some())
            .filter_map(|member| member.card.labels.upstream.clone())
            .collect();
        let entries = self.agents.values().cloned().collect();
        let rule = self.eligibility_rule();
        self.policy.set_agents(entries, rule);
        self.apply_exclusions(now);
    }

    /// Refuses waiting requests once the router is cut off from the fleet; granted ones continue.
    fn update_status(&mut self, takes_work: bool, now: Instant) {
        if !takes_work {
            let actions = self.policy.refuse_waiting(DispatchRefusal::CutOff, now);
            self.execute(actions);
        }
    }

    /// Withdraws the offers from agents that are no longer eligible for work.
    fn apply_exclusions(&mut self, now: Instant) {
        let rule = self.eligibility_rule();
        let ineligible: Vec<UpstreamId> =
            self.agents.values().filter(|entry| !rule(entry)).map(|e| e.upstream.clone()).collect();
        self.policy.refresh_agents(rule);
        for agent in ineligible {
            let actions = self.policy.record_agent_leaving(&agent, now);
            self.execute(actions);
        }
    }

    /// Adds a call to the comparison of versions. If it shows a fault, this router stops sending to
    /// the new version and notifies the other routers.
    fn handle_version_call(&mut self, call: &VersionCall, now: Instant) -> Vec<DispatchAction> {
        let Some(notice) = self.tracker.record(call) else { return Vec::new() };
        let members = self.context.fleet.members.borrow().clone();
        let routers = members.values().filter(|member| member.card.role == VmRole::Router);
        for address in routers.map(|member| member.card.address) {
            let (peers, notice) = (self.context.peers.clone(), notice.clone());
            self.traffic.spawn(async move {
                // A router that misses the notice gets the stop with the next configuration.
                let _ = peers.call(address, &notice).await;
            });
        }
        self.repin(now)
    }

    /// Reassigns waiting requests whose version no longer receives traffic.
    fn repin(&mut self, now: Instant) -> Vec<DispatchAction> {
        let tracker = &self.tracker;
        self.policy
            .repin(|ticket| tracker.replacement(&ticket.service, ticket.version.as_deref()?), now)
    }

    /// Returns the agents that run a new version but are not among those chosen to serve its share.
    fn agents_outside_share(&self) -> IndexSet<UpstreamId> {
        let mut outside = IndexSet::new();
        for (id, entry) in self.tracker.moves_with_traffic() {
            let of_service = |agent: &&AgentEntry| agent.service == entry.service;
            let agents: Vec<&AgentEntry> = self.agents.values().filter(of_service).collect();
            let runs = |agent: &AgentEntry, version| agent.version.as_ref() == Some(version);
            let old = agents.iter().filter(|agent| runs(agent, &entry.from)).count();
            let new: Vec<UpstreamId> = agents
                .iter()
                .filter(|agent| runs(agent, &entry.to) && !self.excluded.contains(&agent.upstream))
                .map(|agent| agent.upstream.clone())
                .collect();
            let chosen = choose_upstreams(id, &new, entry.share, old);
            outside.extend(new.into_iter().filter(|upstream| !chosen.contains(upstream)));
        }
        outside
    }

    /// Returns a predicate for the agents that may get new work.
    fn eligibility_rule(&self) -> impl Fn(&AgentEntry) -> bool + use<> {
        let configuration = self.configuration.clone();
        let mut excluded = self.agents_outside_share();
        excluded.extend(self.excluded.iter().cloned());
        move |entry| {
            !excluded.contains(&entry.upstream) && takes_work(configuration.as_deref(), entry)
        }
    }

    fn requeue(&mut self, request: RequestId, crashed: bool, now: Instant) -> Vec<DispatchAction> {
        match self.quarantine_state(request) {
            QuarantineState::Refused { .. } => return self.refuse_quarantined(request, now),
            QuarantineState::Normal if !crashed => {}
            QuarantineState::Normal | QuarantineState::Alone => {
                self.policy.set_run_alone(request);
            }
        }
        // A request that failed on a new version is retried on the old one.
        let old = self.policy.ticket(request).and_then(|ticket| {
            ticket.version.as_ref()?;
            self.tracker.old_version(&ticket.service)
        });
        self.policy.requeue(request, old, now)
    }

    fn quarantine_state(&self, request: RequestId) -> QuarantineState {
        let ticket = self.policy.ticket(request);
        ticket.map_or(QuarantineState::Normal, |ticket| {
            self.quarantine.state(ticket.fingerprint, SystemTime::now())
        })
    }

    fn refuse_quarantined(&mut self, request: RequestId, now: Instant) -> Vec<DispatchAction> {
        let reason = DispatchRefusal::Quarantined;
        let mut actions = self.policy.end(request, now).1;
        actions.push(DispatchAction::Refuse { request, reason });
        actions
    }

    /// Answers a fetch. A request that became a suspect while it waited is withdrawn and offered
    /// again, to run alone.
    fn handle_fetch(
        &mut self,
        fetch: &FetchRequest,
        now: Instant,
    ) -> (FetchReply, Vec<DispatchAction>) {
        let alone = self.policy.ticket(fetch.request).is_some_and(|ticket| ticket.run_alone);
        match self.quarantine_state(fetch.request) {
            QuarantineState::Refused { .. } => {
                return (FetchReply::Withdrawn, self.refuse_quarantined(fetch.request, now));
            }
            QuarantineState::Alone if !alone => {
                return (FetchReply::Withdrawn, self.policy.offer_alone(fetch.request, now));
            }
            QuarantineState::Alone | QuarantineState::Normal => {}
        }
        let pending = self.pending.get(&fetch.request);
        let agent = self.agents.get(&fetch.agent);
        let (Some(pending), Some(agent)) = (pending, agent) else {
            return (FetchReply::Withdrawn, Vec::new());
        };
        // An agent with an older configuration may still fetch after it lost its eligibility. A
        // repeated fetch of a granted request, after a lost reply, is allowed.
        let is_grant = self.policy.is_waiting(fetch.request);
        if is_grant && (!self.eligibility_rule()(agent) || !self.context.fleet.takes_work()) {
            return (FetchReply::Withdrawn, Vec::new());
        }
        let (outcome, actions) = self.policy.fetch(fetch.request, &fetch.agent, fetch.attempt, now);
        let reply = match outcome {
            FetchOutcome::Granted => {
                let ticket = self.policy.ticket(fetch.request);
                let notice = CallerNotice::Granted {
                    agent: agent.upstream.clone(),
                    address: agent.address,
                    attempt: fetch.attempt,
                    version: ticket.and_then(|ticket| ticket.version.clone()),
                };
                // On a repeated fetch the caller's task already has the notice.
                if !is_grant || pending.notices.try_send(notice).is_ok() {
                    FetchReply::Granted(pending.content.clone())
                } else {
                    FetchReply::Withdrawn
                }
            }
            FetchOutcome::Withdrawn => FetchReply::Withdrawn,
        };
        (reply, actions)
    }

    fn handle_notice(&mut self, notice: &AgentNotice, now: Instant) -> Vec<DispatchAction> {
        match notice.kind {
            NoticeKind::Free => self.policy.offer_to_free_agent(
                &notice.agent,
                ReportedLoad::from(&notice.load),
                now,
            ),
            NoticeKind::Leaving => self.policy.record_agent_leaving(&notice.agent, now),
        }
    }

    fn execute(&mut self, actions: Vec<DispatchAction>) {
        let mut messages = Vec::with_capacity(actions.len());
        for action in actions {
            match action {
                DispatchAction::Refuse { request, reason } => {
                    if let Some(pending) = self.pending.swap_remove(&request) {
                        let _ = pending.notices.try_send(CallerNotice::Refused(reason));
                    }
                }
                message => messages.push(message),
            }
        }
        if !messages.is_empty() {
            send_actions(&self.traffic, &self.context, messages);
        }
    }
}

fn log_request_end(answered: &AnsweredRequest) {
    let ticket = answered.ticket();
    log::debug!(
        request = format_request_id(ticket.id), team:% = ticket.team, service:% = ticket.service,
        total:? = answered.total_time(); "request ended"
    );
}

fn agent_entry(member: &FleetMember) -> Option<(UpstreamId, AgentEntry)> {
    let labels = &member.card.labels;
    let entry = AgentEntry {
        upstream: labels.upstream.clone()?,
        service: labels.service.clone()?,
        version: member.loaded.clone().or_else(|| labels.version.clone()),
        data_centre: member.card.data_centre.clone(),
        address: member.card.address,
    };
    Some((entry.upstream.clone(), entry))
}

fn takes_work(configuration: Option<&VersionedConfiguration>, entry: &AgentEntry) -> bool {
    configuration.is_some_and(|configuration| {
        configuration.checked.takes_work(&entry.upstream, &entry.data_centre)
    })
}

impl From<&AgentLoad> for ReportedLoad {
    fn from(load: &AgentLoad) -> Self {
        Self { running: load.running, limit: load.limit, waiting: load.waiting }
    }
}
