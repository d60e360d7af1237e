//! Fleet and load of the fairness scenarios.

use std::sync::Arc;

use eyre::OptionExt;
use futures::future::join_all;
use indexmap::IndexMap;
use serde_json::Value;

use super::{FairnessKind, FairnessScenario};
use crate::bench::options::BenchOptions;
use crate::fleet::{CheckedCall, FleetPlan, RouterBalancer, RunningFleet};
use crate::load::{CallTarget, ClosedLoad};

/// Ids of the data centres.
const DATA_CENTRES: [&str; 3] = ["caerdydd", "abertawe", "aberystwyth"];

/// Number of routers, one in each data centre.
const ROUTER_COUNT: usize = 3;

/// Shares of the 16 teams, as in `examples/cymru.toml`.
const TEAM_SHARES: [u32; 16] = [8, 2, 1, 1, 4, 2, 1, 1, 2, 2, 1, 1, 2, 2, 1, 1];

/// Index of the flooding team, which has one of the smallest shares.
const FLOODING_TEAM: usize = 3;

/// Callers of a team for each slot of its fair portion. Twice the slots keep requests waiting also
/// while answers are in transit.
const CALLERS_PER_SLOT: f64 = 2.0;

/// Additional callers of each team.
const EXTRA_CALLERS: u64 = 6;

/// Largest number of prompt tokens; a prompt consists of the seed, the team and the call's number.
const PROMPT_TOKENS: u64 = 6;

/// Time in seconds until an offer has reached every eligible agent.
const PLACEMENT_TIME: f64 = 0.1;

/// Size, teams and load of the fleet of a scenario.
pub(super) struct FairnessSetup {
    pub(super) kind: FairnessKind,
    pub(super) scenario: FairnessScenario,
    pub(super) shares: IndexMap<String, f64>,
}

impl FairnessSetup {
    pub(super) fn new(kind: FairnessKind, scenario: FairnessScenario) -> Self {
        let shares = TEAM_SHARES.iter().enumerate();
        let shares = shares.map(|(team, share)| (format!("team-{team}"), f64::from(*share)));
        Self { kind, scenario, shares: shares.collect() }
    }

    pub(super) fn engines(&self) -> Vec<String> {
        (1..=self.scenario.engines).map(|engine| format!("engine-{engine}")).collect()
    }

    pub(super) fn slots(&self) -> u64 {
        self.scenario.engines as u64 * self.scenario.slots
    }

    /// Returns the largest cost of a request in tokens.
    pub(super) fn largest_request(&self) -> f64 {
        (self.scenario.max_tokens + PROMPT_TOKENS) as f64
    }

    /// Returns the bound on the gap from `docs/design.md`, `(2·S·C + R·T) / w_min`, in largest
    /// requests per share.
    pub(super) fn gap_bound(&self) -> f64 {
        let slots = self.slots() as f64;
        let rate = slots * self.scenario.tokens_per_second;
        let least = self.shares.values().copied().fold(f64::INFINITY, f64::min);
        let requests = 2.0 * slots + rate * self.staleness() / self.largest_request();
        requests / least
    }

    /// Returns the time `T` of the bound in seconds: the staleness of accounts, calculated as in
    /// `docs/design.md`, plus the placement time.
    fn staleness(&self) -> f64 {
        let report = 320.0 + 16.0 * self.shares.len() as f64;
        let tree_interval = (5.0 * 2.0 * report / 18_000.0_f64).max(0.1);
        let centres = (DATA_CENTRES.len() - 1) as f64;
        let centre_interval = 2.0 * centres * (report + 320.0) / (18_000.0 * 0.6);
        let nodes = (self.scenario.engines + ROUTER_COUNT).div_ceil(DATA_CENTRES.len());
        // The levels of the account tree hold up to 1, 2, 8 and 32 nodes.
        let depth = match nodes {
            0..=1 => 0.0,
            2..=3 => 1.0,
            4..=11 => 2.0,
            _ => 3.0,
        };
        2.0 * depth * tree_interval + f64::max(centre_interval, 0.1) + PLACEMENT_TIME
    }

    pub(super) fn plan(&self, options: &BenchOptions, policy: &str) -> eyre::Result<FleetPlan> {
        let settings = format!("[fairness]\npolicy = \"{policy}\"\n");
        let mut engine_arguments = vec![
            "--seed".to_owned(),
            options.seed.to_string(),
            "--tokens-per-second".to_owned(),
            self.scenario.tokens_per_second.to_string(),
        ];
        if self.kind == FairnessKind::Cold {
            engine_arguments.extend(["--cold-start-ms".to_owned(), "2000".to_owned()]);
        }
        Ok(FleetPlan {
            routers: ROUTER_COUNT,
            engines: self.scenario.engines,
            plain_services: 0,
            engine_slots: self.scenario.slots,
            teams: self.shares.clone(),
            data_centres: DATA_CENTRES.map(str::to_owned).to_vec(),
            engine_arguments,
            router_settings: format!("{settings}[limits]\nteam-queue = 1024\n"),
            agent_settings: settings,
            faults: self.kind == FairnessKind::Partition,
            ..FleetPlan::new(
                &format!("bench-{}-{policy}", self.kind.name()),
                options.find_programs()?,
            )
        })
    }

    /// Starts the callers of all teams, enough to keep every team backlogged.
    pub(super) fn start_loads(
        &self,
        fleet: &RunningFleet,
        options: &BenchOptions,
    ) -> eyre::Result<Vec<ClosedLoad>> {
        let total: f64 = self.shares.values().sum();
        let mut loads = Vec::new();
        for (index, (team, share)) in self.shares.iter().enumerate() {
            let portion = self.slots() as f64 * share / total;
            let mut callers = (CALLERS_PER_SLOT * portion).ceil() as u64 + EXTRA_CALLERS;
            let floods = matches!(self.kind, FairnessKind::Flood | FairnessKind::Restart);
            let mut routers: Vec<usize> = (1..=ROUTER_COUNT).collect();
            if floods && index == FLOODING_TEAM {
                callers = self.scenario.flood_callers;
                routers = vec![1];
            }
            if self.kind == FairnessKind::Uneven {
                routers = vec![1 + index % ROUTER_COUNT];
            }
            loads.push(ClosedLoad::start(
                CallTarget::Routers(Arc::new(balance_routers(fleet, &routers)?)),
                callers,
                self.calls(team, options.seed),
            ));
        }
        Ok(loads)
    }

    fn calls(&self, team: &str, seed: u64) -> crate::load::CallSource {
        let (team, tokens) = (team.to_owned(), self.scenario.max_tokens);
        Arc::new(move |number| {
            CheckedCall::completion(&team, &format!("{seed} {team} {number}"), tokens)
        })
    }

    /// Reads the counters of all engines.
    pub(super) async fn read_engines(&self, fleet: &RunningFleet) -> eyre::Result<Vec<Value>> {
        let engines = self.engines();
        let reads = engines.iter().map(|engine| fleet.read_control(engine, "counters"));
        join_all(reads).await.into_iter().collect()
    }

    /// Returns the data centre of a node, or of the agent of an upstream.
    pub(super) fn data_centre_of(fleet: &RunningFleet, name: &str) -> Option<String> {
        let agent = format!("agent-{name}");
        let node = fleet.node(name).or_else(|_| fleet.node(&agent)).ok()?;
        Some(node.data_centre.clone())
    }

    /// Returns the data centre that the partition isolates.
    pub(super) fn partitioned_centre() -> &'static str {
        DATA_CENTRES[0]
    }
}

fn balance_routers(fleet: &RunningFleet, numbers: &[usize]) -> eyre::Result<RouterBalancer> {
    let addresses: eyre::Result<Vec<_>> =
        numbers.iter().map(|number| fleet.caller_address(&format!("router-{number}"))).collect();
    let addresses = addresses?;
    addresses.first().ok_or_eyre("no router is selected")?;
    Ok(RouterBalancer::start(addresses))
}
