//! Time of day that the whole fleet agrees on.
//!
//! The time of day of a single VM may jump. The store's monotonic clock is the same for all routers,
//! so each of them reports its own time of day relative to it, and the median of these offsets is
//! right as long as fewer than half of the routers are wrong.

use std::time::{Duration, Instant};

/// A reading of the store's clock.
#[derive(Clone, Copy, Debug)]
struct StoreReading {
    time: Duration,
    at: Instant,
}

/// Estimate of the true time of day.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetClock {
    reading: Option<StoreReading>,
}

impl FleetClock {
    /// Records the time of the store's clock at `at`.
    pub fn record_store_time(&mut self, time: Duration, at: Instant) {
        self.reading = Some(StoreReading { time, at });
    }

    /// Returns this VM's time of day relative to the store's clock, in milliseconds; `None` before
    /// the first reading.
    pub fn own_offset(&self, time_of_day: Duration, now: Instant) -> Option<i64> {
        let store = self.store_time(now)?;
        Some(millis(time_of_day).saturating_sub(millis(store)))
    }

    /// Returns the true time since the Unix epoch, from the offsets that the other routers report.
    /// Without a reading of the store's clock it is the time of day of this VM.
    pub fn now(
        &self,
        time_of_day: Duration,
        peer_offsets: impl IntoIterator<Item = i64>,
        now: Instant,
    ) -> Duration {
        let (Some(store), Some(own)) = (self.store_time(now), self.own_offset(time_of_day, now))
        else {
            return time_of_day;
        };
        let mut offsets: Vec<i64> = peer_offsets.into_iter().chain([own]).collect();
        offsets.sort_unstable();
        let median = offsets[(offsets.len() - 1) / 2];
        let true_time = millis(store).saturating_add(median);
        Duration::from_millis(u64::try_from(true_time).unwrap_or_default())
    }

    fn store_time(&self, now: Instant) -> Option<Duration> {
        self.reading.map(|reading| reading.time + now.saturating_duration_since(reading.at))
    }
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
