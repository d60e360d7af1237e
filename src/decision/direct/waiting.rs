//! Queue of pending calls, and when each needs another decision.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::call::PendingCall;
use super::candidates::CandidateSet;
use super::load::UpstreamLoad;
use crate::ids::UpstreamId;

/// Fraction of its objective that a call may wait at the dispatcher for an upstream.
const MAX_WAIT_FRACTION: f64 = 0.11;

/// Fraction of a call's objective within which its first event must be expected, the router's own
/// delay included.
pub(super) const LATEST_START_FRACTION: f64 = 0.85;

/// Mean delay after which a refused caller should retry, as a fraction of the objective.
const RETRY_AFTER_FRACTION: f64 = 0.2;

/// A call that waits for an upstream.
#[derive(Debug)]
pub(super) struct WaitingCall {
    pub(super) call: PendingCall,
    /// When the dispatcher received the call. The router's own delay before that is not counted as
    /// a wait for an upstream: it says nothing about the upstreams' capacity.
    pub(super) queued_at: Instant,
    /// Upstreams that had no capacity for the call; `None` until it is first considered.
    pub(super) candidates: Option<CandidateSet>,
}

impl WaitingCall {
    /// Creates an entry for a call that was received at `now`.
    pub(super) fn new(call: PendingCall, now: Instant) -> Self {
        Self { call, queued_at: now, candidates: None }
    }

    /// Returns when the call is refused if no upstream has had capacity.
    pub(super) fn placement_deadline(&self) -> Instant {
        let wait = self.call.objective.mul_f64(MAX_WAIT_FRACTION);
        let latest_start = self.call.objective.mul_f64(LATEST_START_FRACTION);
        (self.queued_at + wait).min(self.call.arrived + latest_start).min(self.call.deadline)
    }

    /// Returns whether the call needs a decision: it is new, its time is up, or one of its
    /// candidates may have capacity now.
    pub(super) fn needs_decision(
        &self,
        changed: &ChangedUpstreams,
        upstreams: &IndexMap<UpstreamId, UpstreamLoad>,
        now: Instant,
    ) -> bool {
        let Some(candidates) = &self.candidates else { return true };
        let may_have_capacity = match changed {
            ChangedUpstreams::All => true,
            ChangedUpstreams::Some(changed) => candidates
                .indices()
                .filter_map(|index| upstreams.get_index(index))
                .any(|(id, _)| changed.contains(id)),
        };
        may_have_capacity || now >= self.placement_deadline()
    }
}

/// Upstreams whose capacity may have grown since the last dispatch.
#[derive(Debug)]
pub(super) enum ChangedUpstreams {
    All,
    Some(IndexSet<UpstreamId>),
}

impl ChangedUpstreams {
    pub(super) fn insert(&mut self, upstream: &UpstreamId) {
        if let Self::Some(changed) = self {
            changed.insert(Arc::clone(upstream));
        }
    }
}

/// Returns the delay before the caller of a refused call should retry, spread so that callers do
/// not return at the same time.
pub(super) fn retry_after(call: &PendingCall) -> Duration {
    let spread = 0.6 + (call.id % 9) as f64 / 10.0;
    call.objective.mul_f64(RETRY_AFTER_FRACTION * spread)
}
