//! Events for the router's control thread, and notices from it to callers' tasks.

use std::net::SocketAddr;

use tokio::sync::{mpsc, oneshot};

use super::version_tracking::VersionCall;
use crate::decision::dispatch::DispatchRefusal;
use crate::decision::quarantine::{RequestFingerprint, SuspectRecord};
use crate::decision::retry::{AttemptFailure, RetryCandidate, RetryDecision};
use crate::exchange::ExchangeEvent;
use crate::ids::{AttemptId, RequestId, UpstreamId, VersionId};
use crate::lifecycle::request::RequestTicket;
use crate::protocol::{
    AgentNotice, EvidenceReply, FaultNotice, FetchReply, FetchRequest, OfferReply, RequestContent,
};
use crate::report::{BurnReport, ServiceObservation};

/// Event handled by the router's control thread.
#[derive(Debug)]
pub enum RouterEvent {
    /// A caller's request was admitted.
    RequestArrived {
        /// Attributes that placement uses.
        ticket: RequestTicket,
        /// Request as it is sent to the upstream.
        content: RequestContent,
        /// Channel to the caller's task.
        notices: mpsc::Sender<CallerNotice>,
    },
    /// An agent answered a batch of offers.
    OffersAnswered {
        /// The agent's upstream.
        agent: UpstreamId,
        /// The agent's reply.
        reply: OfferReply,
    },
    /// A batch of offers could not be delivered.
    OffersFailed {
        /// The agent's upstream.
        agent: UpstreamId,
        /// The offered requests.
        requests: Vec<RequestId>,
    },
    /// An agent fetches a request.
    Fetch {
        /// The message.
        fetch: FetchRequest,
        /// Channel to the agent's call.
        reply: oneshot::Sender<FetchReply>,
    },
    /// An agent reported a free slot or its departure.
    NoticeReceived(AgentNotice),
    /// An attempt failed; the caller's task asks whether to retry.
    AttemptFailed {
        /// Kind of failure.
        failure: AttemptFailure,
        /// Attributes of the request that the retry policy uses.
        candidate: RetryCandidate,
        /// Channel to the caller's task.
        reply: oneshot::Sender<RetryDecision>,
    },
    /// A granted request is to be offered again.
    Requeue {
        /// The request.
        request: RequestId,
        /// Whether its upstream crashed; the request must then run alone.
        crashed: bool,
    },
    /// A call to a service with a running version move ended.
    VersionCallEnded(VersionCall),
    /// The lease holder requests this router's evidence about version moves.
    EvidenceRequested(oneshot::Sender<EvidenceReply>),
    /// Another router reported a fault of a new version.
    FaultReported(FaultNotice),
    /// A request was answered or refused, or its caller disconnected.
    RequestEnded(RequestId),
    /// Requests that were in flight when an upstream crashed were reported.
    SuspectsReported(Vec<(RequestFingerprint, SuspectRecord)>),
    /// The measurements of an ended request.
    RequestObserved(ServiceObservation),
    /// An operator requested the burn report.
    BurnReportRequested {
        /// Maximum number of entries.
        most: usize,
        /// Channel to the operator's call.
        reply: oneshot::Sender<BurnReport>,
    },
    /// An event of the account exchange.
    Exchange(ExchangeEvent),
}

impl From<ExchangeEvent> for RouterEvent {
    fn from(event: ExchangeEvent) -> Self {
        Self::Exchange(event)
    }
}

/// Notice from the control thread to a caller's task.
#[derive(Clone, Debug)]
pub enum CallerNotice {
    /// The request was granted to an agent, which serves its answer.
    Granted {
        /// The agent's upstream.
        agent: UpstreamId,
        /// Its peer address.
        address: SocketAddr,
        /// Attempt under which the agent runs the request.
        attempt: AttemptId,
        /// Version that must serve the request.
        version: Option<VersionId>,
    },
    /// The request was refused and not run.
    Refused(DispatchRefusal),
}
