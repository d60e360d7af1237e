//! Messages between the gateway's traffic and its control thread.

use std::net::SocketAddr;

use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};

use super::adapter::{MemberEntry, MoveRecord};
use super::observe::GatewayMetrics;
use crate::decision::direct::{CallDecision, CallOutcome, PeerReport, PendingCall};
use crate::ids::{CallId, GrantId};
use crate::routing::{ViewBatch, ViewSnapshot};

/// Something that changes the control state or asks it for a decision.
#[derive(Debug)]
pub enum ControlEvent {
    /// A call asks for an upstream.
    Arrive {
        /// The call.
        call: Box<PendingCall>,
        /// Where the verdict goes.
        reply: oneshot::Sender<CallDecision>,
    },
    /// A caller left while its call waited.
    Withdraw(CallId),
    /// The first event of an answer came.
    Began(GrantId),
    /// The use of a grant ended.
    Ended {
        /// The grant.
        grant: GrantId,
        /// How.
        outcome: CallOutcome,
        /// Whether the answer came later than its objective.
        late: bool,
    },
    /// The source sent changes.
    View(ViewBatch),
    /// The source answers again after a failure.
    SourceRegained,
    /// Another router's view.
    Import(ViewSnapshot),
    /// Another router asks for the view.
    Export(oneshot::Sender<ViewSnapshot>),
    /// Another router's report.
    Peer(PeerReport),
    /// The routers that the store names.
    Members(Vec<MemberEntry>),
    /// The record of a version move as it stands in the store.
    MoveRecorded(MoveRecord),
    /// The process was told to stop.
    Leaving,
}

/// Sending side of the control channel.
pub type ControlSender = mpsc::Sender<ControlEvent>;

/// Sends an event that may be dropped when the control thread is far behind or has ended.
pub fn tell(control: &ControlSender, metrics: &GatewayMetrics, event: ControlEvent) {
    match control.try_send(event) {
        Ok(()) => {}
        Err(TrySendError::Full(_)) => {
            metrics.events_dropped.inc();
            log::error!("the control queue is full; an event was dropped");
        }
        // The process stops; nobody needs the event any more.
        Err(TrySendError::Closed(_)) => log::debug!("an event came after the control thread"),
    }
}

/// A report and the routers it goes to.
#[derive(Debug)]
pub struct PeerMail {
    /// The report.
    pub report: PeerReport,
    /// Addresses of the other routers.
    pub addresses: Vec<SocketAddr>,
}

/// Work that the control thread gives to other parts.
#[derive(Clone, Debug)]
pub struct ControlOutbox {
    /// Reports for the other routers.
    pub mail: mpsc::Sender<PeerMail>,
    /// Routers whose view is to be fetched.
    pub fetches: mpsc::Sender<SocketAddr>,
    /// Records of version moves to be written.
    pub moves: mpsc::Sender<MoveRecord>,
}
