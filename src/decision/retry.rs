//! Retry policy: whether and when a request is retried after a failed attempt.
//!
//! All retries of requests are decided here. Time and randomness are arguments, so that tests are
//! deterministic.

use std::time::{Duration, Instant};

/// Maximum number of attempts of a request that may have run. Attempts that did not run are limited
/// only by the request's deadline.
pub const MAX_ATTEMPTS: u32 = 12;

/// Backoff before the second attempt, without jitter.
const BASE_BACKOFF: Duration = Duration::from_millis(25);

/// Maximum backoff between attempts, without jitter.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Retries that each first attempt adds to the budget. A fleet near its capacity can still handle
/// 20% more load.
const RETRIES_PER_REQUEST: f64 = 0.2;

/// Retries per second that are always added to the budget, so that a router with little traffic can
/// retry too.
const MIN_RETRIES_PER_SECOND: f64 = 10.0;

/// Maximum balance of the budget, in retries. It must cover the loss of one agent without delay.
const MAX_BALANCE: f64 = 256.0;

/// Whether an attempt may have reached its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunEvidence {
    /// The request was definitely not sent to an upstream.
    NotRun,
    /// The request may have been sent to an upstream.
    MayHaveRun,
}

/// Reason why an attempt ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum AttemptFailure {
    /// No agent accepted the offer.
    #[display("no agent accepted the offer")]
    OfferRefused,
    /// The agent was lost before it fetched the request.
    #[display("the agent was lost before it fetched the request")]
    LostBeforeFetch,
    /// The agent was lost after it had fetched the request.
    #[display("the agent was lost while it ran the request")]
    LostAfterFetch,
    /// The agent could not connect to its upstream.
    #[display("the upstream refused the connection")]
    UpstreamUnreachable,
    /// The upstream's connection ended during the run.
    #[display("the upstream ended the connection during the run")]
    UpstreamBroke,
    /// The upstream process crashed during the run.
    #[display("the upstream crashed during the run")]
    UpstreamCrashed,
    /// The agent returned the request because it is shutting down.
    #[display("the agent is shutting down")]
    AgentDraining,
    /// The claim row could not be written.
    #[display("the claim could not be written")]
    ClaimUnavailable,
    /// The response of a rerun differs from the part that was already sent to the caller.
    #[display("the rerun's answer differs from the part already sent")]
    AnswerDiverged,
}

impl AttemptFailure {
    /// Returns whether the request may have run in the failed attempt.
    pub fn evidence(self) -> RunEvidence {
        match self {
            Self::OfferRefused
            | Self::LostBeforeFetch
            | Self::UpstreamUnreachable
            | Self::AgentDraining
            | Self::ClaimUnavailable => RunEvidence::NotRun,
            Self::LostAfterFetch
            | Self::UpstreamBroke
            | Self::UpstreamCrashed
            | Self::AnswerDiverged => RunEvidence::MayHaveRun,
        }
    }
}

/// A request whose attempt has failed.
#[derive(Clone, Copy, Debug)]
pub struct RetryCandidate {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Number of attempts so far.
    pub attempts: u32,
    /// Time by which the request must be answered.
    pub deadline: Instant,
}

/// Decision on a request after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Offer the request again after this backoff.
    RetryAfter(Duration),
    /// Cancel the attempt through the request's claim row first; only then may another follow.
    CancelClaim,
    /// Refuse the request as not run.
    RefuseNotRun,
    /// Report that the request failed and may have run.
    ReportFailed,
}

/// Retry budget of a process (token bucket). An exhausted budget delays retries instead of refusing
/// them, so that the loss of many agents does not multiply the load and waiting callers are still
/// served.
#[derive(Debug)]
pub struct RetryBudget {
    balance: f64,
    refilled_at: Instant,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(now: Instant) -> Self {
        Self { balance: MAX_BALANCE, refilled_at: now }
    }

    /// Records the first attempt of a request, which adds a fraction of a retry to the budget.
    pub fn record_request(&mut self) {
        self.balance = (self.balance + RETRIES_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Decides whether a request is retried after a failed attempt. `jitter` is uniform in
    /// `0.0..1.0`.
    pub fn decide(
        &mut self,
        failure: AttemptFailure,
        candidate: RetryCandidate,
        now: Instant,
        jitter: f64,
    ) -> RetryDecision {
        let evidence = failure.evidence();
        if !candidate.repeatable && evidence == RunEvidence::MayHaveRun {
            return RetryDecision::CancelClaim;
        }
        let give_up = match evidence {
            RunEvidence::NotRun => RetryDecision::RefuseNotRun,
            RunEvidence::MayHaveRun => RetryDecision::ReportFailed,
        };
        // A store that is down would not answer another claim either, and a rerun cannot revoke
        // bytes that were already sent to the caller.
        let final_failure =
            matches!(failure, AttemptFailure::ClaimUnavailable | AttemptFailure::AnswerDiverged);
        let attempts_exhausted =
            evidence == RunEvidence::MayHaveRun && candidate.attempts >= MAX_ATTEMPTS;
        if final_failure || attempts_exhausted {
            return give_up;
        }
        let backoff = self.take_retry(now) + backoff_after(candidate.attempts, jitter);
        if now + backoff >= candidate.deadline {
            return give_up;
        }
        RetryDecision::RetryAfter(backoff)
    }

    /// Takes one retry from the budget and returns the delay until the budget covers it.
    fn take_retry(&mut self, now: Instant) -> Duration {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        self.balance = (self.balance + MIN_RETRIES_PER_SECOND * elapsed).min(MAX_BALANCE) - 1.0;
        Duration::from_secs_f64((-self.balance).max(0.0) / MIN_RETRIES_PER_SECOND)
    }
}

/// Whether a request may have run in any of its attempts.
///
/// A refusal may say "not run" only if no attempt can have run, whatever the last attempt did.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunHistory {
    may_have_run: bool,
}

impl RunHistory {
    /// Records the failure of an attempt. Not called for attempts that were cancelled through their
    /// claim row, which are known not to have run.
    pub fn record(&mut self, failure: AttemptFailure) {
        self.may_have_run |= failure.evidence() == RunEvidence::MayHaveRun;
    }

    /// Evidence from all attempts.
    pub fn evidence(&self) -> RunEvidence {
        if self.may_have_run { RunEvidence::MayHaveRun } else { RunEvidence::NotRun }
    }
}

/// Backoff after `attempts` attempts: exponential, with uniform jitter over the upper half.
pub fn backoff_after(attempts: u32, jitter: f64) -> Duration {
    let doublings = attempts.saturating_sub(1).min(16);
    let backoff = BASE_BACKOFF.saturating_mul(1 << doublings).min(MAX_BACKOFF);
    backoff.mul_f64(0.5 + 0.5 * jitter.clamp(0.0, 1.0))
}
