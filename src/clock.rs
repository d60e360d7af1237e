//! Wall-clock time of the process.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::ids::Incarnation;

/// Returns the incarnation number of a process that starts now: microseconds since the Unix epoch.
pub fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Incarnation::try_from(since.as_micros()).unwrap_or(Incarnation::MAX)
}
