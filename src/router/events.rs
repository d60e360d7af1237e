//! Events to the router's control thread and notices from it.

use std::net::SocketAddr;

use tokio::sync::{mpsc, oneshot};

use super::version_tracking::VersionCall;
use crate::decision::dispatch::DispatchRefusal;
use crate::decision::quarantine::{RequestFingerprint, SuspectRecord};
use crate::decision::retry::{AttemptFailure, RetryCandidate, RetryVerdict};
use crate::exchange::ExchangeEvent;
use crate::ids::{AttemptId, RequestId, UpstreamId, VersionId};
use crate::lifecycle::request::RequestTicket;
use crate::protocol::{
    AgentNotice, EvidenceReply, FaultNotice, FetchReply, FetchRequest, OfferReply, RequestContent,
};
use crate::report::{BurnReport, ServiceObservation};

/// Something that the control thread must know.
#[derive(Debug)]
pub enum RouterEvent {
    /// A caller's request arrived.
    RequestArrived {
        /// What placement needs to know.
        ticket: RequestTicket,
        /// What the upstream receives.
        content: RequestContent,
        /// Where the caller's task waits.
        notices: mpsc::Sender<CallerNotice>,
    },
    /// An agent answered a batch of offers.
    OffersAnswered {
        /// The agent's upstream.
        agent: UpstreamId,
        /// Its answer.
        reply: OfferReply,
    },
    /// A batch of offers could not be delivered.
    OffersFailed {
        /// The agent's upstream.
        agent: UpstreamId,
        /// The offered requests.
        requests: Vec<RequestId>,
    },
    /// An agent asks for a request.
    Fetch {
        /// The question.
        fetch: FetchRequest,
        /// Where the agent's call waits.
        reply: oneshot::Sender<FetchReply>,
    },
    /// An agent announces something.
    NoticeReceived(AgentNotice),
    /// An attempt failed: what may follow?
    AttemptFailed {
        /// What failed.
        failure: AttemptFailure,
        /// The request.
        candidate: RetryCandidate,
        /// Where the caller's task waits.
        reply: oneshot::Sender<RetryVerdict>,
    },
    /// A granted request did not run, or may run again.
    Requeue {
        /// The request.
        request: RequestId,
        /// Whether its upstream crashed, so that it must run alone.
        crashed: bool,
    },
    /// A request of a service with a version move ended at an upstream.
    VersionCallEnded(VersionCall),
    /// The lease holder asks what this router saw of version moves.
    EvidenceRequested(oneshot::Sender<EvidenceReply>),
    /// Another router found a new version faulty.
    FaultReported(FaultNotice),
    /// The request is over: answered, refused, or its caller left.
    RequestEnded(RequestId),
    /// Requests were in flight when an upstream crashed.
    SuspectsReported(Vec<(RequestFingerprint, SuspectRecord)>),
    /// A request was observed to its end.
    RequestObserved(ServiceObservation),
    /// An operator asks for the burn report.
    BurnReportRequested {
        /// Most entries to report.
        most: usize,
        /// Where the operator's call waits.
        reply: oneshot::Sender<BurnReport>,
    },
    /// Something about the account exchange.
    Exchange(ExchangeEvent),
}

impl From<ExchangeEvent> for RouterEvent {
    fn from(event: ExchangeEvent) -> Self {
        Self::Exchange(event)
    }
}

/// What the control thread tells a caller's task.
#[derive(Clone, Debug)]
pub enum CallerNotice {
    /// An agent has the request; its answer can be read there.
    Granted {
        /// The agent's upstream.
        agent: UpstreamId,
        /// Its peer address.
        address: SocketAddr,
        /// The agent's attempt.
        attempt: AttemptId,
        /// Version that the request must be served by.
        version: Option<VersionId>,
    },
    /// The request was not run.
    Refused(DispatchRefusal),
}
