//! Interface between the gateway and the platform that it runs on.
//!
//! A [`GatewayAdapter`] provides the source of configuration and upstreams, and the encoding of
//! calls and answers. It only translates names and formats; all decisions are made by the gateway.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use derive_more::{Display, Error};
use http::{HeaderMap, Response, StatusCode, request, response};
use tokio::sync::watch;

use crate::decision::direct::{
    PromptShape, RefusalCause, ScalingOrder, StatedLoad, TrialStage, UpstreamNotice,
};
use crate::decision::duty::{ClosedWindow, UsageRecord};
use crate::ids::{
    ConfigurationVersion, FencingNumber, Incarnation, NodeId, RowVersion, ServiceId, StoreEra,
    StoreRevision, UpstreamId, VersionId,
};
use crate::routing::{ViewBatch, ViewPart};

/// Access to everything that depends on the platform.
pub trait GatewayAdapter: Send + Sync + 'static {
    /// Source of the state that outlives the process.
    type Source: FleetSource;
    /// Encoding of calls and answers.
    type Codec: CallCodec;

    /// Returns the source.
    fn source(&self) -> &Self::Source;

    /// Returns the codec.
    fn codec(&self) -> &Self::Codec;
}

/// Failure of a request to the source.
#[derive(Debug, Display, Error)]
pub enum SourceError {
    /// The store no longer keeps the changes since the given revision, so the part must be read in
    /// full.
    #[display("the history since the last known revision is gone")]
    HistoryLost,
    /// The store was restored from an older copy since the given revision, so the part must be read
    /// in full.
    #[display("the store was restored from an older copy")]
    Restored,
    /// The request failed, or its answer was lost.
    #[display("{cause}")]
    Unavailable {
        /// Description of the failure.
        cause: String,
    },
}

/// Entry of a router in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberEntry {
    /// The router.
    pub node: NodeId,
    /// Incarnation of the router's process.
    pub incarnation: Incarnation,
    /// Address for reports and requests between routers.
    pub address: SocketAddr,
    /// Age of the entry's last renewal, by the store's clock.
    pub age: Duration,
}

/// State of a version move, as the store records it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveRecord {
    /// The service.
    pub service: ServiceId,
    /// Version that the traffic moves to.
    pub target: VersionId,
    /// Revision of the order that the record belongs to.
    pub order: StoreRevision,
    /// Stage of the move.
    pub stage: TrialStage,
}

/// What the store holds as the record of a service's version move.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredMove {
    /// Target and stage; `None` without a record, and if it cannot be read.
    pub state: Option<(VersionId, TrialStage)>,
    /// Revision at which it was written; without a record, version 0 of the store's era.
    pub revision: StoreRevision,
}

/// Lease of the duties, as the store has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredLease {
    /// Router that holds it.
    pub holder: NodeId,
    /// Its fencing number.
    pub fencing: FencingNumber,
    /// Version of the row.
    pub version: RowVersion,
}

/// What the store holds about the duties.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StoredDuties {
    /// Era of the store that was read.
    pub era: StoreEra,
    /// The lease; `None` if it was never held, and if it cannot be read.
    pub lease: Option<StoredLease>,
    /// Record of the closed windows of usage, and the version of its row.
    pub usage: Option<(UsageRecord, RowVersion)>,
}

/// Write of the holder of the duties: renews the lease, and records usage with it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyWrite {
    /// Router that holds the lease.
    pub holder: NodeId,
    /// Its fencing number.
    pub fencing: FencingNumber,
    /// Expected version of the lease's row; 0 if it must not exist.
    pub expected: RowVersion,
    /// Record to write, and the expected version of its row.
    pub usage: Option<(UsageRecord, RowVersion)>,
}

/// Where and at which version the rows of a [`DutyWrite`] were written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WrittenDuties {
    /// Era of the store.
    pub era: StoreEra,
    /// Version of the rows.
    pub version: RowVersion,
}

/// Identity of the holder of a duty, which goes with every call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyStamp {
    /// The router.
    pub holder: NodeId,
    /// Its fencing number.
    pub fencing: FencingNumber,
}

/// Answer to the call of a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DutyAnswer {
    /// The call took effect.
    Accepted,
    /// The call had no effect and was answered with this status.
    Refused(StatusCode),
}

/// Store of the configuration, the upstreams, the members, the records of version moves and the
/// duties; receiver of the duties' calls.
pub trait FleetSource: Send + Sync + 'static {
    /// Returns a channel with the newest era that the store has stated; 0 before it has stated one.
    fn eras(&self) -> watch::Receiver<StoreEra>;

    /// Returns the newest era that the store has stated; 0 before it has stated one.
    fn era(&self) -> StoreEra {
        *self.eras().borrow()
    }

    /// Reads a part in full.
    fn read(&self, part: ViewPart) -> impl Future<Output = Result<ViewBatch, SourceError>> + Send;

    /// Returns the changes of a part after `revision`; waits for the first one for up to `wait`.
    fn follow(
        &self,
        part: ViewPart,
        revision: StoreRevision,
        wait: Duration,
    ) -> impl Future<Output = Result<ViewBatch, SourceError>> + Send;

    /// Writes this router's entry with the current time; returns the era in which it was written.
    fn renew_member(
        &self,
        member: &MemberEntry,
    ) -> impl Future<Output = Result<StoreEra, SourceError>> + Send;

    /// Removes a router's entry.
    fn remove_member(&self, node: &NodeId) -> impl Future<Output = Result<(), SourceError>> + Send;

    /// Lists the routers' entries.
    fn list_members(&self) -> impl Future<Output = Result<Vec<MemberEntry>, SourceError>> + Send;

    /// Reads the record of a version move.
    fn read_move(
        &self,
        service: &ServiceId,
    ) -> impl Future<Output = Result<StoredMove, SourceError>> + Send;

    /// Writes the record of a version move unless it was changed after `revision`, or its order is
    /// no longer in force; returns whether it was written. It fails when the order was read in
    /// another era than the record.
    fn record_move(
        &self,
        record: &MoveRecord,
        revision: StoreRevision,
    ) -> impl Future<Output = Result<bool, SourceError>> + Send;

    /// Returns the time of the store's monotonic clock; `None` before its first answer.
    fn store_time(&self) -> Option<Duration>;

    /// Reads the lease of the duties and the record of usage.
    fn read_duties(&self) -> impl Future<Output = Result<StoredDuties, SourceError>> + Send;

    /// Writes the lease of the duties and the record of usage if their rows have the expected
    /// versions; `None` when they have not.
    fn write_duties(
        &self,
        write: &DutyWrite,
    ) -> impl Future<Output = Result<Option<WrittenDuties>, SourceError>> + Send;

    /// Reports the usage of a window. After an error it may have been accepted.
    fn report_usage(
        &self,
        stamp: &DutyStamp,
        closed: &ClosedWindow,
    ) -> impl Future<Output = Result<DutyAnswer, SourceError>> + Send;

    /// Orders a number of engines. After an error it may have been accepted.
    fn order_engines(
        &self,
        stamp: &DutyStamp,
        order: &ScalingOrder,
    ) -> impl Future<Output = Result<DutyAnswer, SourceError>> + Send;
}

/// Metadata in the head of a call.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CallMetadata {
    /// Caller's identifier of this attempt.
    pub attempt: String,
    /// Key that identifies the caller's team.
    pub key: Option<String>,
    /// Time that the caller waits.
    pub time_left: Option<Duration>,
    /// Size and parts of the prompt, for model calls.
    pub prompt: Option<PromptShape>,
}

/// Error for a head with a missing or malformed value.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{problem}")]
pub struct HeadError {
    /// What is wrong.
    pub problem: String,
}

/// Metadata that the gateway adds to the head of a forwarded call.
#[derive(Debug)]
pub struct ForwardedCall<'a> {
    /// Upstream that the call is meant for; any other declines it.
    pub upstream: &'a UpstreamId,
    /// Team that the call is accounted to.
    pub team: Option<&'a str>,
    /// Time that the caller still waits.
    pub time_left: Duration,
    /// Last event that the caller received, when a stream is resumed.
    pub resume_after: Option<&'a str>,
    /// Length of the body in bytes.
    pub body_length: usize,
}

/// Metadata in the head of an upstream's answer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerMetadata {
    /// Attempt that the answer belongs to, if it states one.
    pub attempt: Option<String>,
    /// Whether the answer carries an upstream's signature.
    pub signed: bool,
    /// Whether the upstream states that it did not run the call.
    pub not_run: bool,
    /// Whether an upstream other than the intended one received the call.
    pub misdirected: bool,
    /// Time that the upstream keeps an idle connection open, if stated.
    pub idle_limit: Option<Duration>,
    /// Whether the upstream states that it is about to stop.
    pub leaving: bool,
    /// Time for which the upstream wants no further calls of this router, if stated.
    pub pause: Option<Duration>,
    /// Load that the upstream states.
    pub load: Option<StatedLoad>,
}

impl AnswerMetadata {
    /// Returns what the upstream states about itself.
    pub fn notices(&self) -> impl Iterator<Item = UpstreamNotice> {
        let leaving = self.leaving.then_some(UpstreamNotice::Leaving);
        leaving.into_iter().chain(self.pause.map(UpstreamNotice::Pause))
    }
}

/// Refusal or failure that the gateway answers itself.
#[derive(Clone, Debug, PartialEq)]
pub enum GatewayRefusal {
    /// The call has not run, and the caller may retry.
    NotRun {
        /// Cause of the refusal.
        cause: RefusalCause,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// No configuration has been loaded yet.
    NotReady {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The head is invalid.
    BadHead {
        /// What is wrong.
        problem: String,
    },
    /// No route matches the path.
    UnknownRoute {
        /// Version of the configuration that was searched.
        version: ConfigurationVersion,
    },
    /// No team has the key.
    UnknownKey {
        /// Version of the configuration that was searched.
        version: ConfigurationVersion,
    },
    /// The body exceeds the limit.
    BodyTooLarge {
        /// Limit of the body's size, in bytes.
        limit: usize,
    },
    /// The body did not arrive in time. The call has not run.
    BodyTimedOut,
    /// The upstream received the call and gave no usable answer.
    UpstreamFailed,
    /// The deadline has passed.
    TimedOut,
}

impl GatewayRefusal {
    /// Returns the HTTP status of the refusal.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::NotRun { .. } | Self::NotReady { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::BadHead { .. } => StatusCode::BAD_REQUEST,
            Self::UnknownRoute { .. } => StatusCode::NOT_FOUND,
            Self::UnknownKey { .. } => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimedOut => StatusCode::REQUEST_TIMEOUT,
            Self::UpstreamFailed => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

/// Encoding of calls and answers as HTTP heads.
pub trait CallCodec: Send + Sync + 'static {
    /// Reads the head of a call.
    fn read_head(&self, head: &request::Parts) -> Result<CallMetadata, HeadError>;

    /// Returns the headers for the upstream: those of the caller, except for those that the gateway
    /// sets itself, and the gateway's.
    fn forward_headers(&self, head: &request::Parts, call: &ForwardedCall<'_>) -> HeaderMap;

    /// Reads the head of an upstream's answer.
    fn read_answer(&self, head: &response::Parts) -> AnswerMetadata;

    /// Returns the headers for the caller: those of the upstream, except for those that concern a
    /// single connection.
    fn answer_headers(&self, head: &response::Parts) -> HeaderMap;

    /// Encodes a refusal as a response.
    fn refuse(&self, refusal: &GatewayRefusal) -> Response<Bytes>;
}
