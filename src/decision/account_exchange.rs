//! State machine of the account exchange: composes the reports that are due and applies replies.
//!
//! A node reports the service inside its subtree to its parent, and the reply carries the service
//! outside of that subtree, so that a node never receives its own reports. The roots of the data
//! centres exchange the service of their data centres. After a change of parent, the new link
//! starts with the units that the parent did not acknowledge on the previous one. `docs/design.md`
//! calculates the intervals and the staleness.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::account_links::{
    ExchangeCall, ExchangeKind, ExchangeReply, ExchangeStatus, InboundLink, OutboundLink,
};
use super::account_tree::{AccountTree, ExchangeMember, FAN_OUT, ROOT_FAN_OUT};
use super::accounts::{AccountVector, FlowReport};
use crate::ids::{AccountKey, DataCentreId, Incarnation, NodeId};

/// Maximum traffic of the exchange per node, sent and received, in bytes per second. The target for
/// all control traffic is 21 KB/s; the rest is for configuration and membership.
const MAX_BYTES_PER_SECOND: f64 = 18_000.0;

/// Size of a report without entries in bytes: HTTP/2 frames, TCP and IP headers, message fields.
const REPORT_BYTES: f64 = 320.0;

/// Size of one entry in bytes: hash 9, counter 5 (9 above 4 G), flag 1, array header 1.
const ENTRY_BYTES: f64 = 16.0;

/// Minimum interval between two reports on one link.
const MIN_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum time between two checks for due calls, because members may have changed.
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// Number of unanswered calls after which a node is replaced by the next one by rank.
const MAX_FAILURES: u32 = 2;

/// Time without a call after which an inbound link is dropped. Its units stay counted.
const LINK_RETENTION: Duration = Duration::from_secs(60);

/// Number of report intervals for which a list of backlogged accounts is valid.
const MAX_BACKLOG_AGE: u32 = 4;

/// Interval of reports inside a data centre, at which a node with all its children and its parent
/// stays within `MAX_BYTES_PER_SECOND`.
pub fn tree_interval(accounts: usize) -> Duration {
    let report = REPORT_BYTES + ENTRY_BYTES * accounts as f64;
    let exchanges = (FAN_OUT + 1) as f64;
    interval_for(exchanges * 2.0 * report / MAX_BYTES_PER_SECOND)
}

/// Interval of reports between data centres, at which a root with its children and all other roots
/// stays within `MAX_BYTES_PER_SECOND`.
pub fn centre_interval(accounts: usize, other_centres: usize) -> Duration {
    let report = REPORT_BYTES + ENTRY_BYTES * accounts as f64;
    let tree_share = ROOT_FAN_OUT as f64 / (FAN_OUT + 1) as f64;
    let calls = 2.0 * other_centres as f64 * (report + REPORT_BYTES);
    interval_for(calls / (MAX_BYTES_PER_SECOND * (1.0 - tree_share)))
}

fn interval_for(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds).max(MIN_INTERVAL)
}

/// A call to be sent now.
#[derive(Clone, Debug)]
pub struct DueCall {
    /// Node that the call is sent to.
    pub to: ExchangeMember,
    /// Call to send.
    pub call: ExchangeCall,
}

/// State of the reports to one data centre: to the parent in the node's own data centre, to the
/// root in any other.
#[derive(Debug)]
struct Uplink {
    link: Option<OutboundLink>,
    failures: u32,
    awaiting_reply: bool,
    awaiting_probe: bool,
    next_due: Instant,
    /// Totals acknowledged on earlier links.
    acknowledged: AccountVector,
}

impl Uplink {
    fn new(now: Instant) -> Self {
        Self {
            link: None,
            failures: 0,
            awaiting_reply: false,
            awaiting_probe: false,
            next_due: now,
            acknowledged: AccountVector::default(),
        }
    }

    /// Totals acknowledged on all links, including the current one.
    fn acknowledged_totals(&self) -> AccountVector {
        let mut acknowledged = self.acknowledged.clone();
        if let Some(link) = &self.link {
            acknowledged.merge(&link.sender.acknowledged_totals());
        }
        acknowledged
    }

    fn close_link(&mut self) {
        self.acknowledged = self.acknowledged_totals();
        self.link = None;
        self.failures = 0;
        self.awaiting_reply = false;
    }
}

/// State of one node in the account exchange.
#[derive(Debug)]
pub struct AccountExchange {
    own: ExchangeMember,
    incarnation: Incarnation,
    tree: AccountTree,
    /// Service by this node.
    units: AccountVector,
    backlogged: IndexSet<AccountKey>,
    /// Service reported by children, including on links that have ended.
    from_children: AccountVector,
    /// Service reported by the parent and other data centres, including on links that have ended.
    from_outside: AccountVector,
    /// Service by other nodes since the last [`Self::take_remote`].
    remote: IndexMap<AccountKey, u64>,
    uplinks: IndexMap<DataCentreId, Uplink>,
    inbound: IndexMap<NodeId, InboundLink>,
    next_link: u64,
    is_root: bool,
}

impl AccountExchange {
    /// Creates the exchange of a node that knows no other nodes.
    pub fn new(own: ExchangeMember, incarnation: Incarnation) -> Self {
        Self {
            tree: AccountTree::new(own.clone()),
            own,
            incarnation,
            units: AccountVector::default(),
            backlogged: IndexSet::new(),
            from_children: AccountVector::default(),
            from_outside: AccountVector::default(),
            remote: IndexMap::new(),
            uplinks: IndexMap::new(),
            inbound: IndexMap::new(),
            next_link: 0,
            is_root: false,
        }
    }

    /// Replaces the members of the fleet.
    pub fn set_members(&mut self, members: impl IntoIterator<Item = ExchangeMember>) {
        self.tree.set_members(members);
    }

    /// Sets the total service by this node on an account.
    pub fn set_units(&mut self, account: AccountKey, total: u64) {
        self.units.raise_to(account, total);
    }

    /// Replaces the set of accounts with waiting requests at this node.
    pub fn set_backlogged(&mut self, accounts: IndexSet<AccountKey>) {
        self.backlogged = accounts;
    }

    /// Takes the service by other nodes that was reported since the last call.
    pub fn take_remote(&mut self) -> IndexMap<AccountKey, u64> {
        std::mem::take(&mut self.remote)
    }

    /// Accounts with waiting requests at other nodes.
    pub fn backlogged_elsewhere(&self, now: Instant) -> IndexSet<AccountKey> {
        let max_backlog_age = self.max_backlog_age();
        let from_outside =
            self.outbound_links().flat_map(|link| link.receiver.backlogged(now, max_backlog_age));
        let inbound = self.inbound.values();
        let from_children = inbound.flat_map(|link| link.receiver.backlogged(now, max_backlog_age));
        from_outside.chain(from_children).collect()
    }

    /// Returns whether this node reports to other data centres.
    pub fn is_root(&self) -> bool {
        self.is_root
    }

    /// Parent of this node, once it has replied.
    pub fn parent(&self) -> Option<&NodeId> {
        let link = self.uplinks.get(self.tree.data_centre())?.link.as_ref()?;
        link.responder_incarnation.map(|_| &link.to.node)
    }

    /// Maximum delay until every node knows of a unit of service, while no link fails: up and down
    /// a tree of this size, with one step between data centres.
    pub fn staleness(&self) -> Duration {
        let accounts = self.active_accounts();
        let centres = self.tree.other_centres().count();
        tree_interval(accounts) * (2 * self.tree.depth()) + centre_interval(accounts, centres)
    }

    /// Returns the calls that are due. Each must be followed by [`Self::handle_reply`] or
    /// [`Self::handle_failure`].
    pub fn due_calls(&mut self, now: Instant) -> Vec<DueCall> {
        self.inbound.retain(|_, link| !link.receiver.is_silent_for(now, LINK_RETENTION));
        let centre = self.tree.data_centre().clone();
        let mut calls = self.due_calls_to(&centre, now);
        if self.tree.parent(now).is_none() {
            self.is_root = true;
        }
        if self.is_root {
            let others: Vec<DataCentreId> = self.tree.other_centres().cloned().collect();
            for other in others {
                calls.extend(self.due_calls_to(&other, now));
            }
        } else {
            for (_, uplink) in self.uplinks.iter_mut().filter(|(id, _)| **id != centre) {
                uplink.close_link();
            }
        }
        calls
    }

    /// Time at which [`Self::due_calls`] must be called again.
    pub fn next_due(&self, now: Instant) -> Instant {
        let own = self.tree.data_centre();
        let uplinks = self.uplinks.iter().filter(|(centre, _)| self.is_root || *centre == own);
        let due = uplinks.map(|(_, uplink)| uplink.next_due).min();
        // A time in the past is returned as it is. If each event moved it to the future, a busy
        // process would never reach it. `due_calls` sets the next time, so no call is due twice.
        due.unwrap_or(now).min(now + MAX_INTERVAL)
    }

    /// Handles a call of another node and returns the reply.
    pub fn handle_call(&mut self, call: &ExchangeCall, now: Instant) -> ExchangeReply {
        let is_own = call.data_centre == *self.tree.data_centre();
        let responsible = match call.kind {
            ExchangeKind::Probe | ExchangeKind::Child => {
                is_own && self.tree.ranks_above(&call.sender)
            }
            ExchangeKind::Centre => !is_own && self.is_root,
        };
        if !responsible {
            return self.reply_empty(ExchangeStatus::NotResponsible);
        }
        if call.kind == ExchangeKind::Probe {
            return self.reply_empty(ExchangeStatus::Accepted);
        }
        if !self.accept_link(call) {
            return self.reply_empty(ExchangeStatus::UnknownLink);
        }
        self.merge_call(call, now);
        self.compose_reply(call, now)
    }

    /// Handles the reply to a call.
    pub fn handle_reply(&mut self, sent: &DueCall, reply: &ExchangeReply, now: Instant) {
        if reply.status == ExchangeStatus::NotResponsible {
            self.tree.suspect(&sent.to.node, now);
            self.complete_call(sent);
            if let Some(uplink) = self.uplinks.get_mut(&sent.to.data_centre)
                && uplink.link.as_ref().is_some_and(|link| link.to.node == sent.to.node)
            {
                uplink.close_link();
            }
            return;
        }
        self.tree.clear_suspicion(&sent.to.node);
        self.complete_call(sent);
        let centre = sent.to.data_centre.clone();
        if sent.call.kind == ExchangeKind::Probe {
            // The higher-ranked node answers again, so the next call opens a link to it.
            let uplink = self.uplinks.entry(centre).or_insert_with(|| Uplink::new(now));
            uplink.close_link();
            uplink.next_due = now;
            return;
        }
        let is_parent = centre == *self.tree.data_centre();
        let Some(uplink) = self.uplinks.get_mut(&centre) else { return };
        let Some(link) = uplink.link.as_mut().filter(|link| link.number == sent.call.link) else {
            return;
        };
        let restarted = link.responder_incarnation.is_some_and(|known| known != reply.incarnation);
        if restarted || reply.status == ExchangeStatus::UnknownLink {
            uplink.close_link();
            uplink.next_due = now;
            return;
        }
        uplink.failures = 0;
        link.responder_incarnation = Some(reply.incarnation);
        link.sender.acknowledge(sent.call.sequence);
        link.acknowledged = link.acknowledged.max(reply.sequence);
        let growth = link.receiver.merge(&reply.flow, now);
        if is_parent {
            self.is_root = false;
        }
        self.record_growth(growth, false);
    }

    /// Handles a call that failed or was not answered in time.
    pub fn handle_failure(&mut self, sent: &DueCall, now: Instant) {
        self.complete_call(sent);
        if sent.call.kind == ExchangeKind::Probe {
            self.tree.suspect(&sent.to.node, now);
            return;
        }
        let Some(uplink) = self.uplinks.get_mut(&sent.to.data_centre) else { return };
        let current = uplink.link.as_ref().is_some_and(|link| link.number == sent.call.link);
        if !current {
            return;
        }
        uplink.failures += 1;
        if uplink.failures >= MAX_FAILURES {
            uplink.close_link();
            uplink.next_due = now;
            self.tree.suspect(&sent.to.node, now);
        }
    }

    fn complete_call(&mut self, sent: &DueCall) {
        let Some(uplink) = self.uplinks.get_mut(&sent.to.data_centre) else { return };
        if sent.call.kind == ExchangeKind::Probe {
            uplink.awaiting_probe = false;
        } else if uplink.link.as_ref().is_some_and(|link| link.number == sent.call.link) {
            uplink.awaiting_reply = false;
        }
    }

    fn due_calls_to(&mut self, centre: &DataCentreId, now: Instant) -> Vec<DueCall> {
        let is_own = centre == self.tree.data_centre();
        let accounts = self.active_accounts();
        let (target, interval) = if is_own {
            (self.tree.parent(now).cloned(), tree_interval(accounts))
        } else {
            let centres = self.tree.other_centres().count();
            (self.tree.root_of(centre, now).cloned(), centre_interval(accounts, centres))
        };
        let uplink = self.uplinks.entry(centre.clone()).or_insert_with(|| Uplink::new(now));
        if now < uplink.next_due {
            return Vec::new();
        }
        uplink.next_due = now + interval;
        let mut calls = Vec::new();
        match (&uplink.link, target) {
            (None, Some(target)) => self.open_link(centre, target),
            (Some(link), Some(target)) if link.to.node != target.node => {
                if is_own && !uplink.awaiting_probe {
                    uplink.awaiting_probe = true;
                    calls.push(self.probe(target));
                } else if !is_own {
                    self.open_link(centre, target);
                }
            }
            (Some(link), Some(target)) if link.to.address != target.address => {
                self.open_link(centre, target);
            }
            // The node is now the root of its data centre.
            (Some(_), None) if is_own => uplink.close_link(),
            _ => {}
        }
        calls.extend(self.compose_call(centre, now));
        calls
    }

    fn open_link(&mut self, centre: &DataCentreId, target: ExchangeMember) {
        self.next_link += 1;
        let number = self.next_link;
        let own_centre = self.tree.data_centre();
        if let Some(uplink) = self.uplinks.get_mut(centre) {
            uplink.close_link();
        }
        // The receiver of a link passes on what it has acknowledged, so a new link must not report
        // those units again. For a link to the parent, these are the units acknowledged on any
        // link; for a link to another data centre, those acknowledged there or by the parent.
        let relevant = self
            .uplinks
            .iter()
            .filter(|(id, _)| centre == own_centre || *id == centre || *id == own_centre);
        let mut base = AccountVector::default();
        for (_, uplink) in relevant {
            base.merge(&uplink.acknowledged_totals());
        }
        if let Some(uplink) = self.uplinks.get_mut(centre) {
            uplink.link = Some(OutboundLink::open(target, number, base));
        }
    }

    fn probe(&self, target: ExchangeMember) -> DueCall {
        let call = ExchangeCall {
            sender: self.own.node.clone(),
            data_centre: self.own.data_centre.clone(),
            incarnation: self.incarnation,
            link: 0,
            kind: ExchangeKind::Probe,
            fresh: false,
            sequence: 0,
            acknowledged: 0,
            flow: FlowReport::default(),
        };
        DueCall { to: target, call }
    }

    fn compose_call(&mut self, centre: &DataCentreId, now: Instant) -> Option<DueCall> {
        let max_backlog_age = self.max_backlog_age();
        let kind = if centre == self.tree.data_centre() {
            ExchangeKind::Child
        } else {
            ExchangeKind::Centre
        };
        let mut backlogged = self.backlogged.clone();
        let children = self.inbound.values().filter(|link| link.kind == ExchangeKind::Child);
        backlogged.extend(children.flat_map(|link| link.receiver.backlogged(now, max_backlog_age)));
        let source = self.subtree_totals(&backlogged);
        let uplink = self.uplinks.get_mut(centre)?;
        if uplink.awaiting_reply {
            return None;
        }
        let link = uplink.link.as_mut()?;
        uplink.awaiting_reply = true;
        link.sequence += 1;
        let flow =
            link.sender.compose(&source, |account| backlogged.contains(&account), link.sequence);
        let call = ExchangeCall {
            sender: self.own.node.clone(),
            data_centre: self.own.data_centre.clone(),
            incarnation: self.incarnation,
            link: link.number,
            kind,
            fresh: link.responder_incarnation.is_none(),
            sequence: link.sequence,
            acknowledged: link.acknowledged,
            flow,
        };
        Some(DueCall { to: link.to.clone(), call })
    }

    /// Totals of the service by this node and its subtree.
    fn subtree_totals(&self, backlogged: &IndexSet<AccountKey>) -> AccountVector {
        let mut totals = self.units.clone();
        for (account, units) in self.from_children.iter() {
            totals.add(account, units);
        }
        for account in backlogged {
            totals.add(*account, 0);
        }
        totals
    }

    /// Finds or creates the link of a call, and returns whether the call may be merged.
    fn accept_link(&mut self, call: &ExchangeCall) -> bool {
        if let Some(link) = self.inbound.get(&call.sender) {
            let known = (link.incarnation, link.number);
            let named = (call.incarnation, call.link);
            if named <= known {
                return named == known;
            }
        }
        if !call.fresh {
            return false;
        }
        let mut base = self.subtree_totals(&IndexSet::new());
        for (account, units) in self.from_outside.iter() {
            base.add(account, units);
        }
        self.inbound.insert(call.sender.clone(), InboundLink::accept(call, base));
        true
    }

    fn merge_call(&mut self, call: &ExchangeCall, now: Instant) {
        let Some(link) = self.inbound.get_mut(&call.sender) else { return };
        link.sender.acknowledge(call.acknowledged);
        let growth = link.receiver.merge(&call.flow, now);
        self.record_growth(growth, call.kind == ExchangeKind::Child);
    }

    fn compose_reply(&mut self, call: &ExchangeCall, now: Instant) -> ExchangeReply {
        if call.kind == ExchangeKind::Centre {
            return self.reply_empty(ExchangeStatus::Accepted);
        }
        let max_backlog_age = self.max_backlog_age();
        let mut backlogged = self.backlogged.clone();
        let others = self.inbound.iter().filter(|(sender, _)| **sender != call.sender);
        backlogged
            .extend(others.flat_map(|(_, link)| link.receiver.backlogged(now, max_backlog_age)));
        for link in self.outbound_links() {
            backlogged.extend(link.receiver.backlogged(now, max_backlog_age));
        }
        let mut source = self.subtree_totals(&backlogged);
        for (account, units) in self.from_outside.iter() {
            source.add(account, units);
        }
        let Some(link) = self.inbound.get_mut(&call.sender) else {
            return self.reply_empty(ExchangeStatus::UnknownLink);
        };
        // The units that the child reported itself are left out.
        let outside_subtree: AccountVector = source
            .iter()
            .map(|(account, units)| (account, units - link.receiver.units(account)))
            .collect();
        link.sequence += 1;
        let flow = link.sender.compose(
            &outside_subtree,
            |account| backlogged.contains(&account),
            link.sequence,
        );
        let (incarnation, sequence) = (self.incarnation, link.sequence);
        ExchangeReply { incarnation, status: ExchangeStatus::Accepted, sequence, flow }
    }

    fn record_growth(&mut self, growth: Vec<(AccountKey, u64)>, from_child: bool) {
        for (account, units) in growth {
            let sums = if from_child { &mut self.from_children } else { &mut self.from_outside };
            sums.add(account, units);
            *self.remote.entry(account).or_insert(0) += units;
        }
    }

    fn reply_empty(&self, status: ExchangeStatus) -> ExchangeReply {
        ExchangeReply {
            incarnation: self.incarnation,
            status,
            sequence: 0,
            flow: FlowReport::default(),
        }
    }

    fn outbound_links(&self) -> impl Iterator<Item = &OutboundLink> {
        self.uplinks.values().filter_map(|uplink| uplink.link.as_ref())
    }

    /// Number of accounts in the longest of the current reports.
    fn active_accounts(&self) -> usize {
        let inbound = self.inbound.values().map(|link| link.sender.last_length());
        let outbound = self.outbound_links().map(|link| link.sender.last_length());
        inbound.chain(outbound).max().unwrap_or(0).max(self.backlogged.len())
    }

    fn max_backlog_age(&self) -> Duration {
        let accounts = self.active_accounts();
        let centres = self.tree.other_centres().count();
        tree_interval(accounts).max(centre_interval(accounts, centres)) * MAX_BACKLOG_AGE
    }
}
