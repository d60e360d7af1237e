//! Input and output of the dispatcher for one call.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{
    CallFingerprint, CallId, GrantId, PromptPartId, RegionId, RouteId, ServiceId, TeamId,
    UpstreamId,
};

/// A segment of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifier; calls that share the segment use the same one.
    pub id: PromptPartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// Size and parts of a model call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Tokens of the prompt.
    pub tokens_in: u32,
    /// Maximum number of tokens to generate.
    pub tokens_out: u32,
    /// Parts of the prompt in order; the last is specific to the call or its session.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Returns the parts that other calls may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the last shared part, or the only part: calls with the same one share the longest
    /// prefix and are sent to the same upstreams.
    pub fn affinity_part(&self) -> Option<PromptPartId> {
        self.shared_parts().last().or_else(|| self.parts.last()).map(|part| part.id)
    }

    /// Returns the work of the call in tokens: prompt tokens count once, generated tokens twice.
    pub fn work(&self) -> f64 {
        f64::from(self.tokens_in) + 2.0 * f64::from(self.tokens_out)
    }
}

/// How a send is charged to the fleet's retry budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetCharge {
    /// First send of a call.
    First,
    /// Send of a call that has reached an upstream before.
    Retry,
    /// Send of a call that has reached no upstream yet.
    Free,
}

/// A call that waits for an upstream.
#[derive(Clone, Debug)]
pub struct PendingCall {
    /// Identifier of the call.
    pub id: CallId,
    /// Route of the call.
    pub route: RouteId,
    /// Service that runs the call.
    pub service: ServiceId,
    /// Team that the call is accounted to.
    pub team: Option<TeamId>,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Regions whose upstreams may run it; `None` when all may.
    pub homes: Option<Vec<RegionId>>,
    /// Size, for model calls.
    pub prompt: Option<PromptShape>,
    /// Time within which the first event or the answer is due.
    pub objective: Duration,
    /// Arrival at this router.
    pub arrived: Instant,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Hash of path, key and body.
    pub fingerprint: CallFingerprint,
    /// Upstreams of earlier sends.
    pub tried: Vec<UpstreamId>,
    /// Charge of the next send.
    pub charge: BudgetCharge,
}

impl PendingCall {
    /// Returns the work of the call in tokens.
    pub fn work(&self) -> f64 {
        call_work(self.prompt.as_ref())
    }
}

/// Returns the work of a call in tokens; a call without a prompt counts as one.
pub fn call_work(prompt: Option<&PromptShape>) -> f64 {
    prompt.map_or(1.0, PromptShape::work)
}

/// Permission to send a call to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct CallGrant {
    /// Identifier; the end of the grant must be reported with it.
    pub id: GrantId,
    /// Upstream that takes the call.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// Expected time to the first event.
    pub expected_wait: Duration,
}

/// Why a call is refused. It has not run in any of these cases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum RefusalCause {
    /// No upstream has capacity in time.
    #[display("no-capacity")]
    NoCapacity,
    /// All upstreams that may run the call asked for a pause.
    #[display("upstreams-paused")]
    Paused,
    /// No usable upstream of the service is known.
    #[display("no-upstream")]
    NoUpstream,
    /// Calls with the same fingerprint crashed upstreams.
    #[display("suspect")]
    Suspect,
    /// The router is shutting down, and the call would not end in time.
    #[display("router-leaving")]
    Leaving,
    /// The router receives more calls than its processor can serve.
    #[display("router-overloaded")]
    Overloaded,
    /// This router's share of the retry budget is used up.
    #[display("repeat-budget")]
    RetryBudget,
}

/// Decision about a pending call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallDecision {
    /// Send the call to an upstream.
    Send(CallGrant),
    /// Refuse the call.
    Refuse {
        /// Cause of the refusal.
        cause: RefusalCause,
        /// Delay after which the caller should try again.
        retry_after: Duration,
    },
}

/// How a granted call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum CallOutcome {
    /// The upstream answered in full.
    #[display("completed")]
    Completed,
    /// The upstream ran the call and answered with a failure.
    #[display("failed")]
    Failed,
    /// The upstream stated that it did not run the call.
    #[display("declined")]
    Declined,
    /// Another upstream listens at the address.
    #[display("misdirected")]
    Misdirected,
    /// No connection could be opened; nothing was sent.
    #[display("unreachable")]
    Unreachable,
    /// A pooled connection was closed before the call was written; nothing was sent.
    #[display("unsent")]
    Unsent,
    /// The connection ended before the answer was complete.
    #[display("broken")]
    Broken,
    /// Nothing arrived within the time allowed.
    #[display("silent")]
    Silent,
    /// The caller left.
    #[display("abandoned")]
    Abandoned,
}
