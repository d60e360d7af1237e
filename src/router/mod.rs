//! Router daemon: a supervisor tree of the control thread, the HTTP servers and the pollers.
//!
//! Children start in the order of declaration and stop in reverse: the callers' server drains
//! first, the control thread stops last.

mod admit;
mod body_budget;
mod burn;
mod caller;
mod control;
mod dispatch;
mod events;
mod exchange;
mod membership;
mod metrics;
mod observe;
mod peer;
mod quarantine;
mod refusal;
mod relay;
mod retention;
mod run;
mod version_call;
mod version_tracking;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use tokio::sync::{Mutex, mpsc, watch};
use tokio_rustls::TlsAcceptor;
use viz::{Listener, Router};

use crate::configuration::ConfigurationWatch;
use crate::daemon::ListenReport;
use crate::decision::account_exchange::DueCall;
use crate::exchange::{CALL_CAPACITY, ExchangeTraffic, REPORT_TIMEOUT};
use crate::fleet::{FleetContext, FleetEvent};
use crate::in_flight::InFlightCounter;
use crate::lifecycle::daemon::{ReadyWatch, StartingDaemon, StartingSlot};
use crate::metrics::MetricsClient;
use crate::protocol::{NodelayListener, PeerClient, VersionExchange};
use crate::server::{ListenerSlot, load_acceptor};
use crate::settings::ProcessSettings;
use crate::store::{ClaimTable, HttpTable, HttpVmList, QuarantineTable, VmRole};
use crate::supervisor::{ChildSpec, ControlInbox, StopSignal, SupervisorTree};

use body_budget::BodyBudget;
pub use burn::{BURN_PATH, add_burn_route};
use caller::CallerEndpoint;
pub use events::{CallerNotice, RouterEvent};
pub use refusal::{CallerRefusal, RefusalReason};
pub use version_tracking::{SplitMap, VersionCall};

/// Capacity of the control thread's event channel.
const CONTROL_CAPACITY: usize = 4096;

/// Timeout of calls to agents.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);

/// State shared by the router's tasks: settings, snapshots, clients and the channel to the control
/// thread.
pub struct RouterContext {
    /// Validated settings.
    pub settings: ProcessSettings,
    /// Address at which agents reach this router.
    pub peer_address: SocketAddr,
    /// Configuration in force; `None` before the first.
    pub configuration: ConfigurationWatch,
    /// Configuration versions of this process and of its peers.
    pub versions: VersionExchange,
    /// Client for calls to agents.
    pub peers: PeerClient,
    /// Fleet membership of this process.
    pub fleet: Arc<FleetContext>,
    /// Version split by service, used on admission.
    pub splits: watch::Sender<Arc<SplitMap>>,
    /// Client for account reports.
    pub report_peers: PeerClient,
    /// Channel to the child that sends account reports.
    pub reports: mpsc::Sender<DueCall>,
    /// Traffic counters of the account exchange.
    pub exchange_traffic: Arc<ExchangeTraffic>,
    /// Client of the table service.
    pub table: HttpTable,
    /// Claim rows of the table service.
    pub claims: ClaimTable,
    /// Quarantine rows of the table service.
    pub quarantine: QuarantineTable,
    /// Client of the platform's VM list.
    pub vm_list: HttpVmList,
    /// Channel to the control thread.
    pub control: mpsc::Sender<RouterEvent>,
    /// Readiness of the process.
    pub ready: ReadyWatch,
    /// Metrics client.
    pub metrics: MetricsClient,
    /// Budget for request bodies.
    pub bodies: BodyBudget,
    /// Number of callers' requests in progress.
    pub in_flight: InFlightCounter,
}

/// A router whose listeners are bound.
pub struct RouterDaemon {
    context: Arc<RouterContext>,
    inbox: ControlInbox<RouterEvent>,
    fleet_inbox: ControlInbox<FleetEvent>,
    reports: ControlInbox<DueCall>,
    starting: StartingDaemon,
    caller: NodelayListener,
    acceptor: Option<TlsAcceptor>,
    peer: NodelayListener,
    admin: NodelayListener,
    report: ListenReport,
}

impl RouterDaemon {
    /// Binds the listeners and builds the shared state.
    pub async fn bind(settings: ProcessSettings) -> eyre::Result<Self> {
        let caller = bind_listener("listen.caller", settings.listen.caller).await?;
        let peer = bind_listener("listen.peer", settings.listen.peer).await?;
        let admin = bind_listener("listen.admin", settings.listen.admin).await?;
        let report = ListenReport {
            node: settings.node.id.to_string(),
            role: "router".to_owned(),
            caller: Some(caller.local_addr()?),
            peer: peer.local_addr()?,
            admin: Some(admin.local_addr()?),
        };
        let (control, inbox) = ControlInbox::bounded(CONTROL_CAPACITY);
        let (reports, report_inbox) = ControlInbox::bounded(CALL_CAPACITY);
        let acceptor = settings.tls.as_ref().map(load_acceptor).transpose()?;
        let (starting, ready) = StartingDaemon::new();
        let metrics = MetricsClient::open(&settings)?;
        let peer_address = settings.listen.advertise_peer.unwrap_or(report.peer);
        let versions = VersionExchange::new(peer_address);
        let platform = &settings.platform;
        let table = HttpTable::new(&platform.table, platform.timeout);
        let peers = PeerClient::new(PEER_TIMEOUT, versions.clone()).with_metrics(metrics.clone());
        let (fleet, fleet_inbox) = FleetContext::new(
            &settings,
            VmRole::Router,
            peer_address,
            peers.clone(),
            versions.clone(),
            ready.clone(),
        );
        let context = RouterContext {
            peer_address,
            configuration: fleet.configuration.clone(),
            peers,
            fleet,
            splits: watch::Sender::new(Arc::default()),
            claims: ClaimTable::new(platform),
            quarantine: QuarantineTable::new(table.clone()),
            table,
            report_peers: PeerClient::new(REPORT_TIMEOUT, versions.clone())
                .with_metrics(metrics.clone()),
            reports,
            exchange_traffic: Arc::default(),
            vm_list: HttpVmList::new(&platform.vm_list, platform.timeout),
            versions,
            control,
            ready,
            metrics,
            bodies: BodyBudget::new(settings.limits.total_body_bytes),
            in_flight: InFlightCounter::default(),
            settings,
        };
        let (context, reports) = (Arc::new(context), report_inbox);
        Ok(Self {
            context,
            inbox,
            fleet_inbox,
            reports,
            starting,
            caller,
            acceptor,
            peer,
            admin,
            report,
        })
    }

    /// Returns the bound addresses.
    pub fn listen_report(&self) -> ListenReport {
        self.report.clone()
    }

    /// Runs the supervisor tree until `stop` is cancelled and the last request has ended.
    pub async fn run(self, stop: StopSignal) -> eyre::Result<()> {
        let started = Instant::now();
        let context = self.context;
        let (node, incarnation) = (context.settings.node.id.clone(), crate::clock::incarnation());
        log::info!(node:% = node, incarnation; "router started");
        let limit = context.settings.drain.limit + context.settings.drain.delay;
        let starting: StartingSlot = Arc::new(Mutex::new(Some(self.starting)));
        let (inbox, fleet_inbox, acceptor) = (self.inbox, self.fleet_inbox, self.acceptor);
        let reports = self.reports;
        let (peer, caller) = (ListenerSlot::from(self.peer), ListenerSlot::from(self.caller));
        let admin = ListenerSlot::from(self.admin);
        let tree = SupervisorTree::new("router")
            .child(child("control", &context, move |context, stop| {
                control::run(context, inbox.clone(), fleet_inbox.clone(), stop)
            }))
            .child(child("peer", &context, move |context, stop| {
                peer::serve(context, peer.clone(), stop)
            }))
            .child(child("admin", &context, move |context, stop| {
                let burn_route = add_burn_route(Router::new(), Arc::clone(&context));
                crate::admin::serve(Arc::clone(&context.fleet), burn_route, admin.clone(), stop)
            }))
            .child(child("metrics", &context, metrics::run))
            .child(child("membership", &context, membership::poll))
            .child(child("quarantine", &context, quarantine::poll))
            .child(child("retention", &context, retention::run))
            .child(child("exchange", &context, move |context, stop| {
                exchange::send(context, reports.clone(), stop)
            }))
            .child(
                child("caller", &context, move |context, stop| {
                    let endpoint =
                        CallerEndpoint { listener: caller.clone(), acceptor: acceptor.clone() };
                    caller::serve(context, endpoint, Arc::clone(&starting), stop)
                })
                .stop_grace(limit),
            );
        let result = tree.run(stop).await;
        log::info!(node:% = node, ran_for:? = started.elapsed(); "router stopped");
        result.map_err(eyre::Report::from)
    }
}

/// Builds the specification of a permanent child that receives the context.
fn child<F>(
    name: &'static str,
    context: &Arc<RouterContext>,
    start: impl Fn(Arc<RouterContext>, StopSignal) -> F + Send + Sync + 'static,
) -> ChildSpec
where
    F: Future<Output = eyre::Result<()>> + Send + 'static,
{
    let context = Arc::clone(context);
    ChildSpec::permanent(name, move |stop| start(Arc::clone(&context), stop))
}

async fn bind_listener(key: &str, address: SocketAddr) -> eyre::Result<NodelayListener> {
    NodelayListener::bind(address)
        .await
        .wrap_err_with(|| format!("cannot listen on {address} ({key})"))
}
