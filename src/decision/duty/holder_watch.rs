//! What a router hears of the holder of the duties, and when it competes for them.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::ids::{FencingNumber, NodeId, UsageWindow};

/// Time without a report of the holder after which the first router in line reads the lease.
const HOLDER_SILENCE: Duration = Duration::from_millis(1500);

/// Additional time for each router before this one in line, so that a vacant lease is read by one
/// router and not by the whole fleet.
const LINE_STEP: Duration = Duration::from_millis(700);

/// Maximum number of these steps; it bounds the time without a holder when those in line cannot
/// reach the store.
const MAX_LINE_STEPS: u32 = 4;

/// State of the duties, as their holder reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DutyStatus {
    /// Fencing number of the holder.
    pub fencing: FencingNumber,
    /// Last window of the usage that it closed.
    pub closed_through: Option<UsageWindow>,
}

/// Last reports of the holder, and the highest numbers that any router has reported.
#[derive(Debug)]
pub struct HolderWatch {
    holder: Option<NodeId>,
    heard_at: Instant,
    highest_fencing: FencingNumber,
    closed_through: Option<UsageWindow>,
}

impl HolderWatch {
    /// Starts to listen; the fleet is given time to report before this router competes.
    pub fn new(now: Instant) -> Self {
        Self { holder: None, heard_at: now, highest_fencing: 0, closed_through: None }
    }

    /// Records the report of a router that holds the duties. One that was replaced does not become
    /// the holder again, but the windows that it closed still count.
    pub fn record(&mut self, node: &NodeId, status: DutyStatus, now: Instant) {
        self.closed_through = self.closed_through.max(status.closed_through);
        if status.fencing < self.highest_fencing {
            return;
        }
        self.highest_fencing = status.fencing;
        self.holder = Some(NodeId::clone(node));
        self.heard_at = now;
    }

    /// Returns the holder if it has reported lately.
    pub fn holder(&self, now: Instant) -> Option<&NodeId> {
        let is_silent = now.saturating_duration_since(self.heard_at) >= HOLDER_SILENCE;
        self.holder.as_ref().filter(|_| !is_silent)
    }

    /// Returns whether this router should read the lease and take it if it is free. `position` is
    /// the number of live routers before this one in line.
    pub fn should_compete(&self, position: u32, now: Instant) -> bool {
        let patience = HOLDER_SILENCE + LINE_STEP * position.min(MAX_LINE_STEPS);
        now.saturating_duration_since(self.heard_at) >= patience
    }

    /// Returns the highest fencing number that was heard; 0 without any.
    pub fn highest_fencing(&self) -> FencingNumber {
        self.highest_fencing
    }

    /// Returns the last window that any holder is known to have closed.
    pub fn closed_through(&self) -> Option<UsageWindow> {
        self.closed_through
    }
}
