//! Messages about requests and answers between routers and agents.

use std::net::SocketAddr;
use std::time::SystemTime;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::decision::quarantine::{CrashId, RequestFingerprint, SuspectRecord};
use crate::ids::{
    AttemptId, BootId, Incarnation, RequestId, RouteId, ServiceId, TeamId, UpstreamId, VersionId,
};

/// A message that is sent as the body of an HTTP request and answered by another message.
pub trait PeerCall: Serialize + DeserializeOwned + Send + Sync {
    /// Type of the reply.
    type Reply: Serialize + DeserializeOwned + Send;

    /// Path that the message is sent to.
    const PATH: &'static str;

    /// HTTP method of the call.
    const METHOD: http::Method = http::Method::POST;
}

/// Batch of offers from a router to an agent.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OfferBatch {
    /// Peer address at which the agent fetches the requests.
    pub router: SocketAddr,
    /// The offers.
    pub offers: Vec<RequestOffer>,
}

/// One offered request; the body stays at the router.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestOffer {
    /// Identifier of the request.
    pub request: RequestId,
    /// Team to which its cost is charged.
    pub team: TeamId,
    /// Service that it calls.
    pub service: ServiceId,
    /// Route of the service.
    pub route: RouteId,
    /// Version that must serve it.
    pub version: Option<VersionId>,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Estimated cost in units of the service.
    pub cost_hint: Option<f64>,
    /// Hash of the prompt's prefix.
    pub prefix_hash: Option<u64>,
    /// Whether it must be the only request on its upstream.
    pub run_alone: bool,
    /// Hash over service, route and body, which identifies a request that crashes upstreams.
    pub fingerprint: RequestFingerprint,
}

impl PeerCall for OfferBatch {
    type Reply = OfferReply;

    const PATH: &'static str = "/peer/offer";
}

/// Reply to an [`OfferBatch`]; offers that are not refused are accepted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OfferReply {
    /// Refused offers.
    pub refused: Vec<RefusedOffer>,
    /// Load of the agent after the batch.
    pub load: AgentLoad,
}

/// An offer that an agent refused.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RefusedOffer {
    /// The request.
    pub request: RequestId,
    /// Reason for the refusal.
    pub reason: OfferRefusal,
}

/// Reason why an agent refuses an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum OfferRefusal {
    /// The agent's queue is full.
    #[display("queue full")]
    QueueFull,
    /// The agent is stopping.
    #[display("draining")]
    Draining,
    /// The agent serves another service or version.
    #[display("wrong service")]
    WrongService,
    /// The data centre or the upstream is out of service.
    #[display("out of service")]
    OutOfService,
}

/// Load of an agent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AgentLoad {
    /// Requests that hold a slot.
    pub running: u32,
    /// Number of slots that admission control currently allows.
    pub limit: u32,
    /// Number of waiting offers.
    pub waiting: u32,
    /// Incarnation of the agent process.
    pub incarnation: Incarnation,
    /// Boot id of the upstream process.
    pub boot: Option<BootId>,
}

/// Withdrawal of offers by a router.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WithdrawBatch {
    /// Requests that were granted to another agent or refused.
    pub requests: Vec<RequestId>,
}

impl PeerCall for WithdrawBatch {
    type Reply = ();

    const PATH: &'static str = "/peer/withdraw";
}

/// Request of an agent with a free slot for the content of an offered request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FetchRequest {
    /// The request.
    pub request: RequestId,
    /// Random id, drawn by the agent, of the attempt in all later messages and in the claim row.
    pub attempt: AttemptId,
    /// Upstream of the fetching agent.
    pub agent: UpstreamId,
    /// Incarnation of the agent process.
    pub incarnation: Incarnation,
}

impl PeerCall for FetchRequest {
    type Reply = FetchReply;

    const PATH: &'static str = "/peer/fetch";
}

/// Reply to a [`FetchRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum FetchReply {
    /// The request was granted to another agent or refused, or its caller disconnected.
    Withdrawn,
    /// The request is granted to the fetching agent exclusively.
    Granted(RequestContent),
}

/// A caller's request as it is sent to the upstream.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestContent {
    /// HTTP method.
    pub method: String,
    /// Path and query below the service.
    pub path: String,
    /// Headers without hop-by-hop headers and credentials.
    pub headers: Vec<HeaderField>,
    /// Complete body.
    pub body: Bytes,
    /// The caller's idempotency key.
    pub key: Option<String>,
}

/// One HTTP header.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeaderField {
    /// Name in lower case.
    pub name: String,
    /// Value.
    pub value: Bytes,
}

/// Request of a router for the answer of an attempt, starting at a body offset.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AnswerRequest {
    /// The request.
    pub request: RequestId,
    /// The attempt that produces the answer.
    pub attempt: AttemptId,
    /// Offset of the first body byte that the router has not received.
    pub offset: u64,
}

impl PeerCall for AnswerRequest {
    type Reply = ();

    const PATH: &'static str = "/peer/answer";
}

/// One frame of an answer stream.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AnswerFrame {
    /// The request; lets the reader detect a frame of another answer.
    pub request: RequestId,
    /// Body offset of the event.
    pub offset: u64,
    /// The event.
    pub event: AnswerEvent,
}

/// Event in a frame.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum AnswerEvent {
    /// Status and headers of the answer.
    Head(AnswerHead),
    /// Body bytes.
    Data(Bytes),
    /// No event; shows that the connection and the agent are alive.
    Heartbeat,
    /// The answer is complete.
    End,
    /// The agent did not run the request.
    Refused(RunRefusal),
    /// The answer cannot be completed.
    Failed {
        /// Kind of failure.
        failure: RunFailure,
        /// Description of the cause.
        reason: String,
        /// Whether the upstream may have run the request.
        run_state: RunState,
    },
}

/// Status and headers of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerHead {
    /// HTTP status.
    pub status: u16,
    /// Headers without hop-by-hop headers.
    pub headers: Vec<HeaderField>,
}

/// Header of an answer that was stored by an earlier run with the same key.
const REPLAYED_HEADER: &str = "godwitcrank-replayed";

/// Returns the head of an answer that was stored by an earlier run with the same key.
pub fn replay_head(status: u16, headers: Vec<(String, String)>) -> AnswerHead {
    let replayed = (REPLAYED_HEADER.to_owned(), "true".to_owned());
    let fields = headers.into_iter().chain([replayed]);
    let headers = fields.map(|(name, value)| HeaderField { name, value: value.into() }).collect();
    AnswerHead { status, headers }
}

/// Reason why an agent did not run a request that it had fetched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum RunRefusal {
    /// Another attempt with the same key may be running.
    #[display("the key is in progress")]
    InProgress,
    /// A request with the same key may have run, and its answer is lost.
    #[display("the key's outcome is unknown")]
    OutcomeUnknown,
    /// A request with the same key has run, and its answer was too large to store.
    #[display("the key's request has finished; its answer of {length} bytes was not kept")]
    AnswerNotKept {
        /// HTTP status of the answer.
        status: u16,
        /// Length of its body in bytes.
        length: u64,
    },
    /// The key was used with another method, path or body.
    #[display("the key was used with another request")]
    KeyReused,
    /// The key has had too many cancelled attempts.
    #[display("the key has had too many cancelled attempts")]
    AttemptsExhausted,
    /// The attempt was cancelled by its router.
    #[display("the attempt was cancelled")]
    AttemptCancelled,
    /// The table service does not answer.
    #[display("the table service does not answer")]
    StoreDown,
    /// The claim rate exceeds the agent's limit or that of the table service.
    #[display("too many claims")]
    ClaimRate,
    /// The request is a suspect, and another agent is running it alone as a trial.
    #[display("another trial of the suspect request is under way")]
    TrialElsewhere,
    /// The request was in flight when two upstreams crashed.
    #[display("the request is quarantined")]
    Quarantined,
}

/// Kind of failure of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
pub enum RunFailure {
    /// The agent could not connect to its upstream.
    #[display("upstream unreachable")]
    Unreachable,
    /// The connection to the upstream failed during the run.
    #[display("connection to the upstream failed")]
    Broke,
    /// The upstream process ended during the run.
    #[display("upstream crashed")]
    Crashed,
    /// The run was cancelled by its router.
    #[display("cancelled")]
    Cancelled,
    /// The requested bytes of the answer are no longer buffered.
    #[display("answer freed")]
    Freed,
}

/// Whether a request was run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, derive_more::Display)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// The upstream did not run the request.
    #[display("no")]
    No,
    /// The upstream may have run it.
    #[display("unknown")]
    Unknown,
    /// The upstream has run it.
    #[display("yes")]
    Yes,
}

/// Acknowledgement by a router of the bytes below an offset, which the agent can then free.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AnswerAcknowledgement {
    /// The request.
    pub request: RequestId,
    /// The attempt that produces the answer.
    pub attempt: AttemptId,
    /// Offset of the first body byte that is not acknowledged.
    pub offset: u64,
    /// Whether the router has received the end of the answer.
    pub complete: bool,
}

impl PeerCall for AnswerAcknowledgement {
    type Reply = ();

    const PATH: &'static str = "/peer/acknowledge";
}

/// Cancellation of an attempt by a router that no longer needs its answer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CancelRequest {
    /// The request.
    pub request: RequestId,
    /// The attempt to cancel.
    pub attempt: AttemptId,
}

impl PeerCall for CancelRequest {
    type Reply = ();

    const PATH: &'static str = "/peer/cancel";
}

/// Change of an agent's state, sent to routers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AgentNotice {
    /// The agent's upstream.
    pub agent: UpstreamId,
    /// Load of the agent.
    pub load: AgentLoad,
    /// Kind of change.
    pub kind: NoticeKind,
}

/// Kind of an [`AgentNotice`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoticeKind {
    /// The agent has a free slot and no waiting offers.
    Free,
    /// The agent takes no new work and drops all offers.
    Leaving,
}

impl PeerCall for AgentNotice {
    type Reply = ();

    const PATH: &'static str = "/peer/notice";
}

/// Requests that were in flight when an upstream crashed, sent by an agent to routers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SuspectNotice {
    /// The suspects.
    pub entries: Vec<SuspectEntry>,
}

/// Record of one suspect.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SuspectEntry {
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
    /// Crashes during which it was in flight, with their times.
    pub crashes: Vec<(CrashId, SystemTime)>,
    /// Crashes of which it has been cleared by a trial.
    pub excused: Vec<CrashId>,
}

impl From<&SuspectEntry> for SuspectRecord {
    fn from(entry: &SuspectEntry) -> Self {
        Self {
            crashes: entry.crashes.iter().copied().collect(),
            excused: entry.excused.iter().copied().collect(),
        }
    }
}

impl PeerCall for SuspectNotice {
    type Reply = ();

    const PATH: &'static str = "/peer/suspects";
}
