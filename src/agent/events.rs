//! Events to the agent's control thread.

use std::time::Duration;

use tokio::sync::oneshot;

use crate::decision::admission::HealthReport;
use crate::decision::claim_gate::GateVerdict;
use crate::decision::quarantine::{RequestFingerprint, SuspectRecord};
use crate::exchange::ExchangeEvent;
use crate::ids::{FencingNumber, RequestId, VersionId};
use crate::protocol::{OfferBatch, OfferReply, OrderMessage, OrderReply};
use crate::store::StoreSignal;

/// Something that the control thread must know.
#[derive(Debug)]
pub enum AgentEvent {
    /// A router offers requests.
    OffersReceived {
        /// The offers.
        batch: OfferBatch,
        /// Where the router's call waits.
        reply: oneshot::Sender<OfferReply>,
    },
    /// A router took offers back.
    OffersWithdrawn(Vec<RequestId>),
    /// A request is fetched and ready for the upstream.
    RequestPrepared {
        /// The request.
        request: RequestId,
        /// What the upstream said about itself meanwhile.
        health: UpstreamHealth,
        /// Whether the upstream may have the request now.
        admit: oneshot::Sender<bool>,
    },
    /// The upstream was asked about its health.
    HealthObserved(UpstreamHealth),
    /// Work was done for a request.
    ProgressReported {
        /// The request.
        request: RequestId,
        /// Units of service since its start: tokens, or slot milliseconds.
        done: u64,
    },
    /// Something about the account exchange.
    Exchange(ExchangeEvent),
    /// A run ended, or the request was not granted.
    RunEnded(RunReport),
    /// A run wants to write a claim.
    ClaimRequested {
        /// Where the run waits.
        reply: oneshot::Sender<GateVerdict>,
    },
    /// A claim's exchange showed how the table service is.
    StoreObserved(StoreSignal),
    /// A run broke off.
    ConnectionLost {
        /// The request, a suspect if the upstream crashed.
        fingerprint: RequestFingerprint,
        /// Where the run waits to hear whether the upstream crashed.
        reply: oneshot::Sender<bool>,
    },
    /// The upstream was looked for after a run broke off.
    UpstreamProbed(UpstreamHealth),
    /// A suspect ended without a crash while it ran alone.
    SuspectCleared {
        /// The suspect.
        fingerprint: RequestFingerprint,
        /// What is known of it now.
        record: SuspectRecord,
    },
    /// The lease holder orders something of the upstream.
    OrderReceived {
        /// The order.
        message: OrderMessage,
        /// Where the holder's call waits.
        reply: oneshot::Sender<OrderReply>,
    },
    /// The highest fencing number was read from the store.
    FencingRead(FencingNumber),
    /// Weights for an order were loaded.
    WeightsLoaded {
        /// Fencing number of the order.
        fencing: FencingNumber,
        /// Version.
        version: VersionId,
    },
    /// An order ended.
    OrderEnded {
        /// Version.
        version: VersionId,
        /// Whether the upstream carried it out.
        done: bool,
    },
    /// The process stops: take no more work.
    Drain,
}

impl From<ExchangeEvent> for AgentEvent {
    fn from(event: ExchangeEvent) -> Self {
        Self::Exchange(event)
    }
}

/// What an upstream said about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UpstreamHealth {
    /// Its report.
    Reported(HealthReport),
    /// It answers, but has no report.
    Responding,
    /// It refuses connections.
    ConnectionRefused,
    /// No answer in time; nothing follows from it.
    Unknown,
}

/// How a slot became free.
#[derive(Clone, Debug)]
pub struct RunReport {
    /// The request.
    pub request: RequestId,
    /// Units of service that the request got.
    pub done: u64,
    /// Time for which the upstream had it.
    pub ran_for: Duration,
    /// Outcome.
    pub outcome: RunOutcome,
}

/// Outcome of a slot's use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The router had given the request to another agent, or the request was given back.
    NotGranted,
    /// The upstream answered; the HTTP status.
    Answered(u16),
    /// The upstream failed before a whole answer was there.
    Failed,
    /// The router cancelled the run.
    Cancelled,
}
