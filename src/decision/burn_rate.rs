//! Burn rates of service-level objectives.
//!
//! The method is that of multi-window, multi-burn-rate alerts in "The Site Reliability Workbook"
//! (Beyer, Murphy, Rensin, Kawahara and Thorne, O'Reilly 2018), chapter 5, "Alerting on SLOs",
//! section 6. A burn rate of 1 uses up the error budget exactly in the objective's period. The
//! third pair of windows in that book (3 days and 6 hours) is omitted, because counts are kept in
//! the memory of routers, which are replaced too often to have counted for 3 days.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Number of events of one objective.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EventCount {
    /// Events that met the objective.
    pub good: u64,
    /// All events.
    pub total: u64,
}

impl EventCount {
    /// Returns the sum of two counts.
    pub fn merge(self, other: Self) -> Self {
        Self { good: self.good + other.good, total: self.total + other.total }
    }

    /// Fraction of events that missed the objective, or 0 if there are no events.
    pub fn error_rate(self) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        self.total.saturating_sub(self.good) as f64 / self.total as f64
    }

    /// Rate at which the error budget is used, as a multiple of the rate that would use it up
    /// exactly in the objective's period.
    ///
    /// `target` is the fraction of events that must be good, and below 1.
    pub fn burn_rate(self, target: f64) -> f64 {
        self.error_rate() / (1.0 - target).max(f64::EPSILON)
    }

    /// Fraction of the error budget that is left after these events. Negative if it is exceeded.
    pub fn budget_left(self, target: f64) -> f64 {
        1.0 - self.burn_rate(target)
    }
}

/// Number of events in each window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WindowCounts {
    /// Last 5 minutes.
    pub five_minutes: EventCount,
    /// Last 30 minutes.
    pub half_hour: EventCount,
    /// Last hour.
    pub hour: EventCount,
    /// Last 6 hours.
    pub six_hours: EventCount,
}

impl WindowCounts {
    /// Returns the sum of the counts of two routers.
    pub fn merge(self, other: Self) -> Self {
        Self {
            five_minutes: self.five_minutes.merge(other.five_minutes),
            half_hour: self.half_hour.merge(other.half_hour),
            hour: self.hour.merge(other.hour),
            six_hours: self.six_hours.merge(other.six_hours),
        }
    }
}

/// State of an objective, in ascending order of severity.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, derive_more::Display)]
pub enum BurnState {
    /// The burn rate is below both thresholds, or there are too few events.
    #[default]
    #[display("ok")]
    Normal,
    /// The budget will be used up within days, which needs attention within a day.
    #[display("slow-burn")]
    SlowBurn,
    /// The budget will be used up within hours, which needs immediate action.
    #[display("fast-burn")]
    FastBurn,
}

/// Threshold of the burn rate over 5 minutes and 1 hour: 2% of a 30-day budget in 1 hour.
pub const FAST_BURN_RATE: f64 = 14.4;

/// Threshold of the burn rate over 30 minutes and 6 hours: 5% of a 30-day budget in 6 hours.
pub const SLOW_BURN_RATE: f64 = 6.0;

/// Minimum number of events in a window. Below that, the burn rate is not significant: one failure
/// in two calls is no reason for an alert.
pub const MIN_EVENTS: u64 = 10;

/// Classifies the state of an objective. Both windows of a pair must exceed the threshold, so that
/// neither an incident that has ended nor a very short one raises an alert.
pub fn classify_burn(windows: &WindowCounts, target: f64) -> BurnState {
    let exceeds =
        |count: EventCount, rate: f64| count.total >= MIN_EVENTS && count.burn_rate(target) >= rate;
    if exceeds(windows.five_minutes, FAST_BURN_RATE) && exceeds(windows.hour, FAST_BURN_RATE) {
        BurnState::FastBurn
    } else if exceeds(windows.half_hour, SLOW_BURN_RATE)
        && exceeds(windows.six_hours, SLOW_BURN_RATE)
    {
        BurnState::SlowBurn
    } else {
        BurnState::Normal
    }
}

/// Width of the buckets for windows of up to 30 minutes.
const FINE_BUCKET: Duration = Duration::from_secs(30);

/// Width of the buckets for windows of up to 6 hours and for the plotted history.
pub const COARSE_BUCKET: Duration = Duration::from_secs(300);

/// Number of coarse buckets, which cover 6 hours.
pub const HISTORY_BUCKETS: usize = 72;

/// Number of fine buckets, which cover 30 minutes.
const FINE_BUCKETS: usize = 60;

/// Sliding window count in buckets of fixed width. It stores at most `capacity` buckets, and none
/// for periods without events.
#[derive(Clone, Debug)]
struct BucketRing {
    width: Duration,
    capacity: usize,
    buckets: VecDeque<(u64, EventCount)>,
}

impl BucketRing {
    fn new(width: Duration, capacity: usize) -> Self {
        Self { width, capacity, buckets: VecDeque::new() }
    }

    fn index(&self, at: Duration) -> u64 {
        at.as_secs() / self.width.as_secs()
    }

    fn add(&mut self, at: Duration, count: EventCount) {
        let index = self.index(at);
        match self.buckets.back_mut() {
            Some((last, bucket)) if *last >= index => *bucket = bucket.merge(count),
            _ => self.buckets.push_back((index, count)),
        }
        let oldest = index.saturating_sub(self.capacity as u64 - 1);
        while self.buckets.front().is_some_and(|(bucket, _)| *bucket < oldest) {
            self.buckets.pop_front();
        }
    }

    fn sum(&self, now: Duration, window: Duration) -> EventCount {
        let buckets = window.as_secs() / self.width.as_secs();
        let oldest = (self.index(now) + 1).saturating_sub(buckets);
        let recent = self.buckets.iter().rev().take_while(|(index, _)| *index >= oldest);
        recent.fold(EventCount::default(), |sum, (_, count)| sum.merge(*count))
    }
}

/// Events of one objective over the last 6 hours, in bounded memory.
#[derive(Clone, Debug)]
pub struct BurnWindows {
    origin: Instant,
    fine: BucketRing,
    coarse: BucketRing,
}

impl BurnWindows {
    /// Creates empty windows. Buckets are numbered from `origin`.
    pub fn new(origin: Instant) -> Self {
        let fine = BucketRing::new(FINE_BUCKET, FINE_BUCKETS);
        Self { origin, fine, coarse: BucketRing::new(COARSE_BUCKET, HISTORY_BUCKETS) }
    }

    /// Counts events at `now`.
    pub fn add(&mut self, count: EventCount, now: Instant) {
        let at = now.saturating_duration_since(self.origin);
        self.fine.add(at, count);
        self.coarse.add(at, count);
    }

    /// Number of events in each window at `now`. A window starts at the start of its oldest bucket.
    pub fn windows(&self, now: Instant) -> WindowCounts {
        let at = now.saturating_duration_since(self.origin);
        let minutes = |count: u64| Duration::from_secs(count * 60);
        WindowCounts {
            five_minutes: self.fine.sum(at, minutes(5)),
            half_hour: self.fine.sum(at, minutes(30)),
            hour: self.coarse.sum(at, minutes(60)),
            six_hours: self.coarse.sum(at, minutes(360)),
        }
    }

    /// Number of events per coarse bucket, newest first, up to the oldest bucket with events.
    pub fn history(&self, now: Instant) -> Vec<EventCount> {
        let newest = self.coarse.index(now.saturating_duration_since(self.origin));
        let mut history = Vec::new();
        for (index, count) in self.coarse.buckets.iter().rev() {
            let age = usize::try_from(newest.saturating_sub(*index)).unwrap_or(usize::MAX);
            if age < HISTORY_BUCKETS {
                history.resize(age + 1, EventCount::default());
                history[age] = *count;
            }
        }
        history
    }
}
