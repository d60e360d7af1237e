//! Membership of a process in the fleet, the same for routers and agents: it tracks its peers,
//! distributes configuration versions, fetches newer ones, and detects when it is isolated from
//! the fleet.
//!
//! The state belongs to the control thread ([`run_fleet_loop`]). Calls to peers and to the
//! platform run on the traffic runtime and report their results as [`FleetEvent`]s.

mod control;
mod events;
mod routes;
mod tasks;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};

use crate::clock;
use crate::configuration::ConfigurationWatch;
use crate::decision::isolation::IsolationState;
use crate::decision::membership::MemberExclusion;
use crate::ids::{ConfigurationVersion, DataCentreId, Incarnation, NodeId, VersionId};
use crate::lifecycle::daemon::{ReadyState, ReadyWatch};
use crate::protocol::{NodeIdentity, PeerClient, VersionExchange};
use crate::settings::ProcessSettings;
use crate::store::{HttpTable, HttpVmList, VmLabels, VmRole};
use crate::supervisor::{ControlInbox, StopSignal};

pub use events::FleetEvent;
pub use routes::add_fleet_routes;

use control::FleetControl;

/// Capacity of the control thread's event queue.
const EVENT_CAPACITY: usize = 1024;

/// Interval at which the control thread runs its periodic tasks.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// What this node knows about a member of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetMember {
    /// Identity and address, from the VM list or from the member itself.
    pub card: NodeIdentity,
    /// Version that an agent's upstream has loaded, as the agent reports it.
    pub loaded: Option<VersionId>,
    /// Why it gets no new work; `None` when it may get some.
    pub exclusion: Option<MemberExclusion>,
    /// Configuration version that it reported last; 0 before its first report.
    pub version: ConfigurationVersion,
}

/// All members by name.
pub type MemberList = IndexMap<NodeId, FleetMember>;

/// Whether this node is isolated from the fleet and whether it takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeStatus {
    /// Result of the isolation rule.
    pub verdict: IsolationState,
    /// Whether the node takes new work. An isolated node continues to do so for some seconds.
    pub takes_work: bool,
}

/// State of the fleet membership that all parts of the process share.
pub struct FleetContext {
    node: NodeId,
    role: VmRole,
    data_centre: DataCentreId,
    address: SocketAddr,
    incarnation: Incarnation,
    poll_interval: Duration,
    /// Service, upstream and loaded version of an agent; empty for a router.
    pub labels: watch::Sender<VmLabels>,
    /// Active configuration; `None` before the first.
    pub configuration: ConfigurationWatch,
    /// Active configuration version and the newest one that another process reported.
    pub versions: VersionExchange,
    /// Other members of the fleet.
    pub members: watch::Sender<Arc<MemberList>>,
    /// Status of this node.
    pub status: watch::Sender<NodeStatus>,
    /// Client for calls to peers.
    pub peers: PeerClient,
    /// Client for the table service.
    pub table: HttpTable,
    /// Sends events to the control thread.
    pub events: mpsc::Sender<FleetEvent>,
    vm_list: HttpVmList,
    ready: ReadyWatch,
}

impl FleetContext {
    /// Creates the context of a process that others reach at `address`.
    pub fn new(
        settings: &ProcessSettings,
        role: VmRole,
        address: SocketAddr,
        peers: PeerClient,
        versions: VersionExchange,
        ready: ReadyWatch,
    ) -> (Arc<Self>, ControlInbox<FleetEvent>) {
        let (events, inbox) = ControlInbox::bounded(EVENT_CAPACITY);
        let platform = &settings.platform;
        let labels =
            settings.upstream.as_ref().map_or_else(VmLabels::default, |upstream| VmLabels {
                service: Some(upstream.service.clone()),
                upstream: Some(upstream.id.clone()),
                version: Some(upstream.version.clone()),
            });
        let status = NodeStatus { verdict: IsolationState::Serve, takes_work: true };
        let context = Self {
            node: settings.node.id.clone(),
            role,
            data_centre: settings.node.data_centre.clone(),
            address,
            incarnation: clock::incarnation(),
            poll_interval: platform.poll_interval,
            labels: watch::Sender::new(labels),
            configuration: watch::Sender::new(None),
            versions,
            members: watch::Sender::new(Arc::default()),
            status: watch::Sender::new(status),
            peers,
            table: HttpTable::new(&platform.table, platform.timeout),
            events,
            vm_list: HttpVmList::new(&platform.vm_list, platform.timeout),
            ready,
        };
        (Arc::new(context), inbox)
    }

    /// Returns this process's identity, as sent to its peers.
    pub fn card(&self) -> NodeIdentity {
        NodeIdentity {
            node: self.node.clone(),
            role: self.role,
            data_centre: self.data_centre.clone(),
            address: self.address,
            incarnation: self.incarnation,
            labels: self.labels.borrow().clone(),
        }
    }

    /// Returns whether this process is stopping.
    pub fn is_leaving(&self) -> bool {
        matches!(*self.ready.borrow(), ReadyState::Draining | ReadyState::Stopped)
    }

    /// Returns whether the process has a confirmed configuration and its status allows new work.
    pub fn takes_work(&self) -> bool {
        self.status.borrow().takes_work && self.configuration.borrow().is_some()
    }
}

/// Runs the fleet loop on the control thread until `stop` is cancelled.
pub async fn run_fleet_loop(
    context: Arc<FleetContext>,
    inbox: ControlInbox<FleetEvent>,
    traffic: Handle,
    stop: StopSignal,
) {
    let mut receiver = inbox.acquire().await;
    let mut reported = context.versions.subscribe();
    let mut ready = context.ready.clone();
    let mut control = FleetControl::new(context, traffic, Instant::now());
    let mut ticker = tokio::time::interval(TICK_INTERVAL);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            Some(event) = receiver.recv() => control.handle_event(event, Instant::now()),
            Ok(()) = reported.changed() => {
                let report = *reported.borrow_and_update();
                control.handle_reported_version(report, Instant::now());
            }
            Ok(()) = ready.changed() => control.announce_leaving(Instant::now()),
            _ = ticker.tick() => control.tick(Instant::now()),
        }
    }
}
