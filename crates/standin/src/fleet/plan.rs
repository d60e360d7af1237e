//! Describes the processes and the configuration of a fleet.

use std::path::{Path, PathBuf};

use indexmap::IndexMap;

use super::node::{NodeKind, NodeSpec};

/// Paths of the programs that a fleet starts.
#[derive(Clone, Debug)]
pub struct FleetPrograms {
    /// `godwitcrank-router`.
    pub router: PathBuf,
    /// `godwitcrank-agent`.
    pub agent: PathBuf,
    /// `godwitcrank-standin`.
    pub standin: PathBuf,
}

impl FleetPrograms {
    /// Returns the paths of the programs in one folder.
    pub fn in_folder(folder: &Path) -> Self {
        Self {
            router: folder.join("godwitcrank-router"),
            agent: folder.join("godwitcrank-agent"),
            standin: folder.join("godwitcrank-standin"),
        }
    }
}

/// A route of a service in the configuration.
#[derive(Clone, Debug)]
pub struct RoutePlan {
    /// Service that the route belongs to.
    pub service: String,
    /// Path prefix that requests must match.
    pub prefix: String,
    /// Whether requests on this route may be executed more than once.
    pub repeatable: bool,
}

/// Processes, teams and settings of a fleet.
///
/// The processes are named by kind and number: routers `router-1`, …; engines `engine-1`, … of the
/// service `bench`; plain services `plain-1`, … of the service `booking`. The agent of an upstream
/// is `agent-<upstream>`. Nodes are assigned to data centres round-robin.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// Name of the test or experiment; part of the name of the temporary folder.
    pub name: String,
    /// Programs to start.
    pub programs: FleetPrograms,
    /// Number of routers.
    pub routers: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of plain services.
    pub plain_services: usize,
    /// Concurrent requests of each engine.
    pub engine_slots: u64,
    /// Concurrent requests of each plain service.
    pub plain_slots: u64,
    /// Teams with their shares.
    pub teams: IndexMap<String, f64>,
    /// Ids of the data centres.
    pub data_centres: Vec<String>,
    /// Routes of all services.
    pub routes: Vec<RoutePlan>,
    /// Additional arguments of `godwitcrank-standin engine`.
    pub engine_arguments: Vec<String>,
    /// Additional arguments of `godwitcrank-standin plain`.
    pub plain_arguments: Vec<String>,
    /// Additional arguments of `godwitcrank-standin platform`.
    pub platform_arguments: Vec<String>,
    /// Router settings (TOML) that override the generated ones.
    pub router_settings: String,
    /// Agent settings (TOML) that override the generated ones.
    pub agent_settings: String,
    /// Whether all connections between processes go through a fault proxy.
    pub faults: bool,
}

impl FleetPlan {
    /// Plans one router, one engine and one plain service in one data centre, with the teams
    /// `team-1` and `team-2`. Only the route of completions is repeatable.
    pub fn new(name: &str, programs: FleetPrograms) -> Self {
        let teams = [("team-1".to_owned(), 1.0), ("team-2".to_owned(), 1.0)];
        let completions = RoutePlan {
            service: "bench".to_owned(),
            prefix: "/v1/completions".to_owned(),
            repeatable: true,
        };
        Self {
            name: name.to_owned(),
            programs,
            routers: 1,
            engines: 1,
            plain_services: 1,
            engine_slots: 8,
            plain_slots: 8,
            teams: teams.into(),
            data_centres: vec!["caerdydd".to_owned()],
            routes: vec![completions],
            engine_arguments: Vec::new(),
            plain_arguments: Vec::new(),
            platform_arguments: Vec::new(),
            router_settings: String::new(),
            agent_settings: String::new(),
            faults: false,
        }
    }

    /// Returns the names of the upstreams with the arguments of their processes.
    pub(super) fn upstreams(&self) -> IndexMap<String, Vec<String>> {
        let engine = |name: String| (name, "engine", self.engine_slots, &self.engine_arguments);
        let plain = |name: String| (name, "plain", self.plain_slots, &self.plain_arguments);
        let engines = (1..=self.engines).map(|index| engine(format!("engine-{index}")));
        let plain_services = (1..=self.plain_services).map(|index| plain(format!("plain-{index}")));
        let upstreams = engines.chain(plain_services).map(|(name, role, slots, additional)| {
            let mut arguments = vec![role.to_owned(), "--slots".to_owned(), slots.to_string()];
            arguments.extend(additional.iter().cloned());
            (name, arguments)
        });
        upstreams.collect()
    }

    /// Returns the agents, followed by the routers.
    pub(super) fn nodes(&self) -> Vec<NodeSpec> {
        let centre = |index: usize| self.data_centres[index % self.data_centres.len()].clone();
        let agents = self.upstreams().into_keys().enumerate().map(|(index, upstream)| NodeSpec {
            name: format!("agent-{upstream}"),
            kind: NodeKind::Agent { upstream },
            data_centre: centre(index),
        });
        let routers = (0..self.routers).map(|index| NodeSpec {
            name: format!("router-{}", index + 1),
            kind: NodeKind::Router,
            data_centre: centre(index),
        });
        agents.chain(routers).collect()
    }

    /// Returns the service of an upstream, which follows from its name.
    pub(super) fn service_of(upstream: &str) -> &'static str {
        if upstream.starts_with("engine-") { "bench" } else { "booking" }
    }

    /// Returns the number of concurrent requests of an upstream.
    pub(super) fn slots_of(&self, upstream: &str) -> u64 {
        if upstream.starts_with("engine-") { self.engine_slots } else { self.plain_slots }
    }
}
