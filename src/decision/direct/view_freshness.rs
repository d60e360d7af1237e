//! Age of what a router knows of the fleet's state, and when to ask the source for it again.
//!
//! A request that the source holds until there is a change may never be answered, and silence looks
//! like a state that does not change. So no router relies on a part for long that the source has
//! not confirmed to itself or to a peer with the same revision.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::routing::ViewPart;

/// Age of a part at which the first router in line asks the source.
const FIRST_CHECK_AGE: Duration = Duration::from_millis(600);

/// Additional age for each router before this one in line, so that one router asks for all. It
/// covers the time until the answer is in a report and the report has arrived.
const CHECK_STEP: Duration = Duration::from_millis(200);

/// Maximum number of these steps. It keeps the age of an unconfirmed part well below the time
/// within which a change must be in force.
const MAX_CHECK_STEPS: u32 = 3;

/// When each part of the view was last known to be current.
#[derive(Clone, Debug, Default)]
pub struct ViewFreshness {
    confirmed: IndexMap<ViewPart, Instant>,
    requested: IndexMap<ViewPart, Instant>,
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

    /// Returns the parts that are to be checked at the source now, and takes the checks as
    /// requested. `position` is the number of routers before this one in line.
    pub fn take_due_checks(&mut self, position: u32, now: Instant) -> Vec<ViewPart> {
        let limit = FIRST_CHECK_AGE + CHECK_STEP * position.min(MAX_CHECK_STEPS);
        let is_due = |at: &Instant| now.saturating_duration_since(*at) >= limit;
        let due: Vec<ViewPart> = self
            .confirmed
            .iter()
            .filter(|(part, at)| is_due(at) && self.requested.get(*part).is_none_or(is_due))
            .map(|(part, _)| *part)
            .collect();
        self.requested.extend(due.iter().map(|part| (*part, now)));
        due
    }
}
