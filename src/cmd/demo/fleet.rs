//! The daemons and stand-ins of the demo, run as tasks of one process on loopback addresses.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::{OptionExt, WrapErr};
use futures::future::BoxFuture;
use godwitcrank::agent::AgentDaemon;
use godwitcrank::configuration::{CONFIGURATION_ROW, RawConfiguration, RawUpstream, ServiceKind};
use godwitcrank::exchange::USAGE_PATH;
use godwitcrank::router::RouterDaemon;
use godwitcrank::settings::{NodeRole, ProcessSettings, RawSettings};
use godwitcrank::supervisor::{ChildSpec, StopSignal, SupervisorError, SupervisorTree};
use godwitcrank_standin::client::HttpClient;
use godwitcrank_standin::engine::{EngineOptions, RawEngineOptions, RunningEngine};
use godwitcrank_standin::plain::{PlainOptions, RawPlainOptions, RunningPlain};
use godwitcrank_standin::platform::{PlatformOptions, RawPlatformOptions, RunningPlatform};
use http::Method;
use serde_json::{Value, json};
use tokio::task::JoinHandle;

/// Example configuration that the demo's fleet runs with.
const CONFIGURATION: &str = include_str!("../../../examples/cymru.toml");

/// Number of routers.
const ROUTER_COUNT: usize = 2;

/// Number of requests that an engine runs at the same time.
pub const ENGINE_SLOTS: u64 = 4;

/// Tokens per second that one slot of an engine produces.
pub const TOKENS_PER_SECOND: f64 = 50.0;

/// Maximum time until all routers are ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// A running fleet whose daemons are children of one supervisor.
pub struct DemoFleet {
    /// Configuration that the fleet was started with.
    pub configuration: RawConfiguration,
    /// Callers' addresses of the routers.
    pub routers: Vec<SocketAddr>,
    /// Peer addresses of all daemons.
    pub peers: Vec<SocketAddr>,
    /// Number of model engines.
    pub engine_count: usize,
    /// HTTP client for requests to the fleet.
    pub client: HttpClient,
    standins: Vec<RunningStandin>,
    stop: StopSignal,
    tree: JoinHandle<Result<(), SupervisorError>>,
}

/// A running stand-in.
enum RunningStandin {
    Platform(RunningPlatform),
    Engine(RunningEngine),
    Plain(RunningPlain),
}

impl RunningStandin {
    async fn close(self) {
        match self {
            Self::Platform(platform) => platform.close().await,
            Self::Engine(engine) => engine.close().await,
            Self::Plain(plain) => plain.close().await,
        }
    }
}

impl DemoFleet {
    /// Starts the stand-ins and the daemons.
    pub async fn start() -> eyre::Result<Self> {
        let configuration: RawConfiguration =
            toml::from_str(CONFIGURATION).wrap_err("examples/cymru.toml is malformed")?;
        let client = HttpClient::default();
        let mut builder = FleetBuilder::start(client.clone(), &configuration).await?;
        for router in 1..=ROUTER_COUNT {
            builder.add_router(router, &configuration.data_centres[0].id).await?;
        }
        let mut engine_count = 0;
        for upstream in &configuration.upstreams {
            let service =
                configuration.services.iter().find(|service| service.id == upstream.service);
            let kind = service.ok_or_eyre("an upstream names an unknown service")?.kind;
            engine_count += usize::from(kind == ServiceKind::Model);
            builder.add_upstream(upstream, kind).await?;
        }
        let stop = StopSignal::new();
        let FleetBuilder { routers, peers, standins, tree, .. } = builder;
        let tree = tokio::spawn(tree.run(stop.clone()));
        Ok(Self { configuration, routers, peers, engine_count, client, standins, stop, tree })
    }

    /// Waits until all routers are ready.
    pub async fn wait_ready(&self) -> eyre::Result<()> {
        let all_ready = async {
            for router in &self.routers {
                while !self.is_ready(*router).await {
                    tokio::time::sleep(Duration::from_millis(50)).await;
                }
            }
        };
        tokio::time::timeout(READY_TIMEOUT, all_ready)
            .await
            .wrap_err_with(|| format!("the routers were not ready within {READY_TIMEOUT:?}"))
    }

    async fn is_ready(&self, router: SocketAddr) -> bool {
        let answer = self.client.call(Method::GET, router, "/readyz", &Value::Null).await;
        answer.is_ok_and(|answer| answer.status.is_success())
    }

    /// Returns the bytes that each daemon has used for the account exchange since its start, in the
    /// order of `peers`.
    pub async fn exchange_bytes(&self) -> eyre::Result<Vec<u64>> {
        let mut bytes = Vec::with_capacity(self.peers.len());
        for peer in &self.peers {
            let answer = self.client.call(Method::GET, *peer, USAGE_PATH, &Value::Null).await?;
            bytes.push(answer.json()?["exchange-bytes"].as_u64().unwrap_or(0));
        }
        Ok(bytes)
    }

    /// Stops the daemons gracefully, then the stand-ins.
    pub async fn close(self) -> eyre::Result<()> {
        self.stop.cancel();
        let result = self.tree.await.wrap_err("the supervisor panicked")?;
        for standin in self.standins.into_iter().rev() {
            standin.close().await;
        }
        result.map_err(eyre::Report::from)
    }
}

/// Starts the members of the fleet one after another.
struct FleetBuilder {
    client: HttpClient,
    platform: SocketAddr,
    routers: Vec<SocketAddr>,
    peers: Vec<SocketAddr>,
    standins: Vec<RunningStandin>,
    tree: SupervisorTree,
}

impl FleetBuilder {
    async fn start(client: HttpClient, configuration: &RawConfiguration) -> eyre::Result<Self> {
        let options = PlatformOptions::try_from(RawPlatformOptions::default())?;
        let platform = RunningPlatform::start(loopback_address(), options).await?;
        let address = platform.address();
        let document = json!({
            "conditions": [],
            "writes": [{"key": CONFIGURATION_ROW, "value": configuration}],
        });
        client.call(Method::POST, address, "/table/transact", &document).await?;
        Ok(Self {
            client,
            platform: address,
            routers: Vec::new(),
            peers: Vec::new(),
            standins: vec![RunningStandin::Platform(platform)],
            tree: SupervisorTree::new("demo"),
        })
    }

    async fn add_router(&mut self, number: usize, data_centre: &str) -> eyre::Result<()> {
        let id = format!("router-{number}");
        let text = self.format_settings(&id, data_centre, "caller = \"127.0.0.1:0\"", "");
        let daemon = RouterDaemon::bind(parse_settings(text, NodeRole::Router)?).await?;
        let report = daemon.listen_report();
        self.routers.push(report.caller.ok_or_eyre("the router has no address for callers")?);
        self.register_vm(&id, "router", report.peer, data_centre, json!({})).await?;
        self.add_child("router", move |stop| Box::pin(daemon.run(stop)));
        Ok(())
    }

    async fn add_upstream(
        &mut self,
        upstream: &RawUpstream,
        kind: ServiceKind,
    ) -> eyre::Result<()> {
        let standin = start_standin(kind).await?;
        let (address, slots) = match &standin {
            RunningStandin::Engine(engine) => (engine.address(), ENGINE_SLOTS),
            RunningStandin::Plain(plain) => (plain.address(), ENGINE_SLOTS),
            RunningStandin::Platform(platform) => (platform.address(), 1),
        };
        self.standins.push(standin);
        let upstream_section = format!(
            "[upstream]\nid = \"{}\"\nservice = \"{}\"\nurl = \"http://{address}\"\nslots = {slots}\n",
            upstream.id, upstream.service
        );
        let node = format!("agent-{}", upstream.id);
        let text = self.format_settings(&node, &upstream.data_centre, "", &upstream_section);
        let daemon = AgentDaemon::bind(parse_settings(text, NodeRole::Agent)?).await?;
        let peer = daemon.listen_report().peer;
        let labels = json!({"service": upstream.service, "upstream": upstream.id, "version": "1"});
        self.register_vm(&node, "agent", peer, &upstream.data_centre, labels).await?;
        self.add_child("agent", move |stop| Box::pin(daemon.run(stop)));
        Ok(())
    }

    fn format_settings(
        &self,
        id: &str,
        data_centre: &str,
        listen: &str,
        upstream_section: &str,
    ) -> String {
        let platform = self.platform;
        format!(
            "[node]\nid = \"{id}\"\ndata-centre = \"{data_centre}\"\n\
             [listen]\npeer = \"127.0.0.1:0\"\n{listen}\n\
             [platform]\ntable = \"http://{platform}\"\nvm-list = \"http://{platform}\"\n\
             poll-interval = \"250ms\"\n[drain]\ndelay = \"0s\"\n{upstream_section}"
        )
    }

    async fn register_vm(
        &mut self,
        node: &str,
        role: &str,
        address: SocketAddr,
        data_centre: &str,
        labels: Value,
    ) -> eyre::Result<()> {
        let entry = json!({
            "id": node, "node": node, "role": role, "address": address,
            "data-centre": data_centre, "state": "live", "labels": labels,
        });
        self.peers.push(address);
        let path = format!("/vms/{node}");
        let answer = self.client.call(Method::PUT, self.platform, &path, &entry).await?;
        eyre::ensure!(answer.status.is_success(), "the VM list refused {node}: {}", answer.status);
        Ok(())
    }

    /// Adds a daemon to the supervisor tree. Its listeners are already bound and move into its first
    /// run, so a restart by the supervisor fails.
    fn add_child(
        &mut self,
        name: &'static str,
        run: impl FnOnce(StopSignal) -> BoxFuture<'static, eyre::Result<()>> + Send + 'static,
    ) {
        let pending_run = Arc::new(Mutex::new(Some(run)));
        let child = ChildSpec::permanent(name, move |stop| {
            let run = pending_run.lock().unwrap_or_else(PoisonError::into_inner).take();
            async move {
                let run = run.ok_or_eyre("the demo cannot restart a daemon")?;
                run(stop).await
            }
        });
        let tree = std::mem::replace(&mut self.tree, SupervisorTree::new("demo"));
        self.tree = tree.child(child);
    }
}

async fn start_standin(kind: ServiceKind) -> eyre::Result<RunningStandin> {
    match kind {
        ServiceKind::Model => {
            let raw = RawEngineOptions {
                slots: ENGINE_SLOTS,
                tokens_per_second: TOKENS_PER_SECOND,
                ..RawEngineOptions::default()
            };
            let engine =
                RunningEngine::start(loopback_address(), EngineOptions::try_from(raw)?).await?;
            Ok(RunningStandin::Engine(engine))
        }
        ServiceKind::Plain => {
            let options = PlainOptions::try_from(RawPlainOptions::default())?;
            Ok(RunningStandin::Plain(RunningPlain::start(loopback_address(), options).await?))
        }
    }
}

fn parse_settings(text: String, role: NodeRole) -> eyre::Result<ProcessSettings> {
    let raw = RawSettings { file: "demo".to_owned(), text, role };
    ProcessSettings::try_from(raw).wrap_err("the demo's settings are invalid")
}

fn loopback_address() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
