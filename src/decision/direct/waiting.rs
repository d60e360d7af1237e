//! Queue of pending calls, and when each needs another decision.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::call::PendingCall;
use super::candidates::CandidateSet;
use super::load::UpstreamLoad;
use crate::ids::UpstreamId;

/// Fraction of its objective that a call may wait at the router for an upstream.
const MAX_WAIT_FRACTION: f64 = 0.11;

/// Mean delay after which a refused caller should retry, as a fraction of the objective.
const RETRY_AFTER_FRACTION: f64 = 0.2;

/// A call that waits for an upstream.
#[derive(Debug)]
pub(super) struct WaitingCall {
    pub(super) call: PendingCall,
    /// Upstreams that had no capacity for the call; `None` until it is first considered.
    pub(super) candidates: Option<CandidateSet>,
}

impl WaitingCall {
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
        may_have_capacity || now >= placement_deadline(&self.call)
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

/// Returns when a waiting call is refused.
pub(super) fn placement_deadline(call: &PendingCall) -> Instant {
    let wait = call.objective.mul_f64(MAX_WAIT_FRACTION);
    (call.arrived + wait).min(call.deadline)
}

/// Returns the delay before the caller of a refused call should retry, spread so that callers do
/// not return at the same time.
pub(super) fn retry_after(call: &PendingCall) -> Duration {
    let spread = 0.6 + (call.id % 9) as f64 / 10.0;
    call.objective.mul_f64(RETRY_AFTER_FRACTION * spread)
}
