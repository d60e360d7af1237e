//! Simulated fleet of routers: the decision code of each, driven by a schedule with a seed.
//!
//! Time is simulated. A router's processor works on its calls one after another, an engine reads
//! prompts one after another, and routers exchange reports every 100 ms. All callers of a team with
//! a home router meet this router while it is in the balancer's rotation, else the next one; all
//! other callers meet any router. Each call comes on a new connection. A refused caller tries once
//! more after the stated delay.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use godwitcrank::decision::direct::{
    BudgetCharge, CallDecision, CallOutcome, ConnectionAdmission, DirectDispatcher, HandoffOffer,
    HandoffTargets, OverloadControl, PeerReport, PendingCall, PromptPart, PromptShape, call_work,
};
use godwitcrank::ids::{CallId, GrantId, TeamId};
use indexmap::{IndexMap, IndexSet};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::fleet_plan::{FleetPlan, TeamRecord, dispatcher};

/// Prompt tokens that an engine reads per second.
const ENGINE_RATE: f64 = 110_000.0;

/// Time from the start of a prompt's answer to the end of the answer.
const ANSWER_TIME: Duration = Duration::from_millis(80);

/// Writes of a long answer, and the time between two of them.
const LONG_ANSWER_WRITES: u32 = 40;
const WRITE_INTERVAL: Duration = Duration::from_millis(30);

/// Time after which a caller sends a call again whose connection was closed unread.
const CLOSED_CONNECTION_DELAY: Duration = Duration::from_millis(2);

/// Time after which the balancer stops sending callers to a router that is not ready.
const ROTATION_DELAY: Duration = Duration::from_millis(1500);

/// Interval of reports and samples.
const TICK: Duration = Duration::from_millis(100);

/// Interval at which each dispatcher looks at its deadlines.
const DEADLINE_TICK: Duration = Duration::from_millis(10);

/// Calls that a team's callers send at the same time.
const CLUMP: usize = 3;

/// Shared prompt parts of each team, their size, and the size of the rest of a prompt, in tokens.
const SHARED_PARTS: u64 = 60;
const SHARED_TOKENS: u32 = 6_300;
const OWN_TOKENS: u32 = 2_900;

/// Output of a call with a short answer, in tokens.
const OUTPUT_TOKENS: u32 = 50;

/// Prompt and output of a call with a long answer, in tokens.
const LONG_ANSWER_SHARED_TOKENS: u32 = 170;
const LONG_ANSWER_OWN_TOKENS: u32 = 540;
const LONG_ANSWER_OUTPUT_TOKENS: u32 = 280;

/// First id of the shared prompt parts of calls with a long answer.
const LONG_ANSWER_PARTS: u64 = 1 << 32;

const OBJECTIVE: Duration = Duration::from_millis(500);
const DEADLINE: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct SimulatedRouter {
    processor_share: f64,
    dispatcher: DirectDispatcher,
    control: OverloadControl,
    targets: HandoffTargets,
    busy_until: Instant,
    overloaded_since: Option<Instant>,
    sequence: u64,
}

#[derive(Debug)]
struct SimulatedEngine {
    busy_until: Instant,
    cached: IndexSet<u64>,
}

#[derive(Clone, Debug)]
struct SimulatedCall {
    team: usize,
    prompt: PromptShape,
    retries_left: u32,
    /// Router that relays the call, if its connection was handed over.
    relayed_by: Option<usize>,
}

#[derive(Debug)]
enum FleetEvent {
    Clump { team: usize },
    Arrival { router: usize, call: SimulatedCall },
    HandedOver { router: usize, call: SimulatedCall },
    Retry { call: SimulatedCall },
    Admitted { router: usize, call: SimulatedCall, arrived: Instant },
    FirstEvent { router: usize, grant: GrantId, sent_at: Instant, writes: u32 },
    FirstEventRead { router: usize, grant: GrantId, sent_at: Instant },
    Write { router: usize, grant: GrantId, left: u32 },
    Relayed { router: usize, writes: u32 },
    End { router: usize, grant: GrantId },
    Tick,
    DeadlineTick,
}

/// A running simulation.
pub struct RouterFleet {
    plan: FleetPlan,
    start: Instant,
    now: Instant,
    random: StdRng,
    routers: Vec<SimulatedRouter>,
    engines: IndexMap<String, SimulatedEngine>,
    calls: IndexMap<CallId, SimulatedCall>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: IndexMap<u64, FleetEvent>,
    next_event: u64,
    next_call: CallId,
    records: IndexMap<TeamId, TeamRecord>,
}

impl RouterFleet {
    /// Runs the plan and returns what each team asked for and got.
    pub fn run(plan: FleetPlan) -> IndexMap<TeamId, TeamRecord> {
        let mut fleet = Self::new(plan);
        let end = fleet.start + fleet.plan.length;
        while let Some(Reverse((at, id))) = fleet.queue.pop() {
            if at >= end {
                break;
            }
            fleet.now = at;
            if let Some(event) = fleet.events.swap_remove(&id) {
                fleet.handle(event);
            }
        }
        fleet.records
    }

    fn new(plan: FleetPlan) -> Self {
        let start = Instant::now();
        let seconds = plan.length.as_secs() as usize + 1;
        let record = TeamRecord { asked: vec![0.0; seconds], got: vec![0.0; seconds] };
        let engines: IndexMap<String, SimulatedEngine> = (0..plan.engines)
            .map(|index| {
                let engine = SimulatedEngine { busy_until: start, cached: IndexSet::new() };
                (format!("engine-{index}"), engine)
            })
            .collect();
        let routers = (0..plan.routers.len())
            .map(|index| SimulatedRouter {
                processor_share: plan.routers[index] - plan.costs.fixed,
                dispatcher: dispatcher(index, &plan, start),
                control: OverloadControl::new(plan.routers[index], start),
                targets: HandoffTargets::new("caerdydd".into()),
                busy_until: start,
                overloaded_since: None,
                sequence: 0,
            })
            .collect();
        let mut fleet = Self {
            start,
            now: start,
            random: StdRng::seed_from_u64(plan.seed),
            routers,
            engines,
            calls: IndexMap::new(),
            queue: BinaryHeap::new(),
            events: IndexMap::new(),
            next_event: 0,
            next_call: 1,
            records: plan.teams.iter().map(|team| (team.name.clone(), record.clone())).collect(),
            plan,
        };
        fleet.schedule(TICK, FleetEvent::Tick);
        fleet.schedule(DEADLINE_TICK, FleetEvent::DeadlineTick);
        for team in 0..fleet.plan.teams.len() {
            fleet.schedule_clump(team);
        }
        fleet
    }

    fn schedule(&mut self, delay: Duration, event: FleetEvent) {
        self.next_event += 1;
        self.events.insert(self.next_event, event);
        self.queue.push(Reverse((self.now + delay, self.next_event)));
    }

    /// Schedules the next calls of a team, with exponential gaps.
    fn schedule_clump(&mut self, team: usize) {
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        let rate = self.plan.teams[team].rate_at(self.now - self.start);
        let gap = -uniform.ln() * CLUMP as f64 / rate;
        self.schedule(Duration::from_secs_f64(gap), FleetEvent::Clump { team });
    }

    fn handle(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Clump { team } => self.send_clump(team),
            FleetEvent::Arrival { router, call } => self.accept(router, call),
            FleetEvent::HandedOver { router, call } => self.admit(router, call),
            FleetEvent::Retry { call } => {
                let router = self.meet_router(call.team);
                self.accept(router, call);
            }
            FleetEvent::Admitted { router, call, arrived } => self.enqueue(router, call, arrived),
            FleetEvent::FirstEvent { router, grant, sent_at, writes } => {
                let delay = self.process(router, self.plan.costs.answer);
                self.schedule(delay, FleetEvent::FirstEventRead { router, grant, sent_at });
                if writes > 1 {
                    self.schedule(delay, FleetEvent::Write { router, grant, left: writes });
                } else {
                    self.schedule(delay + ANSWER_TIME, FleetEvent::End { router, grant });
                }
            }
            FleetEvent::Write { router, grant, left } => self.write(router, grant, left),
            FleetEvent::Relayed { router, writes } => {
                self.process(router, self.plan.costs.relayed_write * writes);
            }
            FleetEvent::FirstEventRead { router, grant, sent_at } => {
                let waited = self.now - sent_at;
                let state = &mut self.routers[router];
                let own_delay = state.control.detector().lateness();
                state.dispatcher.record_first_event(grant, waited, own_delay, self.now);
                self.dispatch(router);
            }
            FleetEvent::End { router, grant } => {
                let dispatcher = &mut self.routers[router].dispatcher;
                dispatcher.record_end(grant, CallOutcome::Completed, false, self.now);
                self.dispatch(router);
            }
            FleetEvent::Tick => self.tick(),
            FleetEvent::DeadlineTick => {
                for router in 0..self.routers.len() {
                    self.dispatch(router);
                }
                self.schedule(DEADLINE_TICK, FleetEvent::DeadlineTick);
            }
        }
    }

    fn send_clump(&mut self, team: usize) {
        for _ in 0..CLUMP {
            let prompt = self.prompt(team);
            let second = self.second();
            let name = &self.plan.teams[team].name;
            self.records[name].asked[second] += call_work(Some(&prompt));
            let router = self.meet_router(team);
            let call = SimulatedCall { team, prompt, retries_left: 1, relayed_by: None };
            self.schedule(Duration::ZERO, FleetEvent::Arrival { router, call });
        }
        self.schedule_clump(team);
    }

    /// Writes a part of a long answer, of which `left` parts are left.
    fn write(&mut self, router: usize, grant: GrantId, left: u32) {
        let delay = self.process(router, self.plan.costs.write);
        if left > 1 {
            let next = FleetEvent::Write { router, grant, left: left - 1 };
            self.schedule(delay + WRITE_INTERVAL, next);
        } else {
            let control = &mut self.routers[router].control;
            control.record_stream(LONG_ANSWER_OUTPUT_TOKENS, LONG_ANSWER_WRITES);
            self.schedule(delay, FleetEvent::End { router, grant });
        }
    }

    fn prompt(&mut self, team: usize) -> PromptShape {
        if self.plan.long_answers > 0.0 && self.random.random_bool(self.plan.long_answers) {
            return long_answer_prompt(team);
        }
        let shared = team as u64 * SHARED_PARTS + self.random.random_range(0..SHARED_PARTS);
        PromptShape {
            tokens_in: SHARED_TOKENS + OWN_TOKENS,
            tokens_out: OUTPUT_TOKENS,
            parts: vec![
                PromptPart { id: shared, tokens: SHARED_TOKENS },
                PromptPart { id: u64::MAX, tokens: OWN_TOKENS },
            ],
        }
    }

    /// Returns the router that the balancer gives a caller of the team.
    fn meet_router(&mut self, team: usize) -> usize {
        let count = self.routers.len();
        let first = match self.plan.teams[team].home {
            Some(home) => home,
            None => self.random.random_range(0..count),
        };
        (first..first + count)
            .map(|index| index % count)
            .find(|index| {
                self.routers[*index]
                    .overloaded_since
                    .is_none_or(|since| self.now.saturating_duration_since(since) < ROTATION_DELAY)
            })
            .unwrap_or(first)
    }

    /// Adds work to the queue of a router's processor; returns the time until it is done.
    fn process(&mut self, router: usize, processor_time: Duration) -> Duration {
        if processor_time.is_zero() {
            return Duration::ZERO;
        }
        let router = &mut self.routers[router];
        let time = processor_time.div_f64(router.processor_share);
        router.busy_until = router.busy_until.max(self.now) + time;
        router.busy_until - self.now
    }

    /// Accepts the connection of a call, hands it over to another router, or closes it unread.
    fn accept(&mut self, router: usize, call: SimulatedCall) {
        let state = &mut self.routers[router];
        match state.control.try_admit_connection(self.now) {
            ConnectionAdmission::Unlimited => self.admit(router, call),
            ConnectionAdmission::Charged => {
                let cost = state.control.cost_of(Some(&call.prompt));
                state.control.admit_charged(cost);
                self.read_call(router, call);
            }
            ConnectionAdmission::Refused => match state.targets.take() {
                Some(target) => self.hand_over(router, target.port().into(), call),
                None => self.retry(call, CLOSED_CONNECTION_DELAY),
            },
        }
    }

    fn hand_over(&mut self, router: usize, target: usize, mut call: SimulatedCall) {
        self.routers[router].control.record_handoff();
        let delay = self.process(router, self.plan.costs.handoff);
        call.relayed_by = Some(router);
        self.schedule(delay, FleetEvent::HandedOver { router: target, call });
    }

    /// Takes a call into the queue of a router's processor, or refuses it.
    fn admit(&mut self, router: usize, call: SimulatedCall) {
        let now = self.now;
        let control = &mut self.routers[router].control;
        let cost = control.cost_of(Some(&call.prompt));
        if control.try_admit(cost, now) {
            self.read_call(router, call);
        } else {
            let delay = self.process(router, self.plan.costs.shed);
            self.retry(call, delay);
        }
    }

    fn read_call(&mut self, router: usize, call: SimulatedCall) {
        let arrived = self.now;
        let delay = self.process(router, self.plan.costs.call);
        self.schedule(delay, FleetEvent::Admitted { router, call, arrived });
    }

    fn retry(&mut self, mut call: SimulatedCall, delay: Duration) {
        if call.retries_left > 0 {
            call.retries_left -= 1;
            call.relayed_by = None;
            self.schedule(delay, FleetEvent::Retry { call });
        }
    }

    fn enqueue(&mut self, router: usize, call: SimulatedCall, arrived: Instant) {
        let id = self.next_call;
        self.next_call += 1;
        let pending = PendingCall {
            id,
            route: "route".into(),
            service: "model".into(),
            team: Some(self.plan.teams[call.team].name.clone()),
            priority: 1,
            homes: None,
            prompt: Some(call.prompt.clone()),
            objective: OBJECTIVE,
            arrived,
            deadline: arrived + DEADLINE,
            fingerprint: id,
            tried: Vec::new(),
            charge: BudgetCharge::First,
        };
        self.routers[router].dispatcher.enqueue(pending, self.now);
        self.calls.insert(id, call);
        self.dispatch(router);
    }

    fn dispatch(&mut self, router: usize) {
        for (id, decision) in self.routers[router].dispatcher.dispatch(self.now) {
            let Some(call) = self.calls.swap_remove(&id) else { continue };
            match decision {
                CallDecision::Send(grant) => self.send(router, &call, &grant.upstream, grant.id),
                CallDecision::Refuse { retry_after, .. } => {
                    let delay = self.process(router, self.plan.costs.refusal);
                    self.retry(call, delay + retry_after);
                }
            }
        }
    }

    fn send(&mut self, router: usize, call: &SimulatedCall, upstream: &str, grant: GrantId) {
        let second = self.second();
        let name = &self.plan.teams[call.team].name;
        self.records[name].got[second] += call_work(Some(&call.prompt));
        let engine = &mut self.engines[upstream];
        let is_cached = !engine.cached.insert(call.prompt.parts[0].id);
        let tokens = if is_cached { call.prompt.parts[1].tokens } else { call.prompt.tokens_in };
        let reading = Duration::from_secs_f64(f64::from(tokens) / ENGINE_RATE);
        engine.busy_until = engine.busy_until.max(self.now) + reading;
        let delay = engine.busy_until - self.now;
        let sent_at = self.now;
        let has_long_answer = call.prompt.tokens_out == LONG_ANSWER_OUTPUT_TOKENS;
        let writes = if has_long_answer { LONG_ANSWER_WRITES } else { 1 };
        self.schedule(delay, FleetEvent::FirstEvent { router, grant, sent_at, writes });
        if let Some(router) = call.relayed_by {
            self.schedule(delay, FleetEvent::Relayed { router, writes });
        }
    }

    /// Samples the load of all routers and exchanges their reports.
    fn tick(&mut self) {
        let now = self.now;
        for router in &mut self.routers {
            let lateness = router.busy_until.saturating_duration_since(now);
            match router.control.record(lateness, 0.0, TICK, now) {
                Some(true) => router.overloaded_since = Some(now),
                Some(false) => router.overloaded_since = None,
                None => {}
            }
        }
        for sender in 0..self.routers.len() {
            let report = self.report(sender);
            for receiver in (0..self.routers.len()).filter(|receiver| *receiver != sender) {
                self.routers[receiver].dispatcher.record_report(report.clone(), now);
            }
        }
        for router in &mut self.routers {
            router.dispatcher.refresh_from_peers(now);
        }
        self.exchange_offers();
        self.schedule(TICK, FleetEvent::Tick);
    }

    /// Tells each router what the others would serve for its callers. The port of an address is the
    /// index of its router.
    fn exchange_offers(&mut self) {
        let offers: Vec<HandoffOffer> = self
            .routers
            .iter()
            .zip(0..)
            .map(|(router, index)| HandoffOffer {
                address: ([127, 0, 0, 1], index).into(),
                data_centre: "caerdydd".into(),
                spare_rate: router.control.spare_rate(),
            })
            .collect();
        for (index, router) in self.routers.iter_mut().enumerate() {
            let mut others = offers.clone();
            others.remove(index);
            router.targets.update(&others, TICK, self.now);
        }
    }

    fn report(&mut self, sender: usize) -> PeerReport {
        let router = &mut self.routers[sender];
        router.sequence += 1;
        let node = format!("router-{sender}").into();
        let mut report = PeerReport::new(node, ([127, 0, 0, 1], 7000).into(), 1, router.sequence);
        router.dispatcher.fill_report(&mut report, self.now);
        report
    }

    fn second(&self) -> usize {
        self.now.duration_since(self.start).as_secs() as usize
    }
}

/// Returns the prompt of a call with a long answer.
fn long_answer_prompt(team: usize) -> PromptShape {
    PromptShape {
        tokens_in: LONG_ANSWER_SHARED_TOKENS + LONG_ANSWER_OWN_TOKENS,
        tokens_out: LONG_ANSWER_OUTPUT_TOKENS,
        parts: vec![
            PromptPart { id: LONG_ANSWER_PARTS + team as u64, tokens: LONG_ANSWER_SHARED_TOKENS },
            PromptPart { id: u64::MAX, tokens: LONG_ANSWER_OWN_TOKENS },
        ],
    }
}
