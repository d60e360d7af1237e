//! What every process does as a member of the fleet: it knows its peers, passes the
//! configuration version on, fetches newer versions, and notices when it is cut off.
//!
//! The state lives on the control thread ([`run_fleet_loop`]); calls to peers and to the platform
//! run on the traffic runtime and come back as [`FleetEvent`]s.

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
use crate::protocol::{NodeCard, PeerClient, VersionExchange};
use crate::settings::ProcessSettings;
use crate::store::{HttpTable, HttpVmList, VmLabels, VmRole};
use crate::supervisor::{ControlInbox, StopSignal};

pub use events::FleetEvent;
pub use routes::add_fleet_routes;

use control::FleetControl;

/// Events that may wait for the control thread.
const EVENT_CAPACITY: usize = 1024;

/// Interval at which the control thread looks at what is due.
const TICK: Duration = Duration::from_millis(100);

/// A member of the fleet as this node sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetMember {
    /// What the VM list or the member itself says.
    pub card: NodeCard,
    /// Version that an agent's upstream has loaded, by its own word.
    pub loaded: Option<VersionId>,
    /// Why it gets no new work; `None` when it may.
    pub exclusion: Option<MemberExclusion>,
    /// Configuration version that it reported last; 0 when it has not.
    pub version: ConfigurationVersion,
}

/// All members by name.
pub type MemberList = IndexMap<NodeId, FleetMember>;

/// Whether this node takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NodeStanding {
    /// What the isolation rule says.
    pub verdict: IsolationState,
    /// Whether the node takes new work; it goes on for some seconds after it was cut off.
    pub takes_work: bool,
}

/// What the fleet's tasks and other parts of the process share.
pub struct FleetContext {
    node: NodeId,
    role: VmRole,
    data_centre: DataCentreId,
    address: SocketAddr,
    incarnation: Incarnation,
    poll_interval: Duration,
    /// Upstream beside an agent, with the version that it has loaded.
    pub labels: watch::Sender<VmLabels>,
    /// Configuration in force; `None` before the first.
    pub configuration: ConfigurationWatch,
    /// Configuration versions held and heard of.
    pub versions: VersionExchange,
    /// Members of the fleet.
    pub members: watch::Sender<Arc<MemberList>>,
    /// Whether this node takes new work.
    pub standing: watch::Sender<NodeStanding>,
    /// Client for calls to peers.
    pub peers: PeerClient,
    /// Table service.
    pub table: HttpTable,
    /// Events to the control thread.
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
        let standing = NodeStanding { verdict: IsolationState::Serve, takes_work: true };
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
            standing: watch::Sender::new(standing),
            peers,
            table: HttpTable::new(&platform.table, platform.timeout),
            events,
            vm_list: HttpVmList::new(&platform.vm_list, platform.timeout),
            ready,
        };
        (Arc::new(context), inbox)
    }

    /// Returns what this process says about itself.
    pub fn card(&self) -> NodeCard {
        NodeCard {
            node: self.node.clone(),
            role: self.role,
            data_centre: self.data_centre.clone(),
            address: self.address,
            incarnation: self.incarnation,
            labels: self.labels.borrow().clone(),
        }
    }

    /// Returns whether this process stops.
    pub fn is_leaving(&self) -> bool {
        matches!(*self.ready.borrow(), ReadyState::Draining | ReadyState::Stopped)
    }

    /// Returns whether the process has a confirmed configuration and is not cut off.
    pub fn takes_work(&self) -> bool {
        self.standing.borrow().takes_work && self.configuration.borrow().is_some()
    }
}

/// Runs the fleet's part of the control thread until `stop` is cancelled.
pub async fn run_fleet_loop(
    context: Arc<FleetContext>,
    inbox: ControlInbox<FleetEvent>,
    traffic: Handle,
    stop: StopSignal,
) {
    let mut receiver = inbox.acquire().await;
    let mut heard = context.versions.subscribe();
    let mut ready = context.ready.clone();
    let mut control = FleetControl::new(context, traffic, Instant::now());
    let mut ticker = tokio::time::interval(TICK);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => break,
            Some(event) = receiver.recv() => control.handle(event, Instant::now()),
            Ok(()) = heard.changed() => {
                let report = *heard.borrow_and_update();
                control.hear(report, Instant::now());
            }
            Ok(()) = ready.changed() => control.announce(Instant::now()),
            _ = ticker.tick() => control.tick(Instant::now()),
        }
    }
}
