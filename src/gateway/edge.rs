//! The seam between the gateway and the world around it.
//!
//! A [`GatewayEdge`] says where configuration and upstreams come from and how calls and answers
//! are read and written. It holds names, formats and calls; the gateway decides.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, Response, StatusCode, request, response};

use crate::decision::direct::{PromptShape, RefusalCause, TrialStage};
use crate::ids::{
    ConfigurationVersion, Incarnation, NodeId, ServiceId, StoreRevision, UpstreamId, VersionId,
};
use crate::routing::{ViewBatch, ViewPart};

/// Everything that differs between the platforms a gateway runs on.
pub trait GatewayEdge: Send + Sync + 'static {
    /// Where state that lasts is read and written.
    type Source: FleetSource;
    /// How calls and answers are encoded.
    type Dialect: CallDialect;

    /// The source.
    fn source(&self) -> &Self::Source;

    /// The dialect.
    fn dialect(&self) -> &Self::Dialect;
}

/// Failure of a call to the source.
#[derive(Debug, Display, Error)]
pub enum SourceError {
    /// The changes since the given revision are no longer kept; the part must be read anew.
    #[display("the history since the last known revision is gone")]
    HistoryLost,
    /// The call failed or its answer was lost.
    #[display("{cause}")]
    Unavailable {
        /// What happened.
        cause: String,
    },
}

/// A router as the store names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// The router.
    pub node: NodeId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Address for reports and calls between routers.
    pub address: SocketAddr,
    /// Time since its last sign of life, by the store's clock.
    pub age: Duration,
}

/// State of a version move as recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveRecord {
    /// The service.
    pub service: ServiceId,
    /// Version that takes the traffic.
    pub target: VersionId,
    /// How far the move is.
    pub stage: TrialStage,
}

/// A record and the revision it was read at.
pub type RecordedMove = (MoveRecord, StoreRevision);

/// Where configuration, upstreams, members and the records of version moves are kept.
pub trait FleetSource: Send + Sync + 'static {
    /// Reads all of a part.
    fn read(&self, part: ViewPart) -> impl Future<Output = Result<ViewBatch, SourceError>> + Send;

    /// Waits for changes of a part after `revision`; an empty batch says that there were none.
    fn follow(
        &self,
        part: ViewPart,
        revision: StoreRevision,
    ) -> impl Future<Output = Result<ViewBatch, SourceError>> + Send;

    /// Writes this router's sign of life.
    fn announce(
        &self,
        member: &MemberEntry,
    ) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Removes a router's entry.
    fn retire(&self, node: &NodeId) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Lists the routers that the store names.
    fn members(&self) -> impl Future<Output = Result<Vec<MemberEntry>, SourceError>> + Send;

    /// Reads the record of a version move.
    fn read_move(
        &self,
        service: &ServiceId,
    ) -> impl Future<Output = Result<Option<RecordedMove>, SourceError>> + Send;

    /// Writes the record of a version move if it was not written since `revision`; returns whether
    /// it was written.
    fn record_move(
        &self,
        record: &MoveRecord,
        revision: StoreRevision,
    ) -> impl Future<Output = Result<bool, SourceError>> + Send;
}

/// What a call's head says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallHead {
    /// The caller's identifier of this attempt.
    pub attempt: String,
    /// Key by which the caller shows its team.
    pub key: Option<String>,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// Size and prompt parts of a model call.
    pub prompt: Option<PromptShape>,
}

/// A head that does not say what it must.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{problem}")]
pub struct HeadError {
    /// What is wrong.
    pub problem: String,
}

/// What the gateway adds to a call's head.
#[derive(Debug)]
pub struct ForwardedCall<'a> {
    /// Upstream that must take the call; any other declines it.
    pub upstream: &'a UpstreamId,
    /// Team that pays.
    pub team: Option<&'a str>,
    /// How long the caller still waits.
    pub time_left: Duration,
    /// Last event that the caller has, when a stream is resumed.
    pub resume_after: Option<&'a str>,
    /// Length of the body in bytes.
    pub body_length: usize,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerFacts {
    /// Attempt that the answer belongs to, when it names one.
    pub attempt: Option<String>,
    /// Whether the answer shows that an upstream made it.
    pub signed: bool,
    /// Whether the call has certainly not run.
    pub not_run: bool,
    /// Whether another upstream than the expected one took the call.
    pub misdirected: bool,
    /// How long the upstream keeps an idle connection open, when it says so.
    pub idle_limit: Option<Duration>,
}

/// An answer of the gateway's own.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayRefusal {
    /// The call has not run and the caller may come back.
    NotRun {
        /// Why.
        cause: RefusalCause,
        /// When to come back.
        retry_after: Duration,
    },
    /// No configuration is known yet.
    NotReady {
        /// When to come back.
        retry_after: Duration,
    },
    /// The head is not what it must be.
    BadHead {
        /// What is wrong.
        problem: String,
    },
    /// No route begins the path.
    UnknownRoute {
        /// Version of the configuration that was asked.
        version: ConfigurationVersion,
    },
    /// No team holds the key.
    UnknownKey {
        /// Version of the configuration that was asked.
        version: ConfigurationVersion,
    },
    /// The body is larger than allowed.
    BodyTooLarge {
        /// Largest allowed body, in bytes.
        limit: usize,
    },
    /// The upstream was given the call and gave no usable answer.
    UpstreamFailed,
    /// The time for an answer is over.
    TimedOut,
}

impl GatewayRefusal {
    /// HTTP status of the refusal.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NotRun { .. } | Self::NotReady { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::BadHead { .. } => StatusCode::BAD_REQUEST,
            Self::UnknownRoute { .. } => StatusCode::NOT_FOUND,
            Self::UnknownKey { .. } => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::UpstreamFailed => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// How calls and answers are read and written.
pub trait CallDialect: Send + Sync + 'static {
    /// Reads a caller's head.
    fn read_head(&self, head: &request::Parts) -> Result<CallHead, HeadError>;

    /// Headers for the upstream: the caller's without those that the gateway sets, and these.
    fn forward_headers(&self, head: &request::Parts, call: &ForwardedCall<'_>) -> HeaderMap;

    /// Reads the head of an upstream's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerFacts;

    /// Headers for the caller: the upstream's without those that concern one connection.
    fn answer_headers(&self, head: &response::Parts) -> HeaderMap;

    /// Writes an answer of the gateway's own.
    fn refuse(&self, refusal: &GatewayRefusal) -> Response<Bytes>;
}
