//! Age of what a router knows of the fleet's state.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::routing::ViewPart;

/// When the source last confirmed that each part of the view is its current state.
#[derive(Clone, Debug, Default)]
pub struct ViewFreshness {
    confirmed: IndexMap<ViewPart, Instant>,
}

impl ViewFreshness {
    /// Records that a part was current at `at`.
    pub fn confirm(&mut self, part: ViewPart, at: Instant) {
        let confirmed = self.confirmed.entry(part).or_insert(at);
        *confirmed = at.max(*confirmed);
    }

    /// Returns the time since a part was last known to be current; `None` if it never was.
    pub fn age(&self, part: ViewPart, now: Instant) -> Option<Duration> {
        self.confirmed.get(&part).map(|confirmed| now.saturating_duration_since(*confirmed))
    }
}
