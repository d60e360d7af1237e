//! Pace of the streams of one service, and how many calls its upstreams may run at that pace.
//!
//! An upstream generates the tokens of all its calls in turn, so each stream gets slower with every
//! call that is added, and with the prompts that are read meanwhile. Once the pace is lower than
//! what a long answer needs, the answer misses its deadline after it has used an upstream for all
//! its time. So the calls at an upstream are limited to a fraction of its slots that follows the
//! pace of the streams that end.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::ids::RouteId;

/// Fractions of an upstream's slots between which the limit moves.
const SLOT_FRACTIONS: (f64, f64) = (0.4, 0.9);

/// Fraction of the time after the first event within which a stream has to be complete.
const STREAM_TIME_FRACTION: f64 = 0.8;

/// Fraction of a route's answers that may be too long for the pace.
const TOO_LONG_FRACTION: f64 = 0.1;

/// Least step of the estimate of this quantile with each stream, as a fraction of its value. The
/// first steps are larger.
const MIN_QUANTILE_STEP: f64 = 0.1;

/// Time after its last stream at which a route no longer counts.
const ROUTE_TTL: Duration = Duration::from_secs(10);

/// Weight of a stream in the moving average of the pace.
const STREAM_WEIGHT: f64 = 0.05;

/// Fewest writes of a stream whose pace is measured.
const MIN_WRITES: u32 = 3;

/// Relative change of the limit per second for each unit by which the pace is off.
const GAIN_PER_SECOND: f64 = 0.5;

/// Largest error of the pace that changes the limit.
const MAX_ERROR: f64 = 1.0;

/// A stream that ended.
#[derive(Clone, Debug)]
pub struct EndedStream {
    /// Route of its call.
    pub route: RouteId,
    /// Writes that it was received in.
    pub writes: u32,
    /// Time from its first write to its end.
    pub time: Duration,
    /// Time from its first write to the deadline of its call.
    pub allowed_time: Duration,
    /// Whether it was complete; else its caller left before.
    pub is_complete: bool,
}

/// Pace of a service's streams.
#[derive(Clone, Debug)]
pub struct StreamPace {
    routes: IndexMap<RouteId, RouteAnswers>,
    /// Average time between two writes of a stream, in seconds; `None` before any has ended.
    write_time: Option<f64>,
    slot_fraction: f64,
    adjusted_at: Option<Instant>,
}

/// Answers of one route.
#[derive(Clone, Copy, Debug)]
struct RouteAnswers {
    /// Writes of a long answer: the quantile beyond which answers are too long.
    long_writes: f64,
    /// Time that its streams have, in seconds; averaged.
    allowed_time: f64,
    streams: u32,
    last_stream: Instant,
}

impl RouteAnswers {
    fn new(stream: &EndedStream, now: Instant) -> Self {
        Self {
            long_writes: f64::from(stream.writes),
            allowed_time: stream.allowed_time.as_secs_f64(),
            streams: 1,
            last_stream: now,
        }
    }

    /// Updates the quantile. A stream whose caller left is longer than what was received of it.
    fn record(&mut self, stream: &EndedStream, now: Instant) {
        self.last_stream = now;
        self.streams = self.streams.saturating_add(1);
        let step = MIN_QUANTILE_STEP.max(1.0 / f64::from(self.streams));
        self.allowed_time +=
            STREAM_WEIGHT * (stream.allowed_time.as_secs_f64() - self.allowed_time);
        if f64::from(stream.writes) > self.long_writes {
            self.long_writes *= (step * (1.0 - TOO_LONG_FRACTION)).exp();
        } else if stream.is_complete {
            self.long_writes *= (-step * TOO_LONG_FRACTION).exp();
        }
    }

    /// Returns the time between two writes that a long answer needs, in seconds.
    fn needed_write_time(&self) -> f64 {
        STREAM_TIME_FRACTION * self.allowed_time / self.long_writes.max(1.0)
    }
}

impl Default for StreamPace {
    fn default() -> Self {
        Self {
            routes: IndexMap::new(),
            write_time: None,
            slot_fraction: SLOT_FRACTIONS.1,
            adjusted_at: None,
        }
    }
}

impl StreamPace {
    /// Returns the fraction of an upstream's slots that calls may use.
    pub fn slot_fraction(&self) -> f64 {
        self.slot_fraction
    }

    /// Returns the average time between two writes of a stream.
    pub fn write_time(&self) -> Option<Duration> {
        self.write_time.map(Duration::from_secs_f64)
    }

    /// Returns the time between two writes that the long answers of all routes need.
    pub fn needed_write_time(&self) -> Option<Duration> {
        let needed = self.routes.values().map(RouteAnswers::needed_write_time).reduce(f64::min);
        needed.map(Duration::from_secs_f64)
    }

    /// Records a stream that ended.
    pub fn record_stream(&mut self, stream: &EndedStream, now: Instant) {
        if stream.writes < MIN_WRITES {
            return;
        }
        match self.routes.get_mut(&stream.route) {
            Some(answers) => answers.record(stream, now),
            None => {
                let answers = RouteAnswers::new(stream, now);
                self.routes.insert(RouteId::clone(&stream.route), answers);
            }
        }
        let measured = stream.time.as_secs_f64() / f64::from(stream.writes - 1);
        let average = self.write_time.get_or_insert(measured);
        *average += STREAM_WEIGHT * (measured - *average);
    }

    /// Moves the limit towards the pace that the long answers of all routes need.
    pub fn adjust(&mut self, now: Instant) {
        self.routes.retain(|_, route| now.duration_since(route.last_stream) < ROUTE_TTL);
        let passed = self.adjusted_at.replace(now).map(|last| now.duration_since(last));
        let (Some(passed), Some(needed), Some(write_time)) =
            (passed, self.needed_write_time(), self.write_time)
        else {
            return;
        };
        let error = (needed.as_secs_f64() / write_time.max(f64::EPSILON) - 1.0).min(MAX_ERROR);
        let change = (GAIN_PER_SECOND * error * passed.as_secs_f64()).exp();
        self.slot_fraction =
            (self.slot_fraction * change).clamp(SLOT_FRACTIONS.0, SLOT_FRACTIONS.1);
    }
}
