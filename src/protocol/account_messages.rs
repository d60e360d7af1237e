//! Messages of the account exchange.

use serde::{Deserialize, Serialize};

use super::messages::PeerCall;
use crate::decision::account_links::{ExchangeCall, ExchangeKind, ExchangeReply, ExchangeStatus};
use crate::decision::accounts::{AccountEntry, FlowReport};
use crate::ids::{AccountKey, DataCentreId, Incarnation, NodeId};

/// Account, units and whether the team is backlogged. Entries make up most of a report, so they are
/// tuples: field names would double its size.
type WireEntry = (AccountKey, u64, bool);

/// Body of `POST /peer/accounts`: see [`ExchangeCall`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AccountReport {
    sender: NodeId,
    data_centre: DataCentreId,
    incarnation: Incarnation,
    link: u64,
    kind: ReportKind,
    fresh: bool,
    sequence: u64,
    acknowledged: u64,
    entries: Vec<WireEntry>,
    partial: bool,
}

/// Answer to an [`AccountReport`]: see [`ExchangeReply`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AccountReply {
    incarnation: Incarnation,
    verdict: ReportVerdict,
    sequence: u64,
    entries: Vec<WireEntry>,
    partial: bool,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum ReportKind {
    Probe,
    Child,
    Centre,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
enum ReportVerdict {
    Accepted,
    UnknownLink,
    NotResponsible,
}

impl PeerCall for AccountReport {
    type Reply = AccountReply;

    const PATH: &'static str = "/peer/accounts";
}

fn wire_entries(flow: &FlowReport) -> Vec<WireEntry> {
    flow.entries.iter().map(|entry| (entry.account, entry.units, entry.backlogged)).collect()
}

fn flow_report(entries: Vec<WireEntry>, partial: bool) -> FlowReport {
    let entries = entries
        .into_iter()
        .map(|(account, units, backlogged)| AccountEntry { account, units, backlogged })
        .collect();
    FlowReport { entries, partial }
}

impl From<ExchangeCall> for AccountReport {
    fn from(call: ExchangeCall) -> Self {
        Self {
            entries: wire_entries(&call.flow),
            partial: call.flow.partial,
            sender: call.sender,
            data_centre: call.data_centre,
            incarnation: call.incarnation,
            link: call.link,
            kind: match call.kind {
                ExchangeKind::Probe => ReportKind::Probe,
                ExchangeKind::Child => ReportKind::Child,
                ExchangeKind::Centre => ReportKind::Centre,
            },
            fresh: call.fresh,
            sequence: call.sequence,
            acknowledged: call.acknowledged,
        }
    }
}

impl From<AccountReport> for ExchangeCall {
    fn from(report: AccountReport) -> Self {
        Self {
            sender: report.sender,
            data_centre: report.data_centre,
            incarnation: report.incarnation,
            link: report.link,
            kind: match report.kind {
                ReportKind::Probe => ExchangeKind::Probe,
                ReportKind::Child => ExchangeKind::Child,
                ReportKind::Centre => ExchangeKind::Centre,
            },
            fresh: report.fresh,
            sequence: report.sequence,
            acknowledged: report.acknowledged,
            flow: flow_report(report.entries, report.partial),
        }
    }
}

impl From<ExchangeReply> for AccountReply {
    fn from(reply: ExchangeReply) -> Self {
        Self {
            entries: wire_entries(&reply.flow),
            partial: reply.flow.partial,
            incarnation: reply.incarnation,
            verdict: match reply.status {
                ExchangeStatus::Accepted => ReportVerdict::Accepted,
                ExchangeStatus::UnknownLink => ReportVerdict::UnknownLink,
                ExchangeStatus::NotResponsible => ReportVerdict::NotResponsible,
            },
            sequence: reply.sequence,
        }
    }
}

impl From<AccountReply> for ExchangeReply {
    fn from(reply: AccountReply) -> Self {
        Self {
            incarnation: reply.incarnation,
            status: match reply.verdict {
                ReportVerdict::Accepted => ExchangeStatus::Accepted,
                ReportVerdict::UnknownLink => ExchangeStatus::UnknownLink,
                ReportVerdict::NotResponsible => ExchangeStatus::NotResponsible,
            },
            sequence: reply.sequence,
            flow: flow_report(reply.entries, reply.partial),
        }
    }
}
