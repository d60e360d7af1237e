//! State of the fleet loop on the control thread: the membership, the configuration gate and the
//! log of contacts with the store and with peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tokio::runtime::Handle;
use tokio::sync::watch;

use super::events::FleetEvent;
use super::{FleetContext, FleetMember, MemberList, NodeStatus, tasks};
use crate::configuration::VersionedConfiguration;
use crate::decision::configuration_tracker::{
    ConfigurationTracker, NO_VERSION, VersionAction, VersionSource,
};
use crate::decision::contacts::ContactLog;
use crate::decision::membership::{ListedState, MemberEvent, MembershipView};
use crate::decision::rendezvous::rendezvous_rank;
use crate::ids::{ConfigurationVersion, NodeId};
use crate::protocol::{NodeHello, NodeIdentity, ReportedVersion};
use crate::store::{VmEntry, VmRole, VmState};

/// Interval between two rounds of hellos.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);

/// Number of peers that a round of hellos goes to, and that are told of a new version at once. Six
/// hellos a second of about 300 bytes each way use less than a fifth of the 21 KB/s that a node may
/// use for control traffic.
const HELLOS_PER_ROUND: usize = 6;

/// Number of nodes in each data centre that poll the store for the configuration's version.
const VERSION_POLLERS: usize = 3;

/// Interval between two polls of a node. Seven data centres cause 21 reads per second.
const VERSION_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which agents read the VM list. In between, they learn of new peers from hellos.
const AGENT_LIST_INTERVAL: Duration = Duration::from_secs(30);

/// Number of members below which an agent reads the VM list at the routers' short interval.
const SMALL_FLEET: usize = 4;

/// Time after which a fetch that has not reported its result counts as failed.
const FETCH_TIMEOUT: Duration = Duration::from_secs(3);

/// State of the fleet loop.
pub struct FleetControl {
    context: Arc<FleetContext>,
    traffic: Handle,
    tracker: ConfigurationTracker,
    /// The newest configuration that was fetched, whether or not it is confirmed.
    latest: Option<Arc<VersionedConfiguration>>,
    membership: MembershipView,
    members: MemberList,
    contacts: ContactLog,
    next_hello: Instant,
    next_version_poll: Instant,
    next_list_read: Instant,
    /// Time at which the fetch in progress counts as failed; `None` when there is none.
    fetch_deadline: Option<Instant>,
    version_poll_pending: bool,
    list_read_pending: bool,
    /// Index of the member that the next round of hellos starts with.
    hello_position: usize,
}

impl FleetControl {
    /// Creates the state. After a restart of the control thread, it resumes with the active
    /// configuration.
    pub fn new(context: Arc<FleetContext>, traffic: Handle, now: Instant) -> Self {
        let latest = context.configuration.borrow().clone();
        let held = latest.as_ref().map_or(NO_VERSION, |configuration| configuration.version);
        Self {
            tracker: ConfigurationTracker::resume(held),
            latest,
            membership: MembershipView::default(),
            members: MemberList::new(),
            contacts: ContactLog::new(now),
            next_hello: now,
            next_version_poll: now,
            next_list_read: now,
            fetch_deadline: None,
            version_poll_pending: false,
            list_read_pending: false,
            hello_position: 0,
            context,
            traffic,
        }
    }

    /// Handles an event.
    pub fn handle_event(&mut self, event: FleetEvent, now: Instant) {
        match event {
            FleetEvent::HelloReceived { hello, reply } => {
                self.process_hello(&hello, now);
                // A caller that no longer waits will send another hello.
                let _ = reply.send(self.build_hello(now));
            }
            FleetEvent::HelloCompleted { answer: Some(hello), .. } => {
                self.contacts.record_answer(&hello.card.node, hello.reaches_store, now);
                self.process_hello(&hello, now);
            }
            FleetEvent::HelloCompleted { node, answer: None } => {
                self.contacts.record_failure(&node, now);
                if let Some(member) = self.members.get(&node) {
                    let centre = member.card.data_centre.clone();
                    self.membership.observe(&node, &centre, MemberEvent::Failed, now);
                }
            }
            FleetEvent::VersionRead(version) => {
                self.version_poll_pending = false;
                self.contacts.record_store(version.is_some(), now);
                self.process_version(
                    version.unwrap_or(NO_VERSION),
                    &VersionSource::Store,
                    None,
                    now,
                );
            }
            FleetEvent::ConfigurationFetched(fetched) => {
                self.fetch_deadline = None;
                if let Some((configuration, source)) = fetched {
                    self.adopt_configuration(configuration, &source, now);
                }
            }
            FleetEvent::ChangeAccepted(configuration) => {
                self.contacts.record_store(true, now);
                self.adopt_configuration(configuration, &VersionSource::Store, now);
            }
            FleetEvent::VmListRead(vms) => {
                self.list_read_pending = false;
                if let Some(vms) = vms {
                    self.apply_vm_list(vms, now);
                }
            }
        }
    }

    /// Handles a configuration version that the headers of a message carried.
    pub fn handle_reported_version(&mut self, report: ReportedVersion, now: Instant) {
        if report.version <= self.tracker.version() {
            return;
        }
        let holder = report.holder.and_then(|address| {
            let mut members = self.members.values();
            members.find(|member| member.card.address == address)
        });
        let node = holder.map_or_else(|| NodeId::from("unlisted"), |m| m.card.node.clone());
        // The version is fetched but confirms nothing: unlike a hello, the headers do not identify
        // the sender.
        self.start_fetch(report.holder.map(|address| (node, address)), now);
    }

    /// Sends a hello to all peers if this process is stopping, so that they know at once.
    pub fn announce_leaving(&mut self, now: Instant) {
        if self.context.is_leaving() {
            self.send_hellos(usize::MAX, now);
        }
    }

    /// Starts the periodic calls that are due, and updates the node's status and the members.
    pub fn tick(&mut self, now: Instant) {
        if now >= self.next_hello {
            self.next_hello = now + HELLO_INTERVAL;
            self.send_hellos(HELLOS_PER_ROUND, now);
        }
        if now >= self.next_version_poll
            && !self.version_poll_pending
            && self.should_poll_version(now)
        {
            self.next_version_poll = now + VERSION_POLL_INTERVAL;
            self.version_poll_pending = true;
            self.traffic.spawn(tasks::poll_version(Arc::clone(&self.context)));
        }
        if now >= self.next_list_read && !self.list_read_pending {
            let few = self.members.len() < SMALL_FLEET;
            let short = self.context.role == VmRole::Router || few;
            self.next_list_read =
                now + if short { self.context.poll_interval } else { AGENT_LIST_INTERVAL };
            self.list_read_pending = true;
            self.traffic.spawn(tasks::read_vm_list(Arc::clone(&self.context)));
        }
        if self.fetch_deadline.is_some_and(|deadline| now >= deadline) {
            self.fetch_deadline = None;
        }
        if !self.tracker.may_serve()
            && self.contacts.store_fails(now)
            && self.tracker.confirm_by_peers()
        {
            log::info!(version = self.tracker.version(); "configuration confirmed by peers");
            self.activate_configuration();
        }
        self.update_status(now);
        self.publish_members(now);
    }

    fn build_hello(&self, now: Instant) -> NodeHello {
        NodeHello {
            card: self.context.card(),
            leaving: self.context.is_leaving(),
            reaches_store: self.contacts.reaches_store(now),
            version: self.tracker.advertised(),
        }
    }

    /// Records the state that another process reports in a hello.
    fn process_hello(&mut self, hello: &NodeHello, now: Instant) {
        let card = &hello.card;
        if card.node == self.context.node {
            return;
        }
        let event = if hello.leaving {
            MemberEvent::AnnouncedLeaving(card.incarnation)
        } else {
            MemberEvent::Answered(card.incarnation)
        };
        self.membership.observe(&card.node, &card.data_centre, event, now);
        let member = self.members.entry(card.node.clone()).or_insert_with(|| new_member(card));
        member.loaded.clone_from(&card.labels.version);
        member.version = hello.version;
        member.card.incarnation = card.incarnation;
        let source = VersionSource::Peer(card.node.clone());
        let address = member.card.address;
        self.process_version(hello.version, &source, Some((card.node.clone(), address)), now);
    }

    /// Passes a reported version to the configuration gate and fetches the configuration if it is
    /// newer, or activates the one held if the report confirms it.
    fn process_version(
        &mut self,
        version: ConfigurationVersion,
        source: &VersionSource,
        peer: Option<(NodeId, SocketAddr)>,
        now: Instant,
    ) {
        let was_confirmed = self.tracker.may_serve();
        if self.tracker.observe(version, source) == VersionAction::Fetch {
            self.start_fetch(peer, now);
        } else if !was_confirmed && self.tracker.may_serve() {
            self.activate_configuration();
        }
    }

    /// Starts to fetch a newer configuration unless a fetch is in progress.
    fn start_fetch(&mut self, peer: Option<(NodeId, SocketAddr)>, now: Instant) {
        if self.fetch_deadline.is_some() {
            return;
        }
        self.fetch_deadline = Some(now + FETCH_TIMEOUT);
        let (context, held) = (Arc::clone(&self.context), self.tracker.version());
        self.traffic.spawn(tasks::fetch_configuration(context, held, peer));
    }

    /// Adopts a fetched configuration if it is newer, and activates it once it is confirmed.
    fn adopt_configuration(
        &mut self,
        configuration: Arc<VersionedConfiguration>,
        source: &VersionSource,
        now: Instant,
    ) {
        if !self.tracker.adopt(configuration.version, source) {
            return;
        }
        self.latest = Some(configuration);
        if self.tracker.may_serve() {
            self.activate_configuration();
            // Peers are told at once, so that the version spreads even if the store fails now.
            self.send_hellos(HELLOS_PER_ROUND, now);
        }
    }

    fn activate_configuration(&mut self) {
        let Some(configuration) = self.latest.clone() else { return };
        log::info!(version = configuration.version; "configuration in force");
        self.context.versions.record_held(configuration.version);
        self.context.configuration.send_replace(Some(configuration));
    }

    /// Updates the members from the VM list and removes those that left the fleet.
    fn apply_vm_list(&mut self, vms: Vec<VmEntry>, now: Instant) {
        let listed: Vec<_> = vms
            .iter()
            .filter(|vm| vm.node != self.context.node)
            .map(|vm| {
                let state = match vm.state {
                    VmState::Live => ListedState::Live,
                    VmState::Leaving => ListedState::Leaving,
                };
                (vm.node.clone(), vm.data_centre.clone(), state)
            })
            .collect();
        self.membership.apply_vm_list(&listed, now);
        for vm in vms.into_iter().filter(|vm| vm.node != self.context.node) {
            let card = NodeIdentity {
                node: vm.node.clone(),
                role: vm.role,
                data_centre: vm.data_centre,
                address: vm.address,
                incarnation: 0,
                labels: vm.labels,
            };
            let member = self.members.entry(vm.node).or_insert_with(|| new_member(&card));
            let incarnation = member.card.incarnation;
            member.card = NodeIdentity { incarnation, ..card };
        }
        let membership = &self.membership;
        self.members.retain(|node, _| membership.contains(node));
        self.contacts.retain(|node| membership.contains(node));
    }

    /// Sends hellos to up to `count` peers. Successive rounds go through all peers in turn.
    fn send_hellos(&mut self, count: usize, now: Instant) {
        let hello = self.build_hello(now);
        let total = self.members.len();
        let first = self.hello_position;
        for step in 0..count.min(total) {
            let Some((node, member)) = self.members.get_index((first + step) % total) else {
                continue;
            };
            let (context, address) = (Arc::clone(&self.context), member.card.address);
            self.traffic.spawn(tasks::send_hello(context, node.clone(), address, hello.clone()));
        }
        self.hello_position = (first + count.min(total)).checked_rem(total).unwrap_or(0);
    }

    /// Returns whether this node polls the store for the configuration's version. In each data
    /// centre, the nodes with the highest rendezvous weights do. So does any node that has no
    /// confirmed configuration or does not reach most of its peers.
    fn should_poll_version(&self, now: Instant) -> bool {
        let own = &self.context.node;
        let centre = &self.context.data_centre;
        let same_centre = |member: &&FleetMember| {
            member.card.data_centre == *centre && member.exclusion.is_none()
        };
        let others = self.members.values().filter(same_centre).map(|member| &member.card.node);
        let rank = rendezvous_rank("configuration", own, others);
        rank < VERSION_POLLERS
            || !self.tracker.may_serve()
            || !self.contacts.reaches_peer_majority(now)
    }

    /// Applies the isolation rule and publishes the node's status.
    fn update_status(&mut self, now: Instant) {
        let (verdict, takes_work) = self.contacts.assess(now);
        let status = NodeStatus { verdict, takes_work };
        let previous = self.context.status.send_replace(status);
        if previous.takes_work != takes_work {
            log::warn!(verdict:% = verdict, takes_work; "node status changed");
        }
    }

    /// Updates which members are excluded from new work, and publishes the members if anything
    /// changed.
    fn publish_members(&mut self, now: Instant) {
        let configuration = self.context.configuration.borrow().clone();
        for (node, member) in &mut self.members {
            let upstream = member.card.labels.upstream.as_deref().unwrap_or_default();
            member.exclusion = configuration.as_ref().and_then(|configuration| {
                self.membership.check(node, upstream, &configuration.checked, now).err()
            });
        }
        publish_if_changed(&self.context.members, &self.members);
    }
}

fn new_member(card: &NodeIdentity) -> FleetMember {
    FleetMember { card: card.clone(), loaded: None, exclusion: None, version: NO_VERSION }
}

fn publish_if_changed(
    members: &watch::Sender<Arc<MemberList>>,
    current: &IndexMap<NodeId, FleetMember>,
) {
    members.send_if_modified(|published| {
        let changed = **published != *current;
        if changed {
            *published = Arc::new(current.clone());
        }
        changed
    });
}
