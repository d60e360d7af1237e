//! Trend of a demand, and the highest need of the last seconds.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Length of a segment of the trend. It exceeds the window in which rates are measured, so that
/// the rise of a single step lies in at most three consecutive differences of segments.
const SEGMENT: Duration = Duration::from_secs(3);

/// Number of differences between segments that the trend is taken from.
const DIFFERENCES: usize = 4;

/// Length of a bucket of [`SlidingMaximum`].
const BUCKET: Duration = Duration::from_secs(1);

/// Longest time for which [`SlidingMaximum`] keeps values.
const MAX_KEPT: Duration = Duration::from_secs(150);

/// Mean of a rate over a segment.
#[derive(Clone, Copy, Debug)]
struct Segment {
    started: Instant,
    sum: f64,
    samples: u32,
}

impl Segment {
    fn new(rate: f64, started: Instant) -> Self {
        Self { started, sum: rate, samples: 1 }
    }

    fn mean(&self) -> f64 {
        self.sum / f64::from(self.samples)
    }
}

/// Sustained growth of a rate.
///
/// The growth is the least of several consecutive ones. A step is thus no growth that goes on, and
/// a rate that varies at random has none.
#[derive(Debug, Default)]
pub(super) struct DemandTrend {
    segments: VecDeque<Segment>,
}

impl DemandTrend {
    /// Forgets all rates.
    pub(super) fn clear(&mut self) {
        self.segments.clear();
    }

    /// Adds the rate at an instant.
    pub(super) fn record(&mut self, rate: f64, now: Instant) {
        let Some(last) = self.segments.back_mut() else {
            self.segments.push_back(Segment::new(rate, now));
            return;
        };
        let age = now.saturating_duration_since(last.started);
        if age < SEGMENT {
            last.sum += rate;
            last.samples += 1;
            return;
        }
        let next = last.started + SEGMENT;
        if age >= SEGMENT * 2 {
            self.segments.clear();
            self.segments.push_back(Segment::new(rate, now));
            return;
        }
        self.segments.push_back(Segment::new(rate, next));
        // The last segment is not complete and not used.
        while self.segments.len() > DIFFERENCES + 2 {
            self.segments.pop_front();
        }
    }

    /// Returns the growth of the rate per second; 0 unless it has grown all the time.
    pub(super) fn growth_rate(&self) -> f64 {
        if self.segments.len() < DIFFERENCES + 2 {
            return 0.0;
        }
        let means: Vec<f64> =
            self.segments.iter().take(DIFFERENCES + 1).map(Segment::mean).collect();
        let least = means.windows(2).map(|pair| pair[1] - pair[0]).fold(f64::INFINITY, f64::min);
        least.max(0.0) / SEGMENT.as_secs_f64()
    }
}

/// Highest value within a time that ends now.
#[derive(Debug, Default)]
pub(super) struct SlidingMaximum {
    buckets: VecDeque<(Instant, u32)>,
}

impl SlidingMaximum {
    /// Forgets all values.
    pub(super) fn clear(&mut self) {
        self.buckets.clear();
    }

    /// Adds a value.
    pub(super) fn record(&mut self, value: u32, now: Instant) {
        match self.buckets.back_mut() {
            Some((started, highest)) if now.saturating_duration_since(*started) < BUCKET => {
                *highest = value.max(*highest);
            }
            _ => self.buckets.push_back((now, value)),
        }
        let is_old =
            |(started, _): &(Instant, u32)| now.saturating_duration_since(*started) > MAX_KEPT;
        while self.buckets.front().is_some_and(is_old) {
            self.buckets.pop_front();
        }
    }

    /// Returns the highest value of the last `time`; `None` without any.
    pub(super) fn maximum(&self, time: Duration, now: Instant) -> Option<u32> {
        self.buckets
            .iter()
            .filter(|(started, _)| now.saturating_duration_since(*started) <= time + BUCKET)
            .map(|(_, highest)| *highest)
            .max()
    }
}
