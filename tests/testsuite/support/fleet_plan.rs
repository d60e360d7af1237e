//! Plan of a simulated fleet, and what its teams got.

use std::sync::Arc;
use std::time::{Duration, Instant};

use godwitcrank::decision::direct::DirectDispatcher;
use godwitcrank::ids::TeamId;
use godwitcrank::routing::{RouteConfiguration, ServiceEntry, UpstreamEntry, ViewChange};
use indexmap::IndexMap;

use super::direct_path::{caller_limits, fleet_bounds};

/// A team and its callers.
#[derive(Clone, Debug)]
pub struct SimulatedTeam {
    /// Name of the team.
    pub name: TeamId,
    /// Calls per second.
    pub rate: f64,
    /// Index of the router that all its callers meet; `None` when they meet any.
    pub home: Option<usize>,
    /// Times from which its rate is multiplied by a factor; the factors of several times multiply.
    pub surges: Vec<(Duration, f64)>,
}

impl SimulatedTeam {
    /// Returns the calls per second at a time since the start.
    pub fn rate_at(&self, time: Duration) -> f64 {
        let begun = self.surges.iter().filter(|(begin, _)| time >= *begin);
        self.rate * begun.map(|(_, factor)| factor).product::<f64>()
    }
}

/// Processor time that a router spends, on a whole core.
#[derive(Clone, Copy, Debug)]
pub struct ProcessorCosts {
    /// A call until it is dispatched.
    pub call: Duration,
    /// The answer of a call, without further writes.
    pub answer: Duration,
    /// Each write of a long answer.
    pub write: Duration,
    /// The answer of a call that the dispatcher refuses.
    pub refusal: Duration,
    /// A call that is refused for overload.
    pub shed: Duration,
    /// A connection that is handed over, until the other router has the call.
    pub handoff: Duration,
    /// Each write of an answer that is relayed.
    pub relayed_write: Duration,
    /// Fraction of a core that is used without calls.
    pub fixed: f64,
}

impl ProcessorCosts {
    /// The least that a router can do with.
    pub const LOW: Self = Self {
        call: Duration::from_micros(120),
        answer: Duration::from_micros(80),
        write: Duration::from_micros(16),
        refusal: Duration::ZERO,
        shed: Duration::from_micros(50),
        handoff: Duration::from_micros(60),
        relayed_write: Duration::from_micros(10),
        fixed: 0.0,
    };

    /// Costs in a fleet of 29 routers, whose reports take time too.
    pub const LARGE_FLEET: Self = Self {
        call: Duration::from_micros(70),
        answer: Duration::from_micros(130),
        write: Duration::from_micros(16),
        refusal: Duration::from_micros(15),
        shed: Duration::from_micros(30),
        handoff: Duration::from_micros(60),
        relayed_write: Duration::from_micros(10),
        fixed: 0.027,
    };
}

/// Routers, engines and teams of a simulation.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Fraction of a processor core of each router.
    pub routers: Vec<f64>,
    /// Number of engines.
    pub engines: usize,
    /// Rate that the configuration states for all engines, in tokens per second.
    pub stated_rate: f64,
    /// The teams.
    pub teams: Vec<SimulatedTeam>,
    /// Processor time that routers spend.
    pub costs: ProcessorCosts,
    /// Fraction of the calls that have a long answer and little other work.
    pub long_answers: f64,
    /// Simulated time.
    pub length: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Work that a team asked for and got in each second, in tokens. A call counts once as asked, and
/// as got in the second in which it is sent.
#[derive(Clone, Debug, Default)]
pub struct TeamRecord {
    /// Work asked for, by second.
    pub asked: Vec<f64>,
    /// Work got, by second.
    pub got: Vec<f64>,
}

/// Creates the dispatcher of a router, with all engines and no peers.
pub fn dispatcher(index: usize, plan: &FleetPlan, now: Instant) -> DirectDispatcher {
    let mut dispatcher = DirectDispatcher::new(
        format!("router-{index}").into(),
        "caerdydd".into(),
        IndexMap::new(),
        fleet_bounds(),
    );
    dispatcher.apply(&configuration(plan.stated_rate), now);
    for engine in 0..plan.engines {
        let change = ViewChange::Upstream(format!("engine-{engine}").into(), engine_entry());
        dispatcher.apply(&change, now);
    }
    dispatcher.set_members(plan.routers.len() as u32);
    dispatcher
}

fn configuration(stated_rate: f64) -> ViewChange {
    ViewChange::Configuration(Arc::new(RouteConfiguration {
        version: 1,
        routes: Vec::new(),
        services: vec![ServiceEntry {
            name: "model".into(),
            connection_limit: 10_000,
            cold_period: Duration::ZERO,
            cold_rate: 0.0,
            memory_tokens: Some(10_000_000),
            scaling: None,
        }],
        teams: Vec::new(),
        limits: caller_limits(),
        work_rate: Some(stated_rate),
    }))
}

fn engine_entry() -> UpstreamEntry {
    UpstreamEntry {
        service: "model".into(),
        address: ([127, 0, 0, 1], 9000).into(),
        data_centre: "caerdydd".into(),
        version: "v1".into(),
        slots: 128,
        leaving: false,
        cold_left: Duration::ZERO,
        started: None,
    }
}
