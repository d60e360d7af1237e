//! Events for the agent's control thread.

use std::time::Duration;

use tokio::sync::oneshot;

use crate::decision::admission::HealthReport;
use crate::decision::claim_limiter::ClaimAdmission;
use crate::decision::quarantine::{RequestFingerprint, SuspectRecord};
use crate::exchange::ExchangeEvent;
use crate::ids::{FencingNumber, RequestId, VersionId};
use crate::protocol::{OfferBatch, OfferReply, OrderMessage, OrderReply};
use crate::store::StoreSignal;

/// Event handled by the agent's control thread.
#[derive(Debug)]
pub enum AgentEvent {
    /// A router offers requests.
    OffersReceived {
        /// The offers.
        batch: OfferBatch,
        /// Channel to the router's call.
        reply: oneshot::Sender<OfferReply>,
    },
    /// A router withdrew offers.
    OffersWithdrawn(Vec<RequestId>),
    /// A request was fetched and is ready to be sent to the upstream.
    RequestPrepared {
        /// The request.
        request: RequestId,
        /// Health of the upstream, checked after the fetch.
        health: UpstreamHealth,
        /// Channel for the decision whether the request may be sent now.
        admit: oneshot::Sender<bool>,
    },
    /// The health of the upstream was polled.
    HealthObserved(UpstreamHealth),
    /// A running request received service.
    ProgressReported {
        /// The request.
        request: RequestId,
        /// Units of service since its start: tokens or slot milliseconds.
        done: u64,
    },
    /// An event of the account exchange.
    Exchange(ExchangeEvent),
    /// A run ended or its request was not granted; the slot is free.
    RunEnded(RunReport),
    /// A run requests permission to write a claim.
    ClaimRequested {
        /// Channel to the run.
        reply: oneshot::Sender<ClaimAdmission>,
    },
    /// An access to the table service showed whether it answers.
    StoreObserved(StoreSignal),
    /// A run lost its connection to the upstream.
    ConnectionLost {
        /// The request; a suspect if the upstream crashed.
        fingerprint: RequestFingerprint,
        /// Channel for whether the upstream crashed.
        reply: oneshot::Sender<bool>,
    },
    /// The upstream was probed after a run lost its connection.
    UpstreamProbed(UpstreamHealth),
    /// A suspect ended without a crash while it ran alone.
    SuspectCleared {
        /// The suspect.
        fingerprint: RequestFingerprint,
        /// Its updated record.
        record: SuspectRecord,
    },
    /// The lease holder sent an order for the upstream.
    OrderReceived {
        /// The order.
        message: OrderMessage,
        /// Channel to the lease holder's call.
        reply: oneshot::Sender<OrderReply>,
    },
    /// The highest fencing number was read from the store.
    FencingRead(FencingNumber),
    /// The weights for an order were loaded.
    WeightsLoaded {
        /// Fencing number of the order.
        fencing: FencingNumber,
        /// Version of the weights.
        version: VersionId,
    },
    /// An order ended.
    OrderEnded {
        /// Version that was ordered.
        version: VersionId,
        /// Whether the upstream executed the order.
        done: bool,
    },
    /// The process is stopping and takes no more work.
    Drain,
}

impl From<ExchangeEvent> for AgentEvent {
    fn from(event: ExchangeEvent) -> Self {
        Self::Exchange(event)
    }
}

/// Result of a health check of the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamHealth {
    /// The upstream sent a health report.
    Reported(HealthReport),
    /// The upstream answers without a health report.
    Responding,
    /// The upstream refuses connections.
    ConnectionRefused,
    /// No answer in time; the state is unknown.
    Unknown,
}

/// Report of a run at its end.
#[derive(Clone, Debug)]
pub struct RunReport {
    /// The request.
    pub request: RequestId,
    /// Units of service that the request received.
    pub done: u64,
    /// Time that the request spent at the upstream.
    pub ran_for: Duration,
    /// Outcome.
    pub outcome: RunOutcome,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The request was not granted to this agent, or was returned without a run.
    NotGranted,
    /// The upstream answered with this HTTP status.
    Answered(u16),
    /// The upstream failed before the answer was complete.
    Failed,
    /// The router cancelled the run.
    Cancelled,
}
