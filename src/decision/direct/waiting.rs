//! Calls without an upstream, and when they are looked at again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::call::ArrivingCall;
use super::candidates::CandidateSet;
use super::load::UpstreamLoad;
use crate::ids::UpstreamId;

/// Part of a call's objective that it may wait at the router for an upstream.
const WAIT_PART: f64 = 0.11;

/// Part of the objective after which a refused caller should come back, and its spread.
const RETRY_PART: f64 = 0.2;

/// A call without an upstream.
#[derive(Debug)]
pub(super) struct WaitingCall {
    pub(super) call: ArrivingCall,
    /// Upstreams that had no room for it; `None` before it was looked at.
    pub(super) candidates: Option<CandidateSet>,
}

impl WaitingCall {
    /// Returns whether the call must be looked at: for the first time, for the last time, or since
    /// one of its candidates may have room now.
    pub(super) fn is_due(
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
        may_have_capacity || now >= give_up_at(&self.call)
    }
}

/// Upstreams whose room may have grown since the waiting calls were last looked at.
#[derive(Debug)]
pub(super) enum ChangedUpstreams {
    All,
    Some(IndexSet<UpstreamId>),
}

impl ChangedUpstreams {
    pub(super) fn note(&mut self, upstream: &UpstreamId) {
        if let Self::Some(changed) = self {
            changed.insert(Arc::clone(upstream));
        }
    }
}

/// When a waiting call is refused.
pub(super) fn give_up_at(call: &ArrivingCall) -> Instant {
    let wait = call.objective.mul_f64(WAIT_PART);
    (call.arrived + wait).min(call.deadline)
}

/// When a refused caller should come back; spread so that callers do not return together.
pub(super) fn retry_after(call: &ArrivingCall) -> Duration {
    let spread = 0.6 + (call.id % 9) as f64 / 10.0;
    call.objective.mul_f64(RETRY_PART * spread)
}
