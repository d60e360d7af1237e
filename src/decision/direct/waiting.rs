//! Calls without an upstream, and when they are looked at again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexSet;

use super::call::ArrivingCall;
use crate::ids::UpstreamId;

/// Part of a call's objective that it may wait at the router for an upstream.
const WAIT_PART: f64 = 0.11;

/// Part of the objective after which a refused caller should come back, and its spread.
const RETRY_PART: f64 = 0.2;

/// A call without an upstream.
#[derive(Debug)]
pub(super) struct WaitingCall {
    pub(super) call: ArrivingCall,
    /// Whether all upstreams were looked at for it.
    pub(super) seen_all: bool,
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

    pub(super) fn contains(&self, upstream: &UpstreamId) -> bool {
        match self {
            Self::All => true,
            Self::Some(changed) => changed.contains(upstream),
        }
    }

    pub(super) fn is_empty(&self) -> bool {
        matches!(self, Self::Some(changed) if changed.is_empty())
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
