//! Simulated fleet of uneven engines in several data centres: the decision code of each router,
//! driven by a schedule with a seed.
//!
//! Time is simulated. An engine reads prompts one after another at its own speed, and slows down for
//! spells. Routers exchange reports every 100 ms. Refused callers do not try again.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use godwitcrank::decision::direct::{
    CallCounts, CallDecision, CallOutcome, DirectDispatcher, PeerReport, PendingCall, PromptPart,
    PromptShape, ReceivedLoad, StatedLoad,
};
use godwitcrank::ids::{CallId, GrantId, UpstreamId};
use godwitcrank::routing::{UpstreamEntry, ViewChange};
use indexmap::{IndexMap, IndexSet};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::direct_path::{fleet_bounds, pending_call, service_configuration, upstream_entry};

/// Interval of reports.
const REPORT_TICK: Duration = Duration::from_millis(100);

/// Interval at which each dispatcher looks at its deadlines.
const DEADLINE_TICK: Duration = Duration::from_millis(5);

/// Time from the arrival of a call at an idle engine to its first event, besides reading.
const BASE_TIME: Duration = Duration::from_millis(35);

/// Time from the first event to the end of an answer.
const ANSWER_TIME: Duration = Duration::from_millis(150);

/// Time that a message takes between two data centres.
const LINK_TIME: Duration = Duration::from_millis(3);

/// Slots and memory of each engine.
const SLOTS: u32 = 128;
const MEMORY_TOKENS: u64 = 400_000;

/// Time within which the first event of a call is due.
pub const OBJECTIVE: Duration = Duration::from_millis(500);

/// Spells in which an engine is slower than usual.
#[derive(Clone, Copy, Debug)]
pub struct SpellPlan {
    /// Mean time between two spells.
    pub mean_gap: Duration,
    /// Length of a spell.
    pub length: Duration,
    /// Factor on the time of all work.
    pub factor: f64,
}

/// A data centre and its callers.
#[derive(Clone, Debug)]
pub struct DataCentrePlan {
    /// Name, which also begins the names of its engines.
    pub name: &'static str,
    /// Number of routers.
    pub routers: usize,
    /// Prompt tokens that each engine usually reads per millisecond.
    pub engine_rates: Vec<f64>,
    /// Calls per second at a time since the start.
    pub call_rate: fn(Duration) -> f64,
}

/// Fleet and load of one simulation.
#[derive(Clone, Debug)]
pub struct EngineFleetPlan {
    /// Seed of the schedule.
    pub seed: u64,
    /// Time for which calls arrive.
    pub duration: Duration,
    /// Data centres.
    pub data_centres: Vec<DataCentrePlan>,
    /// Spells of all engines.
    pub spells: Option<SpellPlan>,
    /// Whether engines state their slowdown.
    pub states_slowdown: bool,
    /// Number of shared prompt parts, of which each call has one; their size, and that of the rest.
    pub shared_parts: u64,
    /// Size of a shared part in tokens.
    pub shared_tokens: u32,
    /// Size of the rest of a prompt in tokens.
    pub own_tokens: u32,
}

/// What became of a call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallFate {
    /// No upstream had capacity.
    Refused,
    /// The first event came after this time.
    Answered(Duration),
}

/// Record of a call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// When it arrived, since the start.
    pub arrived: Duration,
    /// Data centre of its router.
    pub home: &'static str,
    /// Data centre of its engine.
    pub ran_at: Option<&'static str>,
    /// Its engine.
    pub engine: Option<UpstreamId>,
    /// What became of it.
    pub fate: CallFate,
}

impl CallRecord {
    /// Returns whether the first event came within the objective.
    pub fn is_in_time(&self) -> bool {
        matches!(self.fate, CallFate::Answered(wait) if wait <= OBJECTIVE)
    }

    /// Returns whether an engine of another data centre ran the call.
    pub fn has_left(&self) -> bool {
        self.ran_at.is_some_and(|data_centre| data_centre != self.home)
    }
}

#[derive(Debug)]
struct SimulatedRouter {
    data_centre: &'static str,
    dispatcher: DirectDispatcher,
    sequence: u64,
}

#[derive(Debug)]
struct SimulatedEngine {
    data_centre: &'static str,
    rate: f64,
    spells: Vec<(Instant, Instant)>,
    factor: f64,
    busy_until: Instant,
    cached: IndexSet<u64>,
    running: u32,
}

impl SimulatedEngine {
    fn factor_at(&self, at: Instant) -> f64 {
        let is_slow = self.spells.iter().any(|(from, until)| (*from..*until).contains(&at));
        if is_slow { self.factor } else { 1.0 }
    }

    /// Returns when work of `usual` length ends that begins at `from`.
    fn end_of_work(&self, from: Instant, usual: Duration) -> Instant {
        let (mut at, mut left) = (from, usual);
        while !left.is_zero() {
            let factor = self.factor_at(at);
            let bounds = self.spells.iter().flat_map(|(from, until)| [*from, *until]);
            let next = bounds.filter(|bound| *bound > at).min();
            let end = at + left.mul_f64(factor);
            match next {
                Some(next) if next < end => {
                    left = left.saturating_sub((next - at).div_f64(factor));
                    at = next;
                }
                _ => return end,
            }
        }
        at
    }

    /// Reads a prompt that arrives at `at`; returns when its first event leaves.
    fn read(&mut self, prompt: &PromptShape, at: Instant) -> Instant {
        let is_cached = prompt.shared_parts().iter().all(|part| self.cached.contains(&part.id));
        let shared: u32 = prompt.shared_parts().iter().map(|part| part.tokens).sum();
        let tokens = if is_cached { prompt.tokens_in - shared } else { prompt.tokens_in };
        self.cached.extend(prompt.shared_parts().iter().map(|part| part.id));
        let usual = Duration::from_secs_f64(f64::from(tokens) / self.rate / 1000.0);
        self.busy_until = self.end_of_work(at.max(self.busy_until), usual);
        self.end_of_work(self.busy_until, BASE_TIME)
    }

    fn load(&self, at: Instant, states_slowdown: bool) -> StatedLoad {
        let counts = CallCounts { running: self.running.min(SLOTS), waiting: 0, slots: SLOTS };
        let load = StatedLoad::try_from(counts).expect("the counts are usable");
        if !states_slowdown {
            return load;
        }
        let percent = (self.factor_at(at) * 100.0).round() as u32;
        load.with_slowdown(percent.try_into().expect("the slowdown is usable"))
    }
}

#[derive(Clone, Debug)]
enum FleetEvent {
    Arrival { data_centre: usize },
    FirstEvent { router: usize, grant: GrantId, engine: UpstreamId, sent_at: Instant, call: CallId },
    End { router: usize, grant: GrantId, engine: UpstreamId },
    Report,
    Deadlines,
}

/// A running simulation.
pub struct EngineFleet {
    plan: EngineFleetPlan,
    start: Instant,
    now: Instant,
    random: StdRng,
    routers: Vec<SimulatedRouter>,
    engines: IndexMap<UpstreamId, SimulatedEngine>,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: IndexMap<u64, FleetEvent>,
    next_event: u64,
    calls: IndexMap<CallId, (PromptShape, CallRecord)>,
}

impl EngineFleet {
    /// Runs a simulation; returns the records of all calls in the order of their arrival.
    pub fn run(plan: EngineFleetPlan) -> Vec<CallRecord> {
        let mut fleet = Self::new(plan);
        while let Some(Reverse((at, id))) = fleet.queue.pop() {
            fleet.now = at;
            if let Some(event) = fleet.events.swap_remove(&id) {
                fleet.handle(event);
            }
        }
        fleet.calls.into_values().map(|(_, record)| record).collect()
    }

    fn new(plan: EngineFleetPlan) -> Self {
        let start = Instant::now();
        let mut fleet = Self {
            start,
            now: start,
            random: StdRng::seed_from_u64(plan.seed),
            routers: Vec::new(),
            engines: IndexMap::new(),
            queue: BinaryHeap::new(),
            events: IndexMap::new(),
            next_event: 0,
            calls: IndexMap::new(),
            plan,
        };
        for index in 0..fleet.plan.data_centres.len() {
            fleet.add_engines(index);
            fleet.push(start, FleetEvent::Arrival { data_centre: index });
        }
        for index in 0..fleet.plan.data_centres.len() {
            fleet.add_routers(index);
        }
        fleet.push(start + REPORT_TICK, FleetEvent::Report);
        fleet.push(start + DEADLINE_TICK, FleetEvent::Deadlines);
        fleet
    }

    fn add_engines(&mut self, data_centre: usize) {
        let plan = self.plan.data_centres[data_centre].clone();
        for (number, rate) in plan.engine_rates.iter().enumerate() {
            let engine = SimulatedEngine {
                data_centre: plan.name,
                rate: *rate,
                spells: self.spells(),
                factor: self.plan.spells.map_or(1.0, |spells| spells.factor),
                busy_until: self.start,
                cached: IndexSet::new(),
                running: 0,
            };
            self.engines.insert(format!("{}-{number}", plan.name).as_str().into(), engine);
        }
    }

    fn spells(&mut self) -> Vec<(Instant, Instant)> {
        let Some(plan) = self.plan.spells else { return Vec::new() };
        let mut spells = Vec::new();
        let mut at = self.start;
        while at < self.start + self.plan.duration {
            at += plan.mean_gap.mul_f64(self.exponential());
            spells.push((at, at + plan.length));
            at += plan.length;
        }
        spells
    }

    fn add_routers(&mut self, data_centre: usize) {
        let plan = self.plan.data_centres[data_centre].clone();
        for number in 0..plan.routers {
            let name = format!("router-{}-{number}", plan.name);
            let mut dispatcher = DirectDispatcher::new(
                name.as_str().into(),
                plan.name.into(),
                IndexMap::new(),
                fleet_bounds(),
            );
            let configuration = service_configuration("model", Some(MEMORY_TOKENS), None);
            dispatcher.apply(&configuration, self.start);
            for (id, engine) in &self.engines {
                let entry = UpstreamEntry {
                    data_centre: engine.data_centre.into(),
                    ..upstream_entry("model", SLOTS)
                };
                dispatcher.apply(&ViewChange::Upstream(id.clone(), entry), self.start);
            }
            let routers = self.plan.data_centres.iter().map(|plan| plan.routers).sum::<usize>();
            dispatcher.set_members(u32::try_from(routers).expect("there are few routers"));
            self.routers.push(SimulatedRouter { data_centre: plan.name, dispatcher, sequence: 0 });
        }
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.random.random::<f64>()).ln()
    }

    fn push(&mut self, at: Instant, event: FleetEvent) {
        self.next_event += 1;
        self.queue.push(Reverse((at, self.next_event)));
        self.events.insert(self.next_event, event);
    }

    fn is_over(&self) -> bool {
        self.now >= self.start + self.plan.duration
    }

    fn handle(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Arrival { data_centre } => self.arrive(data_centre),
            FleetEvent::FirstEvent { router, grant, engine, sent_at, call } => {
                self.receive_first_event(router, grant, engine, sent_at, call);
            }
            FleetEvent::End { router, grant, engine } => {
                self.engines[&engine].running -= 1;
                let outcome = CallOutcome::Completed;
                self.routers[router].dispatcher.record_end(grant, outcome, false, self.now);
                self.dispatch(router);
            }
            FleetEvent::Report => self.report(),
            FleetEvent::Deadlines => {
                (0..self.routers.len()).for_each(|router| self.dispatch(router));
                if !self.is_over() || self.routers.iter().any(|r| r.dispatcher.waiting() > 0) {
                    self.push(self.now + DEADLINE_TICK, FleetEvent::Deadlines);
                }
            }
        }
    }

    fn arrive(&mut self, data_centre: usize) {
        if self.is_over() {
            return;
        }
        let plan = self.plan.data_centres[data_centre].clone();
        let rate = (plan.call_rate)(self.now - self.start).max(0.1);
        let gap = Duration::from_secs_f64(self.exponential() / rate);
        self.push(self.now + gap, FleetEvent::Arrival { data_centre });
        let here: Vec<usize> = (0..self.routers.len())
            .filter(|router| self.routers[*router].data_centre == plan.name)
            .collect();
        let router = here[self.random.random_range(0..here.len())];
        let id = self.calls.len() as CallId + 1;
        let prompt = self.prompt(id);
        let call = PendingCall {
            objective: OBJECTIVE,
            fingerprint: self.random.random(),
            ..pending_call(id, "model", Some(prompt.clone()), self.now)
        };
        let record = CallRecord {
            arrived: self.now - self.start,
            home: plan.name,
            ran_at: None,
            engine: None,
            fate: CallFate::Refused,
        };
        self.calls.insert(id, (prompt, record));
        self.routers[router].dispatcher.enqueue(call, self.now);
        self.dispatch(router);
    }

    fn prompt(&mut self, id: CallId) -> PromptShape {
        let own = PromptPart { id: u64::MAX - id, tokens: self.plan.own_tokens };
        let mut parts = vec![own];
        if self.plan.shared_parts > 0 {
            let id = self.random.random_range(1..=self.plan.shared_parts);
            parts.insert(0, PromptPart { id, tokens: self.plan.shared_tokens });
        }
        let tokens_in = parts.iter().map(|part| part.tokens).sum();
        PromptShape { tokens_in, tokens_out: 50, parts }
    }

    fn dispatch(&mut self, router: usize) {
        for (id, decision) in self.routers[router].dispatcher.dispatch(self.now) {
            let CallDecision::Send(grant) = decision else { continue };
            let (prompt, record) = &mut self.calls[&id];
            let engine = &mut self.engines[&grant.upstream];
            record.ran_at = Some(engine.data_centre);
            record.engine = Some(grant.upstream.clone());
            let is_remote = engine.data_centre != record.home;
            let link = if is_remote { LINK_TIME } else { Duration::ZERO };
            let at = engine.read(prompt, self.now + link) + link;
            engine.running += 1;
            let event = FleetEvent::FirstEvent {
                router,
                grant: grant.id,
                engine: grant.upstream,
                sent_at: self.now,
                call: id,
            };
            self.push(at, event);
        }
    }

    fn receive_first_event(
        &mut self,
        router: usize,
        grant: GrantId,
        engine: UpstreamId,
        sent_at: Instant,
        call: CallId,
    ) {
        let now = self.now;
        let load = self.engines[&engine].load(now, self.plan.states_slowdown);
        let dispatcher = &mut self.routers[router].dispatcher;
        dispatcher.record_stated_load(grant, ReceivedLoad { load, at: now });
        dispatcher.record_first_event(grant, now - sent_at, Duration::ZERO, now);
        let (_, record) = &mut self.calls[&call];
        record.fate = CallFate::Answered(now - self.start - record.arrived);
        let answer_end = self.engines[&engine].end_of_work(now, ANSWER_TIME);
        self.push(answer_end, FleetEvent::End { router, grant, engine });
        self.dispatch(router);
    }

    fn report(&mut self) {
        for sender in 0..self.routers.len() {
            let router = &mut self.routers[sender];
            router.sequence += 1;
            let address = ([127, 0, 0, 1], 7000).into();
            let node = format!("router-{sender}").as_str().into();
            let mut report = PeerReport::new(node, address, 1, router.sequence);
            router.dispatcher.fill_report(&mut report, self.now);
            for (receiver, router) in self.routers.iter_mut().enumerate() {
                if receiver != sender {
                    router.dispatcher.record_report(report.clone(), self.now);
                }
            }
        }
        for router in 0..self.routers.len() {
            self.routers[router].dispatcher.refresh_from_peers(self.now);
            self.dispatch(router);
        }
        if !self.is_over() {
            self.push(self.now + REPORT_TICK, FleetEvent::Report);
        }
    }
}

/// Returns the fraction of the records that a condition holds for.
pub fn share_of(records: &[CallRecord], condition: impl Fn(&CallRecord) -> bool) -> f64 {
    records.iter().filter(|record| condition(record)).count() as f64 / records.len().max(1) as f64
}
