//! Agent daemon: a supervisor tree of the control thread, the HTTP server and the pollers.
//!
//! Children start in the order of declaration and stop in reverse: draining comes first, while
//! answers can still be read, and the control thread stops last.

mod answers;
mod claims;
mod confirmed_stream;
mod control;
mod crash;
mod crash_tracker;
mod drain;
mod engine_stream;
mod events;
mod exchange;
mod health;
mod meter;
mod metrics;
mod orders;
mod peer;
mod runner;
mod upstream;
mod upstream_run;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::{OptionExt, WrapErr};
use tokio::sync::{Mutex, mpsc};
use viz::Listener;

use crate::clock;
use crate::configuration::ConfigurationWatch;
use crate::daemon::ListenReport;
use crate::decision::account_exchange::DueCall;
use crate::exchange::{CALL_CAPACITY, ExchangeTraffic, REPORT_TIMEOUT};
use crate::fleet::{FleetContext, FleetEvent};
use crate::ids::Incarnation;
use crate::in_flight::InFlightCounter;
use crate::lifecycle::daemon::{ReadyWatch, StartingDaemon, StartingSlot};
use crate::metrics::MetricsClient;
use crate::protocol::{NodelayListener, PeerClient, VersionExchange};
use crate::server::ListenerSlot;
use crate::settings::{ProcessSettings, UpstreamSettings};
use crate::store::{ClaimTable, HttpTable, HttpVmList, QuarantineTable, VmRole};
use crate::supervisor::{ChildSpec, ControlInbox, StopSignal, SupervisorTree};

pub use answers::{AnswerBuffer, AnswerStore};
pub use engine_stream::EventScanner;
pub use events::AgentEvent;
pub use meter::is_token;
use upstream::UpstreamClient;

/// Capacity of the control thread's event channel.
const CONTROL_CAPACITY: usize = 4096;

/// Timeout of calls to routers.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// State shared by the agent's tasks: settings, snapshots, clients and the channel to the control
/// thread.
pub struct AgentContext {
    /// Validated settings.
    pub settings: ProcessSettings,
    /// The upstream that the agent serves.
    pub upstream: UpstreamSettings,
    /// Incarnation of the agent process.
    pub incarnation: Incarnation,
    /// Configuration in force; `None` before the first.
    pub configuration: ConfigurationWatch,
    /// Configuration versions of this process and of its peers.
    pub versions: VersionExchange,
    /// Client for calls to routers.
    pub peers: PeerClient,
    /// Address at which other processes reach the agent.
    pub peer_address: SocketAddr,
    /// Client for account reports.
    pub report_peers: PeerClient,
    /// Channel to the child that sends account reports.
    pub reports: mpsc::Sender<DueCall>,
    /// Traffic counters of the account exchange.
    pub exchange_traffic: Arc<ExchangeTraffic>,
    /// Client of the platform's VM list.
    pub vm_list: HttpVmList,
    /// Client of the upstream.
    pub upstream_client: UpstreamClient,
    /// Fleet membership of this process.
    pub fleet: Arc<FleetContext>,
    /// Client of the table service.
    pub table: HttpTable,
    /// Claim rows of the table service.
    pub claims: ClaimTable,
    /// Quarantine rows of the table service.
    pub quarantine: QuarantineTable,
    /// Answers kept for routers.
    pub answers: AnswerStore,
    /// Channel to the control thread.
    pub control: mpsc::Sender<AgentEvent>,
    /// Readiness of the process.
    pub ready: ReadyWatch,
    /// Metrics client.
    pub metrics: MetricsClient,
    /// Number of runs in progress.
    pub in_flight: InFlightCounter,
}

/// An agent whose listener is bound.
pub struct AgentDaemon {
    context: Arc<AgentContext>,
    inbox: ControlInbox<AgentEvent>,
    fleet_inbox: ControlInbox<FleetEvent>,
    reports: ControlInbox<DueCall>,
    starting: StartingDaemon,
    peer: NodelayListener,
    report: ListenReport,
}

impl AgentDaemon {
    /// Binds the listener and builds the shared state.
    pub async fn bind(settings: ProcessSettings) -> eyre::Result<Self> {
        let address = settings.listen.peer;
        let peer = NodelayListener::bind(address)
            .await
            .wrap_err_with(|| format!("cannot listen on {address} (listen.peer)"))?;
        let upstream = settings.upstream.clone().ok_or_eyre("section [upstream] is missing")?;
        let report = ListenReport {
            node: settings.node.id.to_string(),
            role: "agent".to_owned(),
            caller: None,
            peer: peer.local_addr()?,
            admin: None,
        };
        let (control, inbox) = ControlInbox::bounded(CONTROL_CAPACITY);
        let (reports, report_inbox) = ControlInbox::bounded(CALL_CAPACITY);
        let (starting, ready) = StartingDaemon::new();
        let metrics = MetricsClient::open(&settings)?;
        let peer_address = settings.listen.advertise_peer.unwrap_or(report.peer);
        let versions = VersionExchange::new(peer_address);
        let peers = PeerClient::new(PEER_TIMEOUT, versions.clone()).with_metrics(metrics.clone());
        let (fleet, fleet_inbox) = FleetContext::new(
            &settings,
            VmRole::Agent,
            peer_address,
            peers.clone(),
            versions.clone(),
            ready.clone(),
        );
        let buffer = usize::try_from(settings.limits.answer_buffer_bytes).unwrap_or(usize::MAX);
        let table = HttpTable::new(&settings.platform.table, settings.platform.timeout);
        let context = AgentContext {
            incarnation: clock::incarnation(),
            configuration: fleet.configuration.clone(),
            peers,
            fleet,
            peer_address,
            report_peers: PeerClient::new(REPORT_TIMEOUT, versions.clone())
                .with_metrics(metrics.clone()),
            reports,
            exchange_traffic: Arc::default(),
            vm_list: HttpVmList::new(&settings.platform.vm_list, settings.platform.timeout),
            upstream_client: UpstreamClient::new(&upstream.url),
            claims: ClaimTable::new(&settings.platform),
            quarantine: QuarantineTable::new(table.clone()),
            table,
            answers: AnswerStore::new(buffer),
            upstream,
            versions,
            control,
            ready,
            metrics,
            in_flight: InFlightCounter::default(),
            settings,
        };
        let (context, reports) = (Arc::new(context), report_inbox);
        Ok(Self { context, inbox, fleet_inbox, reports, starting, peer, report })
    }

    /// Returns the bound address.
    pub fn listen_report(&self) -> ListenReport {
        self.report.clone()
    }

    /// Runs the supervisor tree until `stop` is cancelled, the last run has ended and its answer
    /// was read.
    pub async fn run(self, stop: StopSignal) -> eyre::Result<()> {
        let started = Instant::now();
        let context = self.context;
        let node = context.settings.node.id.clone();
        log::info!(node:% = node, incarnation = context.incarnation; "agent started");
        let limit = context.settings.drain.limit;
        let starting: StartingSlot = Arc::new(Mutex::new(Some(self.starting)));
        let (inbox, fleet_inbox, reports) = (self.inbox, self.fleet_inbox, self.reports);
        let peer = ListenerSlot::from(self.peer);
        let tree = SupervisorTree::new("agent")
            .child(child("control", &context, move |context, stop| {
                control::run(context, inbox.clone(), fleet_inbox.clone(), stop)
            }))
            .child(child("peer", &context, move |context, stop| {
                peer::serve(context, peer.clone(), stop)
            }))
            .child(child("metrics", &context, metrics::run))
            .child(child("version", &context, orders::poll_version))
            .child(child("health", &context, health::poll))
            .child(child("members", &context, exchange::poll_members))
            .child(child("exchange", &context, move |context, stop| {
                exchange::send(context, reports.clone(), stop)
            }))
            .child(
                child("drain", &context, move |context, stop| {
                    drain::run(context, Arc::clone(&starting), stop)
                })
                .stop_grace(limit),
            );
        let result = tree.run(stop).await;
        log::info!(node:% = node, ran_for:? = started.elapsed(); "agent stopped");
        result.map_err(eyre::Report::from)
    }
}

/// Builds the specification of a permanent child that receives the context.
fn child<F>(
    name: &'static str,
    context: &Arc<AgentContext>,
    start: impl Fn(Arc<AgentContext>, StopSignal) -> F + Send + Sync + 'static,
) -> ChildSpec
where
    F: Future<Output = eyre::Result<()>> + Send + 'static,
{
    let context = Arc::clone(context);
    ChildSpec::permanent(name, move |stop| start(Arc::clone(&context), stop))
}
