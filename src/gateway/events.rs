//! Channels between the gateway's tasks and its control thread.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::StatusCode;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot};

use super::adapter::{MemberEntry, MoveRecord};
use super::observe::GatewayMetrics;
use super::view_log::ViewOrigin;
use crate::decision::direct::{
    CallDecision, CallOutcome, PeerReport, PendingCall, ReceivedLoad, ScalingInput, ScalingSubject,
    ShedCall, UpstreamNotice,
};
use crate::decision::duty::{ClosedWindow, DutyStatus};
use crate::ids::{CallId, GrantId, StoreRevision, UsageWindow};
use crate::routing::{ViewBatch, ViewPart, ViewSnapshot};

/// Event for the control thread.
#[derive(Debug)]
pub enum ControlEvent {
    /// A call requests an upstream.
    Place {
        /// The call.
        call: Box<PendingCall>,
        /// Channel for the decision.
        reply: oneshot::Sender<CallDecision>,
    },
    /// The caller of a pending call left.
    Cancel(CallId),
    /// The first event of an answer was read.
    FirstEvent {
        /// The grant.
        grant: GrantId,
        /// Time since the call was sent.
        waited: Duration,
        /// Time for which the event probably lay at this router before it was read.
        own_delay: Duration,
        /// Load that the upstream stated in the head of the answer.
        stated: Option<ReceivedLoad>,
    },
    /// An upstream stated something about itself in the head of an answer.
    Notice {
        /// The grant of the answered call.
        grant: GrantId,
        /// The answered call.
        call: CallId,
        /// The statement.
        notice: UpstreamNotice,
        /// Status of the answer.
        status: StatusCode,
    },
    /// A grant ended.
    Ended {
        /// The grant.
        grant: GrantId,
        /// How it ended.
        outcome: CallOutcome,
        /// Whether the answer missed its objective.
        late: bool,
        /// Writes of its stream.
        writes: u32,
        /// Load that the upstream stated in the head of an answer without a first event.
        stated: Option<ReceivedLoad>,
    },
    /// Calls that were refused because of overload.
    Shed(Vec<ShedCall>),
    /// Calls per second that this router has time for, besides those that it serves.
    SpareRate(f64),
    /// Changes from the source.
    View {
        /// The changes.
        batch: ViewBatch,
        /// How they were learned.
        origin: ViewOrigin,
        /// When the source still had no further changes.
        confirmed_at: Instant,
    },
    /// The source has no changes of a part.
    Unchanged {
        /// The part.
        part: ViewPart,
        /// Revision up to which the source has no changes.
        revision: StoreRevision,
        /// When this was so.
        confirmed_at: Instant,
    },
    /// The source answers again after an outage.
    SourceRecovered,
    /// View of another router.
    Import(ViewSnapshot),
    /// Request of another router for the view.
    Export(oneshot::Sender<ViewSnapshot>),
    /// Report of another router.
    Report(Box<PeerReport>),
    /// This router's entry was written again after a restore of the store.
    MemberRewritten,
    /// Routers' entries in the store.
    Members(Vec<MemberEntry>),
    /// Reading of the store's monotonic clock.
    StoreTime {
        /// The time.
        time: Duration,
        /// When it was read.
        at: Instant,
    },
    /// Request for the next window of usage that can be closed.
    CloseUsage {
        /// Last window that is closed.
        after: UsageWindow,
        /// Channel for the window.
        reply: oneshot::Sender<Option<ClosedWindow>>,
    },
    /// Request for what decisions about the numbers of engines rest on.
    ScalingInputs(oneshot::Sender<Vec<(ScalingSubject, ScalingInput)>>),
    /// What this router holds of the duties; `None` when it holds nothing.
    DutyStatus(Option<DutyStatus>),
    /// Record of a version move in the store.
    MoveRecorded(MoveRecord),
    /// The process is shutting down.
    ShuttingDown,
}

/// Sending side of the control channel.
pub type ControlSender = mpsc::Sender<ControlEvent>;

/// Sends an event to the control thread; it is dropped and counted when the queue is full.
pub fn send_event(control: &ControlSender, metrics: &GatewayMetrics, event: ControlEvent) {
    match control.try_send(event) {
        Ok(()) => {}
        Err(TrySendError::Full(_)) => {
            metrics.events_dropped.inc();
            log::error!("the control queue is full; an event was dropped");
        }
        // The process is shutting down, so the event is no longer needed.
        Err(TrySendError::Closed(_)) => {
            log::debug!("dropped an event after the end of the control thread")
        }
    }
}

/// A report to send and its recipients.
#[derive(Debug)]
pub struct OutgoingReport {
    /// The report.
    pub report: PeerReport,
    /// Addresses of the other routers.
    pub addresses: Vec<SocketAddr>,
}

/// Channels to the tasks that do I/O for the control thread.
#[derive(Clone, Debug)]
pub struct ControlOutbox {
    /// Reports for the other routers.
    pub reports: mpsc::Sender<OutgoingReport>,
    /// Routers to fetch the view from.
    pub fetches: mpsc::Sender<SocketAddr>,
    /// Records of version moves to write.
    pub moves: mpsc::Sender<MoveRecord>,
}
