//! What the dispatcher is told of a call, and what it decides.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::ids::{
    CallFingerprint, CallId, GrantId, PromptPartId, RegionId, ServiceId, TeamId, UpstreamId,
};

/// A part of a prompt and its length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the part; calls that share it name the same id.
    pub id: PromptPartId,
    /// Length in tokens.
    pub tokens: u32,
}

/// Size and parts of a model call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PromptShape {
    /// Tokens of the prompt.
    pub tokens_in: u32,
    /// Largest number of tokens to generate.
    pub tokens_out: u32,
    /// Parts of the prompt in order; the last belongs to the call or its session alone.
    pub parts: Vec<PromptPart>,
}

impl PromptShape {
    /// Parts that other calls may share.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Part by which calls are kept together: the longest chain of shared parts ends with it.
    pub fn affinity_part(&self) -> Option<PromptPartId> {
        self.shared_parts().last().or_else(|| self.parts.last()).map(|part| part.id)
    }

    /// Work of the call in tokens: each token read counts once, each token generated twice.
    pub fn work(&self) -> f64 {
        f64::from(self.tokens_in) + 2.0 * f64::from(self.tokens_out)
    }
}

/// What a send costs the fleet's budget for retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetCharge {
    /// The first send of a call.
    First,
    /// A send of a call that reached an upstream before.
    Retry,
    /// A send of a call that was sent before but reached no upstream.
    Free,
}

/// A call that waits for an upstream.
#[derive(Clone, Debug)]
pub struct ArrivingCall {
    /// Identifier of the call.
    pub id: CallId,
    /// Service that takes it.
    pub service: ServiceId,
    /// Team that pays for it.
    pub team: Option<TeamId>,
    /// Rank; 0 is the highest.
    pub priority: u32,
    /// Regions whose upstreams may run it; `None` when all may.
    pub homes: Option<Vec<RegionId>>,
    /// Size, for model calls.
    pub prompt: Option<PromptShape>,
    /// Time within which its first event or its answer is due.
    pub objective: Duration,
    /// When it arrived at this router.
    pub arrived: Instant,
    /// When its caller stops waiting.
    pub deadline: Instant,
    /// Hash of path, caller and body.
    pub fingerprint: CallFingerprint,
    /// Upstreams that it was sent to before.
    pub tried: Vec<UpstreamId>,
    /// What its send costs the budget for retries.
    pub charge: BudgetCharge,
}

impl ArrivingCall {
    /// Work of the call in tokens; plain calls count as one.
    pub fn work(&self) -> f64 {
        self.prompt.as_ref().map_or(1.0, PromptShape::work)
    }
}

/// Permission to send a call to an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct CallGrant {
    /// Identifier of the grant; its end must be reported.
    pub id: GrantId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// Expected time to the first event.
    pub expected_wait: Duration,
}

/// Why a call gets no upstream. The call has not run in any of these cases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum RefusalCause {
    /// No upstream can take it in time.
    #[display("no-capacity")]
    NoCapacity,
    /// No upstream of the service is known to work.
    #[display("no-upstream")]
    NoUpstream,
    /// Calls like it ended the upstreams that ran them.
    #[display("suspect")]
    Suspect,
    /// The router stops, and the call would not end before it does.
    #[display("router-leaving")]
    Leaving,
    /// The router gets more calls than its processor bears.
    #[display("router-overloaded")]
    Overloaded,
    /// The router's share of the budget for retries is used up.
    #[display("repeat-budget")]
    RetryBudget,
}

/// Decision about a waiting call.
#[derive(Clone, Debug, PartialEq)]
pub enum CallVerdict {
    /// Send it.
    Send(CallGrant),
    /// Refuse it.
    Refuse {
        /// Why.
        cause: RefusalCause,
        /// When the caller should come back.
        retry_after: Duration,
    },
}

/// How the use of a grant ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum CallOutcome {
    /// The upstream answered in full.
    #[display("completed")]
    Completed,
    /// The upstream ran the call and answered with a failure.
    #[display("failed")]
    Failed,
    /// The upstream said that it did not run the call.
    #[display("declined")]
    Declined,
    /// Another upstream has the address.
    #[display("misdirected")]
    Misdirected,
    /// No connection could be made; nothing was sent.
    #[display("unreachable")]
    Unreachable,
    /// A kept connection was closed before the call was written; nothing was sent.
    #[display("unsent")]
    Unsent,
    /// The connection ended before the answer was whole.
    #[display("broken")]
    Broken,
    /// Nothing came within the time allowed.
    #[display("silent")]
    Silent,
    /// The caller left.
    #[display("abandoned")]
    Abandoned,
}
