//! Detects that the process stood still in a way that its monotonic clock does not show.

use std::time::{Duration, Instant, SystemTime};

/// Difference between the progress of both clocks that slewing and scheduling do not explain.
const MAX_DIFFERENCE: Duration = Duration::from_millis(250);

/// Compares the progress of the monotonic clock, which does not count the time of a suspended VM,
/// with that of the time of day.
#[derive(Clone, Copy, Debug)]
pub struct ClockContinuity {
    last: (Instant, SystemTime),
}

impl ClockContinuity {
    /// Starts to compare.
    pub fn new(now: Instant, time_of_day: SystemTime) -> Self {
        Self { last: (now, time_of_day) }
    }

    /// Returns whether both clocks have advanced alike since the last call. If not, the VM was
    /// suspended or the time of day was set, which this process cannot tell apart.
    pub fn advanced_alike(&mut self, now: Instant, time_of_day: SystemTime) -> bool {
        let (last, last_time_of_day) = std::mem::replace(&mut self.last, (now, time_of_day));
        let elapsed = now.saturating_duration_since(last);
        let difference = match time_of_day.duration_since(last_time_of_day) {
            Ok(by_time_of_day) => by_time_of_day.abs_diff(elapsed),
            Err(backward) => backward.duration() + elapsed,
        };
        difference <= MAX_DIFFERENCE
    }
}
