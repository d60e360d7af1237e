//! A fleet of separate processes for tests and experiments.
//!
//! [`RunningFleet::start`] starts the platform, upstreams, agents and routers that a [`FleetPlan`]
//! describes, writes the configuration row and the VM list, and waits until every process is
//! ready. With `faults` in the plan, every connection between two processes goes through a link of
//! a fault proxy. Dropping the fleet kills all processes, also during a panic.

mod balancer;
mod checked_call;
mod configuration;
mod links;
mod node;
mod plan;
mod process;
mod requests;
mod settings;

use std::net::SocketAddr;
use std::path::PathBuf;

use eyre::{OptionExt, WrapErr, ensure};
use indexmap::IndexMap;
use serde_json::{Value, json};

pub use balancer::RouterBalancer;
pub use checked_call::CheckedCall;
pub use configuration::{OPERATOR_KEY, key_hash, team_key};
pub use links::FleetLinks;
pub use node::{FleetNode, NodeKind};
pub use plan::{FleetPlan, FleetPrograms, RoutePlan};
pub use process::{ChildProcess, ProcessSignal, wait_until};
pub use requests::FleetCall;
pub use settings::merge_settings;

use crate::client::HttpClient;
use crate::proxy::LinkBehaviour;
use balancer::is_ready;
use process::{ProcessFolder, StartingProcess};

/// Name of the platform in link names.
pub const PLATFORM: &str = "platform";

/// Source in the names of links that all processes share.
pub const ANY_SOURCE: &str = "any";

/// A fleet whose processes have been started.
pub struct RunningFleet {
    plan: FleetPlan,
    client: HttpClient,
    links: Option<FleetLinks>,
    /// Routers and agents by name, in start order.
    nodes: IndexMap<String, FleetNode>,
    /// Upstreams by name.
    upstreams: IndexMap<String, ChildProcess>,
    platform: ChildProcess,
    // Declared last, so that it is removed after the processes that write their logs there.
    folder: ProcessFolder,
}

impl RunningFleet {
    /// Starts all processes and waits until the routers and agents are ready.
    pub async fn start(plan: FleetPlan) -> eyre::Result<Self> {
        let folder = ProcessFolder::create(&plan.name)?;
        let mut arguments = vec!["platform".to_owned()];
        arguments.extend(plan.platform_arguments.iter().cloned());
        let standin = &plan.programs.standin;
        let platform = StartingProcess::spawn(&folder, PLATFORM, standin, &arguments)?;
        let platform = platform.wait_report().await?;
        let links = match plan.faults {
            true => {
                let arguments = ["proxy".to_owned()];
                let starting = StartingProcess::spawn(&folder, "proxy", standin, &arguments)?;
                Some(FleetLinks::start(starting.wait_report().await?))
            }
            false => None,
        };
        let mut fleet = Self {
            client: HttpClient::default(),
            links,
            nodes: IndexMap::new(),
            upstreams: IndexMap::new(),
            platform,
            folder,
            plan,
        };
        fleet.put_configuration(&configuration::document(&fleet.plan)).await?;
        fleet.start_upstreams().await?;
        let specs = fleet.plan.nodes();
        for node in &specs {
            fleet.start_node(node.clone()).await?;
        }
        fleet.wait_ready().await?;
        Ok(fleet)
    }

    async fn start_upstreams(&mut self) -> eyre::Result<()> {
        for (name, arguments) in self.plan.upstreams() {
            let program = &self.plan.programs.standin;
            let starting = StartingProcess::spawn(&self.folder, &name, program, &arguments)?;
            self.upstreams.insert(name, starting.wait_report().await?);
        }
        Ok(())
    }

    /// Returns the plan that the fleet was started with.
    pub fn plan(&self) -> &FleetPlan {
        &self.plan
    }

    /// Returns the HTTP client that the fleet uses for control interfaces.
    pub fn client(&self) -> &HttpClient {
        &self.client
    }

    /// Returns the address of the platform itself, which bypasses all links.
    pub fn platform_address(&self) -> eyre::Result<SocketAddr> {
        self.platform.address("address")
    }

    /// Returns the address of an upstream itself, which bypasses all links.
    pub fn upstream_address(&self, name: &str) -> eyre::Result<SocketAddr> {
        let upstream = self.upstreams.get(name).ok_or_eyre(format!("unknown upstream {name}"))?;
        upstream.address("address")
    }

    /// Returns a router or an agent.
    pub fn node(&self, name: &str) -> eyre::Result<&FleetNode> {
        self.nodes.get(name).ok_or_eyre(format!("unknown node {name}"))
    }

    /// Iterates over the routers and agents.
    pub fn nodes(&self) -> impl Iterator<Item = &FleetNode> {
        self.nodes.values()
    }

    /// Returns the address at which a router serves callers.
    pub fn caller_address(&self, router: &str) -> eyre::Result<SocketAddr> {
        self.node(router)?.process.address("caller")
    }

    /// Returns the caller addresses of all routers.
    pub fn caller_addresses(&self) -> eyre::Result<Vec<SocketAddr>> {
        let routers = self.nodes.values().filter(|node| node.kind == NodeKind::Router);
        routers.map(|router| router.process.address("caller")).collect()
    }

    /// Starts a balancer over all routers that have been started so far.
    pub fn balancer(&self) -> eyre::Result<RouterBalancer> {
        Ok(RouterBalancer::start(self.caller_addresses()?))
    }

    /// Overwrites the configuration row, without a condition on its version.
    pub async fn put_configuration(&self, document: &Value) -> eyre::Result<()> {
        let body = json!({ "writes": [{ "key": "configuration/current", "value": document }] });
        let platform = self.platform_address()?;
        let answer =
            self.client.call(http::Method::POST, platform, "/table/transact", &body).await?;
        ensure!(answer.status.is_success(), "the table answered {}", answer.status);
        Ok(())
    }

    /// Builds the configuration document of the plan.
    pub fn configuration_document(&self) -> Value {
        configuration::document(&self.plan)
    }

    /// Reads a document of an upstream's control interface, such as `counters` or `ledger`.
    pub async fn read_control(&self, upstream: &str, document: &str) -> eyre::Result<Value> {
        let address = self.upstream_address(upstream)?;
        self.client.get_json(address, &format!("/control/{document}")).await
    }

    /// Replaces the injected faults of an upstream.
    pub async fn set_behaviour(&self, upstream: &str, behaviour: &Value) -> eyre::Result<()> {
        let address = self.upstream_address(upstream)?;
        self.client.put_json(address, "/control/behaviour", behaviour).await.map(|_| ())
    }

    /// Replaces the injected faults of the table service and the object store.
    pub async fn set_store_behaviour(&self, behaviour: &Value) -> eyre::Result<()> {
        self.client
            .put_json(self.platform_address()?, "/control/store", behaviour)
            .await
            .map(|_| ())
    }

    /// Sends a signal to a router, an agent or an upstream.
    pub fn signal(&self, name: &str, signal: ProcessSignal) -> eyre::Result<()> {
        let process = self.nodes.get(name).map(|node| &node.process);
        let process = process.or_else(|| self.upstreams.get(name));
        process.ok_or_eyre(format!("unknown process {name}"))?.signal(signal)
    }

    /// Waits for a router or an agent to exit; returns its exit code.
    pub async fn wait_exit(&mut self, name: &str) -> eyre::Result<Option<i32>> {
        let node = self.nodes.get_mut(name).ok_or_eyre(format!("unknown node {name}"))?;
        node.process.wait_exit().await
    }

    /// Kills a router or an agent if it still runs, and starts it again on new ports.
    pub async fn restart(&mut self, name: &str) -> eyre::Result<()> {
        let node = self.nodes.shift_remove(name).ok_or_eyre(format!("unknown node {name}"))?;
        let spec = node.spec();
        node.process.kill().await?;
        self.start_node(spec).await
    }

    /// Sets the behaviour of every link for which `is_selected(source, target)` holds; both are
    /// names of nodes or upstreams, [`PLATFORM`] or [`ANY_SOURCE`]. Requires `faults` in the plan.
    pub async fn set_links(
        &self,
        behaviour: LinkBehaviour,
        is_selected: impl Fn(&str, &str) -> bool,
    ) -> eyre::Result<usize> {
        let links = self.links.as_ref().ok_or_eyre("the plan has no fault proxy")?;
        links.set(behaviour, is_selected).await
    }

    /// Sets the behaviour of every link from and to a node, except the link to its upstream.
    pub async fn set_node_links(
        &self,
        node: &str,
        behaviour: LinkBehaviour,
    ) -> eyre::Result<usize> {
        let is_upstream = |name: &str| self.upstreams.contains_key(name);
        self.set_links(behaviour, |source, target| {
            (source == node && !is_upstream(target)) || target == node
        })
        .await
    }

    /// Reads what a process has written to its log so far.
    pub fn read_log(&self, name: &str) -> eyre::Result<String> {
        let path = self.folder.log_file(name);
        std::fs::read_to_string(&path).wrap_err_with(|| format!("cannot read {}", path.display()))
    }

    /// Returns the folder of the settings files and logs.
    pub fn folder(&self) -> PathBuf {
        self.folder.path()
    }

    /// Waits until every router and agent answers 200 on `/readyz`.
    pub async fn wait_ready(&self) -> eyre::Result<()> {
        for node in self.nodes.values() {
            let address = node.ready_address()?;
            let what = format!("{} is ready", node.name);
            wait_until(&what, || is_ready(&self.client, address)).await?;
        }
        Ok(())
    }

    /// Kills all processes, the nodes in reverse start order and the platform last.
    pub async fn close(self) -> eyre::Result<()> {
        for node in self.nodes.into_values().rev() {
            node.process.kill().await?;
        }
        for upstream in self.upstreams.into_values() {
            upstream.kill().await?;
        }
        if let Some(links) = self.links {
            links.close().await?;
        }
        self.platform.kill().await
    }
}
