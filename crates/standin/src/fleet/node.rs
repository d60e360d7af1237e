//! Routers and agents of a fleet.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::plan::FleetPlan;
use super::process::{ChildProcess, StartingProcess};
use super::settings::{NodeAddresses, node_settings};
use super::{ANY_SOURCE, PLATFORM, RunningFleet};

/// Role of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeKind {
    /// A router.
    Router,
    /// The agent beside an upstream.
    Agent {
        /// Name of the upstream.
        upstream: String,
    },
}

/// A node to be started.
#[derive(Clone, Debug)]
pub(super) struct NodeSpec {
    pub(super) name: String,
    pub(super) kind: NodeKind,
    pub(super) data_centre: String,
}

/// A node whose process has been started.
pub struct FleetNode {
    /// Node id in the settings and the VM list.
    pub name: String,
    /// Router or agent.
    pub kind: NodeKind,
    /// Data centre that the node is assigned to.
    pub data_centre: String,
    /// Process with the addresses that it reported.
    pub process: ChildProcess,
}

impl FleetNode {
    pub(super) fn spec(&self) -> NodeSpec {
        NodeSpec {
            name: self.name.clone(),
            kind: self.kind.clone(),
            data_centre: self.data_centre.clone(),
        }
    }

    /// Returns the address that answers `/readyz`.
    pub fn ready_address(&self) -> eyre::Result<SocketAddr> {
        match self.kind {
            NodeKind::Router => self.process.address("caller"),
            NodeKind::Agent { .. } => self.process.address("peer"),
        }
    }
}

impl RunningFleet {
    /// Starts a router or an agent, points the links at it and adds it to the VM list.
    pub(super) async fn start_node(&mut self, spec: NodeSpec) -> eyre::Result<()> {
        let addresses = self.node_addresses(&spec).await?;
        let settings = node_settings(&self.plan, &spec, &addresses)?;
        let file = self.folder.write(&format!("{}.toml", spec.name), &settings)?;
        let program = match spec.kind {
            NodeKind::Router => &self.plan.programs.router,
            NodeKind::Agent { .. } => &self.plan.programs.agent,
        };
        let arguments = ["--settings".to_owned(), file.display().to_string()];
        let starting = StartingProcess::spawn(&self.folder, &spec.name, program, &arguments)?;
        let process = starting.wait_report().await?;
        let peer = process.address("peer")?;
        self.retarget_node_links(&spec.name, peer).await?;
        self.register_node(&spec, peer, "live").await?;
        let NodeSpec { name, kind, data_centre } = spec;
        self.nodes.insert(name.clone(), FleetNode { name, kind, data_centre, process });
        Ok(())
    }

    async fn node_addresses(&mut self, spec: &NodeSpec) -> eyre::Result<NodeAddresses> {
        let platform = self.platform_address()?;
        let upstream = match &spec.kind {
            NodeKind::Router => None,
            NodeKind::Agent { upstream } => {
                Some((upstream.as_str(), self.upstream_address(upstream)?))
            }
        };
        let Some(links) = &mut self.links else {
            let upstream = upstream.map(|(_, address)| address);
            return Ok(NodeAddresses { platform, advertised: None, upstream });
        };
        let name = &spec.name;
        // The node's port is only known once its process has started; until then the link needs
        // some other target, here the platform.
        let advertised = links.address(ANY_SOURCE, name, platform).await?;
        let platform = links.address(name, PLATFORM, platform).await?;
        let upstream = match upstream {
            Some((upstream, address)) => Some(links.address(name, upstream, address).await?),
            None => None,
        };
        Ok(NodeAddresses { platform, advertised: Some(advertised), upstream })
    }

    /// Points the links to a node at its current address, and sets the VM list's view of each
    /// other node so that it contains that node's own links.
    async fn retarget_node_links(&mut self, name: &str, peer: SocketAddr) -> eyre::Result<()> {
        let Some(links) = &mut self.links else { return Ok(()) };
        links.retarget(ANY_SOURCE, name, peer).await?;
        let nodes = self.plan.nodes();
        for source in nodes.iter().filter(|source| source.name != name) {
            links.address(&source.name, name, peer).await?;
            links.retarget(&source.name, name, peer).await?;
            let view = links.view(&source.name);
            let (platform, path) =
                (self.platform.address("address")?, format!("/views/{}", source.name));
            self.client.put_json(platform, &path, &view).await?;
        }
        Ok(())
    }

    /// Adds a node to the VM list or updates its entry; `state` is `live` or `leaving`.
    pub async fn register_vm(&self, name: &str, state: &str) -> eyre::Result<()> {
        let node = self.node(name)?;
        self.register_node(&node.spec(), node.process.address("peer")?, state).await
    }

    /// Removes a node from the VM list.
    pub async fn deregister_vm(&self, name: &str) -> eyre::Result<()> {
        let (platform, path) = (self.platform_address()?, format!("/vms/{name}"));
        self.client.call(http::Method::DELETE, platform, &path, &Value::Null).await.map(|_| ())
    }

    async fn register_node(
        &self,
        spec: &NodeSpec,
        peer: SocketAddr,
        state: &str,
    ) -> eyre::Result<()> {
        let (role, labels) = match &spec.kind {
            NodeKind::Router => ("router", json!({})),
            NodeKind::Agent { upstream } => {
                let labels = json!({
                    "service": FleetPlan::service_of(upstream),
                    "upstream": upstream,
                    "version": "1",
                });
                ("agent", labels)
            }
        };
        let entry = json!({
            "node": spec.name, "role": role, "address": peer,
            "data-centre": spec.data_centre, "state": state, "labels": labels,
        });
        let (platform, path) = (self.platform_address()?, format!("/vms/{}", spec.name));
        self.client.put_json(platform, &path, &entry).await.map(|_| ())
    }
}
