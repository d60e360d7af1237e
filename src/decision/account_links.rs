//! Links of the account exchange: the sending and the receiving end, and the calls between them.

use std::time::{Duration, Instant};

use indexmap::IndexSet;

use super::account_tree::ExchangeMember;
use super::accounts::{AccountVector, FlowReport, FlowSender};
use crate::ids::{AccountKey, DataCentreId, Incarnation, NodeId};

/// Purpose of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeKind {
    /// Asks whether the receiver would accept the sender as a child, without changing any state.
    Probe,
    /// Report of a child to its parent. The reply carries the service outside the child's subtree.
    Child,
    /// Report of the root of a data centre to the root of another.
    Centre,
}

/// A report with the link that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeCall {
    /// Node that sends the call.
    pub sender: NodeId,
    /// Data centre of the sender.
    pub data_centre: DataCentreId,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Number of the link. The sender's incarnation numbers its links in ascending order.
    pub link: u64,
    /// Purpose of the call.
    pub kind: ExchangeKind,
    /// Whether no call on this link was answered yet. Only then may the receiver create the link.
    pub fresh: bool,
    /// Sequence number of the call on this link.
    pub sequence: u64,
    /// Sequence number of the last reply that the sender received, or 0 if it has none.
    pub acknowledged: u64,
    /// Report of the service inside the sender's subtree.
    pub flow: FlowReport,
}

/// Whether the receiver accepted a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeStatus {
    /// The report was merged.
    Accepted,
    /// The receiver does not know the link, so the sender must open a new one.
    UnknownLink,
    /// The sender must report to another node.
    NotResponsible,
}

/// Answer to an [`ExchangeCall`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ExchangeReply {
    /// Incarnation of the receiver.
    pub incarnation: Incarnation,
    /// Whether the report was accepted.
    pub status: ExchangeStatus,
    /// Sequence number of the reply on this link.
    pub sequence: u64,
    /// Report of the service outside the sender's subtree. Empty between data centres.
    pub flow: FlowReport,
}

/// Receiving end of one direction of a link.
#[derive(Debug, Default)]
pub(super) struct FlowReceiver {
    received: AccountVector,
    backlogged: IndexSet<AccountKey>,
    last_received: Option<Instant>,
}

impl FlowReceiver {
    /// Merges a report and returns the increase of each counter.
    pub(super) fn merge(&mut self, flow: &FlowReport, now: Instant) -> Vec<(AccountKey, u64)> {
        // A report that is not partial lists every backlogged account.
        if !flow.partial {
            self.backlogged.clear();
        }
        self.last_received = Some(now);
        let mut growth = Vec::new();
        for entry in &flow.entries {
            if entry.backlogged {
                self.backlogged.insert(entry.account);
            } else {
                self.backlogged.swap_remove(&entry.account);
            }
            let units = self.received.raise_to(entry.account, entry.units);
            if units > 0 {
                growth.push((entry.account, units));
            }
        }
        growth
    }

    /// Units received on an account.
    pub(super) fn units(&self, account: AccountKey) -> u64 {
        self.received.get(account)
    }

    /// Accounts reported as backlogged, unless the last report is older than `max_age`.
    pub(super) fn backlogged(
        &self,
        now: Instant,
        max_age: Duration,
    ) -> impl Iterator<Item = AccountKey> {
        let is_recent = self
            .last_received
            .is_some_and(|last_received| now.saturating_duration_since(last_received) <= max_age);
        self.backlogged.iter().copied().filter(move |_| is_recent)
    }

    /// Returns whether no report was received for `time`.
    pub(super) fn is_silent_for(&self, now: Instant, time: Duration) -> bool {
        self.last_received
            .is_none_or(|last_received| now.saturating_duration_since(last_received) > time)
    }
}

/// End of a link that sends calls.
#[derive(Debug)]
pub(super) struct OutboundLink {
    pub(super) to: ExchangeMember,
    pub(super) number: u64,
    pub(super) responder_incarnation: Option<Incarnation>,
    pub(super) sender: FlowSender,
    pub(super) receiver: FlowReceiver,
    pub(super) sequence: u64,
    pub(super) acknowledged: u64,
}

impl OutboundLink {
    pub(super) fn open(to: ExchangeMember, number: u64, base: AccountVector) -> Self {
        Self {
            to,
            number,
            responder_incarnation: None,
            sender: FlowSender::new(base),
            receiver: FlowReceiver::default(),
            sequence: 0,
            acknowledged: 0,
        }
    }
}

/// End of a link that answers calls.
#[derive(Debug)]
pub(super) struct InboundLink {
    pub(super) incarnation: Incarnation,
    pub(super) number: u64,
    pub(super) kind: ExchangeKind,
    pub(super) sender: FlowSender,
    pub(super) receiver: FlowReceiver,
    pub(super) sequence: u64,
}

impl InboundLink {
    pub(super) fn accept(call: &ExchangeCall, base: AccountVector) -> Self {
        Self {
            incarnation: call.incarnation,
            number: call.link,
            kind: call.kind,
            sender: FlowSender::new(base),
            receiver: FlowReceiver::default(),
            sequence: 0,
        }
    }
}
