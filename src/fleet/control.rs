//! The fleet's part of the control thread: owns the view of the members, the configuration gate
//! and the log of contacts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tokio::runtime::Handle;
use tokio::sync::watch;

use super::events::FleetEvent;
use super::{FleetContext, FleetMember, MemberList, NodeStanding, tasks};
use crate::configuration::VersionedConfiguration;
use crate::decision::configuration_tracker::{
    ConfigurationTracker, NO_VERSION, VersionAction, VersionSource,
};
use crate::decision::contacts::ContactLog;
use crate::decision::membership::{ListedState, MemberEvent, MembershipView};
use crate::decision::rendezvous::rendezvous_rank;
use crate::ids::{ConfigurationVersion, NodeId};
use crate::protocol::{HeardVersion, NodeCard, NodeHello};
use crate::store::{VmEntry, VmRole, VmState};

/// Interval between two rounds of hellos.
const HELLO_INTERVAL: Duration = Duration::from_secs(1);

/// Peers in one round of hellos, and peers told at once of a new version. Six hellos a second of
/// some 300 bytes each way stay below a fifth of a node's 21 KB/s for control.
const HELLO_PEERS: usize = 6;

/// Nodes of a data centre that poll the store for the configuration's version.
const POLLERS: usize = 3;

/// Interval of these polls; 7 data centres make 21 reads a second.
const STORE_INTERVAL: Duration = Duration::from_secs(1);

/// Interval at which agents read the VM list; they learn of new peers by hello in between.
const AGENT_LIST_INTERVAL: Duration = Duration::from_secs(30);

/// Members below which an agent goes on reading the VM list at the short interval.
const FEW_MEMBERS: usize = 4;

/// Time after which a fetch that has not reported is given up.
const FETCH_LIMIT: Duration = Duration::from_secs(3);

/// State of the fleet's part of the control thread.
pub struct FleetControl {
    context: Arc<FleetContext>,
    traffic: Handle,
    tracker: ConfigurationTracker,
    /// The newest configuration, also while it is not confirmed.
    newest: Option<Arc<VersionedConfiguration>>,
    view: MembershipView,
    members: MemberList,
    contacts: ContactLog,
    /// Last time at which something was due, by what it is.
    next_hello: Instant,
    next_store: Instant,
    next_list: Instant,
    fetch_until: Option<Instant>,
    store_pending: bool,
    list_pending: bool,
    rotation: usize,
}

impl FleetControl {
    /// Creates the state; after a restart of the control thread the configuration in force stays.
    pub fn new(context: Arc<FleetContext>, traffic: Handle, now: Instant) -> Self {
        let newest = context.configuration.borrow().clone();
        let held = newest.as_ref().map_or(NO_VERSION, |configuration| configuration.version);
        Self {
            tracker: ConfigurationTracker::resume(held),
            newest,
            view: MembershipView::default(),
            members: MemberList::new(),
            contacts: ContactLog::new(now),
            next_hello: now,
            next_store: now,
            next_list: now,
            fetch_until: None,
            store_pending: false,
            list_pending: false,
            rotation: 0,
            context,
            traffic,
        }
    }

    /// Takes note of an event.
    pub fn handle(&mut self, event: FleetEvent, now: Instant) {
        match event {
            FleetEvent::Greeted { hello, reply } => {
                self.meet(&hello, now);
                // A caller that no longer waits tries again.
                let _ = reply.send(self.hello(now));
            }
            FleetEvent::HelloEnded { answer: Some(hello), .. } => {
                self.contacts.record_answer(&hello.card.node, hello.reaches_store, now);
                self.meet(&hello, now);
            }
            FleetEvent::HelloEnded { node, answer: None } => {
                self.contacts.record_failure(&node, now);
                if let Some(member) = self.members.get(&node) {
                    let centre = member.card.data_centre.clone();
                    self.view.observe(&node, &centre, MemberEvent::Failed, now);
                }
            }
            FleetEvent::VersionRead(version) => {
                self.store_pending = false;
                self.contacts.record_store(version.is_some(), now);
                self.consider(version.unwrap_or(NO_VERSION), &VersionSource::Store, None, now);
            }
            FleetEvent::Fetched(fetched) => {
                self.fetch_until = None;
                if let Some((configuration, source)) = fetched {
                    self.adopt(configuration, &source, now);
                }
            }
            FleetEvent::Accepted(configuration) => {
                self.contacts.record_store(true, now);
                self.adopt(configuration, &VersionSource::Store, now);
            }
            FleetEvent::Listed(vms) => {
                self.list_pending = false;
                if let Some(vms) = vms {
                    self.seed(vms, now);
                }
            }
        }
    }

    /// Takes note of a version in the headers of any message.
    pub fn hear(&mut self, report: HeardVersion, now: Instant) {
        if report.version <= self.tracker.version() {
            return;
        }
        let holder = report.holder.and_then(|address| {
            let mut members = self.members.values();
            members.find(|member| member.card.address == address)
        });
        let node = holder.map_or_else(|| NodeId::from("unlisted"), |m| m.card.node.clone());
        // Only a hello confirms: the header says nothing about who sent it.
        self.start_fetch(report.holder.map(|address| (node, address)), now);
    }

    /// Tells peers at once that this process stops.
    pub fn announce(&mut self, now: Instant) {
        if self.context.is_leaving() {
            self.greet_some(usize::MAX, now);
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant) {
        if now >= self.next_hello {
            self.next_hello = now + HELLO_INTERVAL;
            self.greet_some(HELLO_PEERS, now);
        }
        if now >= self.next_store && !self.store_pending && self.polls_store(now) {
            self.next_store = now + STORE_INTERVAL;
            self.store_pending = true;
            self.traffic.spawn(tasks::poll_version(Arc::clone(&self.context)));
        }
        if now >= self.next_list && !self.list_pending {
            let few = self.members.len() < FEW_MEMBERS;
            let short = self.context.role == VmRole::Router || few;
            self.next_list =
                now + if short { self.context.poll_interval } else { AGENT_LIST_INTERVAL };
            self.list_pending = true;
            self.traffic.spawn(tasks::list_vms(Arc::clone(&self.context)));
        }
        if self.fetch_until.is_some_and(|until| now >= until) {
            self.fetch_until = None;
        }
        if !self.tracker.may_serve()
            && self.contacts.store_fails(now)
            && self.tracker.confirm_by_peers()
        {
            log::info!(version = self.tracker.version(); "configuration confirmed by peers");
            self.put_in_force();
        }
        self.judge(now);
        self.publish(now);
    }

    fn hello(&self, now: Instant) -> NodeHello {
        NodeHello {
            card: self.context.card(),
            leaving: self.context.is_leaving(),
            reaches_store: self.contacts.reaches_store(now),
            version: self.tracker.advertised(),
        }
    }

    /// Takes note of what a process says about itself.
    fn meet(&mut self, hello: &NodeHello, now: Instant) {
        let card = &hello.card;
        if card.node == self.context.node {
            return;
        }
        let event = if hello.leaving {
            MemberEvent::AnnouncedLeaving(card.incarnation)
        } else {
            MemberEvent::Answered(card.incarnation)
        };
        self.view.observe(&card.node, &card.data_centre, event, now);
        let member = self.members.entry(card.node.clone()).or_insert_with(|| new_member(card));
        member.loaded.clone_from(&card.labels.version);
        member.version = hello.version;
        member.card.incarnation = card.incarnation;
        let source = VersionSource::Peer(card.node.clone());
        let address = member.card.address;
        self.consider(hello.version, &source, Some((card.node.clone(), address)), now);
    }

    fn consider(
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
            self.put_in_force();
        }
    }

    fn start_fetch(&mut self, peer: Option<(NodeId, SocketAddr)>, now: Instant) {
        if self.fetch_until.is_some() {
            return;
        }
        self.fetch_until = Some(now + FETCH_LIMIT);
        let (context, held) = (Arc::clone(&self.context), self.tracker.version());
        self.traffic.spawn(tasks::fetch_configuration(context, held, peer));
    }

    fn adopt(
        &mut self,
        configuration: Arc<VersionedConfiguration>,
        source: &VersionSource,
        now: Instant,
    ) {
        if !self.tracker.adopt(configuration.version, source) {
            return;
        }
        self.newest = Some(configuration);
        if self.tracker.may_serve() {
            self.put_in_force();
            // Peers hear of it at once, so that it spreads even if the store goes down now.
            self.greet_some(HELLO_PEERS, now);
        }
    }

    fn put_in_force(&mut self) {
        let Some(configuration) = self.newest.clone() else { return };
        log::info!(version = configuration.version; "configuration in force");
        self.context.versions.hold(configuration.version);
        self.context.configuration.send_replace(Some(configuration));
    }

    fn seed(&mut self, vms: Vec<VmEntry>, now: Instant) {
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
        self.view.apply_vm_list(&listed, now);
        for vm in vms.into_iter().filter(|vm| vm.node != self.context.node) {
            let card = NodeCard {
                node: vm.node.clone(),
                role: vm.role,
                data_centre: vm.data_centre,
                address: vm.address,
                incarnation: 0,
                labels: vm.labels,
            };
            let member = self.members.entry(vm.node).or_insert_with(|| new_member(&card));
            let incarnation = member.card.incarnation;
            member.card = NodeCard { incarnation, ..card };
        }
        let view = &self.view;
        self.members.retain(|node, _| view.contains(node));
        self.contacts.retain(|node| view.contains(node));
    }

    /// Greets up to `count` peers, all of them in turn over several rounds.
    fn greet_some(&mut self, count: usize, now: Instant) {
        let hello = self.hello(now);
        let total = self.members.len();
        let first = self.rotation;
        for step in 0..count.min(total) {
            let Some((node, member)) = self.members.get_index((first + step) % total) else {
                continue;
            };
            let (context, address) = (Arc::clone(&self.context), member.card.address);
            self.traffic.spawn(tasks::greet(context, node.clone(), address, hello.clone()));
        }
        self.rotation = (first + count.min(total)).checked_rem(total).unwrap_or(0);
    }

    /// Polls by rendezvous rank; besides, a node that has no configuration yet or may be cut off
    /// asks for itself.
    fn polls_store(&self, now: Instant) -> bool {
        let own = &self.context.node;
        let centre = &self.context.data_centre;
        let same_centre = |member: &&FleetMember| {
            member.card.data_centre == *centre && member.exclusion.is_none()
        };
        let others = self.members.values().filter(same_centre).map(|member| &member.card.node);
        let rank = rendezvous_rank("configuration", own, others);
        rank < POLLERS || !self.tracker.may_serve() || !self.contacts.reaches_peer_majority(now)
    }

    fn judge(&mut self, now: Instant) {
        let (verdict, takes_work) = self.contacts.assess(now);
        let standing = NodeStanding { verdict, takes_work };
        let previous = self.context.standing.send_replace(standing);
        if previous.takes_work != takes_work {
            log::warn!(verdict:% = verdict, takes_work; "the node's place in the fleet changed");
        }
    }

    /// Publishes the members when something changed.
    fn publish(&mut self, now: Instant) {
        let configuration = self.context.configuration.borrow().clone();
        for (node, member) in &mut self.members {
            let upstream = member.card.labels.upstream.as_deref().unwrap_or_default();
            member.exclusion = configuration.as_ref().and_then(|configuration| {
                self.view.check(node, upstream, &configuration.checked, now).err()
            });
        }
        send_if_changed(&self.context.members, &self.members);
    }
}

fn new_member(card: &NodeCard) -> FleetMember {
    FleetMember { card: card.clone(), loaded: None, exclusion: None, version: NO_VERSION }
}

fn send_if_changed(
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
