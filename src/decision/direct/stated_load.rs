//! Load that an upstream states in its answers, beside the reports of the other routers.
//!
//! A statement is fresher than a report when it has just come, but it does not say whose calls it
//! counts. So it is one more source of the number of calls from the other routers, and each source
//! counts the less the older it is.
//!
//! A statement may also say how long work takes on that machine at this moment. Machines slow down
//! for fractions of a second, so this too counts the less the older it is.

use std::time::{Duration, Instant};

use derive_more::{Display, Error};

use crate::routing::MAX_SLOTS;

/// Most calls that an upstream may state to wait.
const MAX_WAITING: u32 = 1 << 16;

/// Age at which a statement no longer counts.
const STATEMENT_TTL: Duration = Duration::from_millis(1500);

/// Least age that is assumed of a source: the calls that are on their way are in neither.
const MIN_AGE: Duration = Duration::from_millis(5);

/// Time constant with which a stated slowdown loses its weight, as slow phases are short.
const SLOWDOWN_DECAY_TIME: Duration = Duration::from_millis(400);

/// Largest slowdown that an upstream may state, in percent.
const MAX_SLOWDOWN_PERCENT: u32 = 10_000;

/// Least factor that is assumed of a stated slowdown, so that a wrong statement does not attract
/// all calls to one upstream.
const MIN_SLOWDOWN_FACTOR: f64 = 0.25;

/// Factor from which a slowdown counts as one in the metrics.
const CLEAR_SLOWDOWN_FACTOR: f64 = 1.25;

/// Numbers of calls at an upstream, as it states them, unchecked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait for a slot.
    pub waiting: u32,
    /// Calls that can run at the same time.
    pub slots: u32,
}

/// Why a statement cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum StatementError {
    /// The number of slots is zero or too large.
    #[display("{_0} is not a usable number of slots")]
    Slots(#[error(not(source))] u32),
    /// More calls run than there are slots.
    #[display("{running} calls cannot run in {slots} slots")]
    Running {
        /// Calls that run.
        running: u32,
        /// Slots.
        slots: u32,
    },
    /// Too many calls wait.
    #[display("{_0} is not a usable number of waiting calls")]
    Waiting(#[error(not(source))] u32),
    /// The slowdown is zero or too large.
    #[display("{_0} is not a usable slowdown in percent")]
    Slowdown(#[error(not(source))] u32),
}

/// How long work takes on a machine at a moment, in percent of the usual time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Slowdown {
    percent: u32,
}

impl Slowdown {
    /// Returns the factor on the usual time.
    fn factor(self) -> f64 {
        (f64::from(self.percent) / 100.0).max(MIN_SLOWDOWN_FACTOR)
    }
}

impl TryFrom<u32> for Slowdown {
    type Error = StatementError;

    fn try_from(percent: u32) -> Result<Self, StatementError> {
        if !(1..=MAX_SLOWDOWN_PERCENT).contains(&percent) {
            return Err(StatementError::Slowdown(percent));
        }
        Ok(Self { percent })
    }
}

/// Load of an upstream by its own statement, from the calls of all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedLoad {
    counts: CallCounts,
    slowdown: Option<Slowdown>,
}

impl StatedLoad {
    /// Adds the slowdown of the upstream's machine.
    pub fn with_slowdown(self, slowdown: Slowdown) -> Self {
        Self { slowdown: Some(slowdown), ..self }
    }

    /// Returns the calls that run or wait.
    fn total(self) -> u32 {
        self.counts.running + self.counts.waiting
    }
}

impl TryFrom<CallCounts> for StatedLoad {
    type Error = StatementError;

    fn try_from(counts: CallCounts) -> Result<Self, StatementError> {
        let CallCounts { running, waiting, slots } = counts;
        if !(1..=MAX_SLOTS).contains(&slots) {
            return Err(StatementError::Slots(slots));
        }
        if running > slots {
            return Err(StatementError::Running { running, slots });
        }
        if waiting > MAX_WAITING {
            return Err(StatementError::Waiting(waiting));
        }
        Ok(Self { counts, slowdown: None })
    }
}

/// A statement and the time at which it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReceivedLoad {
    /// The statement.
    pub load: StatedLoad,
    /// When it arrived.
    pub at: Instant,
}

/// Last statement of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct LastStatement {
    last: Option<KnownStatement>,
}

#[derive(Clone, Copy, Debug)]
struct KnownStatement {
    /// Calls from the other routers.
    others: u32,
    slowdown: Option<Slowdown>,
    at: Instant,
}

impl LastStatement {
    /// Records a statement, of which this router's own calls are a part. One that is older than the
    /// last one is ignored.
    pub fn record(&mut self, received: ReceivedLoad, own: u32) {
        if self.last.is_some_and(|last| last.at > received.at) {
            return;
        }
        let others = received.load.total().saturating_sub(own);
        let slowdown = received.load.slowdown;
        self.last = Some(KnownStatement { others, slowdown, at: received.at });
    }

    /// Forgets the statements, since the upstream has restarted.
    pub fn clear(&mut self) {
        self.last = None;
    }

    /// Returns the calls of the other routers: the mean of what they reported and of what the
    /// upstream stated, each weighted by the inverse of its age.
    ///
    /// `report_age` is the mean age of the reports; `None` when there are none.
    pub fn combine(&self, reported: u32, report_age: Option<Duration>, now: Instant) -> u32 {
        let Some((last, age)) = self.current(now) else { return reported };
        let Some(report_age) = report_age else { return last.others };
        let (age, report_age) = (age.max(MIN_AGE), report_age.max(MIN_AGE));
        let weight = report_age.as_secs_f64() / (age + report_age).as_secs_f64();
        let mean = weight * f64::from(last.others) + (1.0 - weight) * f64::from(reported);
        mean.round() as u32
    }

    /// Returns the factor on the usual time that work probably takes at the upstream. It approaches
    /// 1 with the age of the statement, as the spell of which it tells may have ended.
    pub fn slowdown_factor(&self, now: Instant) -> f64 {
        let Some((last, age)) = self.current(now) else { return 1.0 };
        let Some(slowdown) = last.slowdown else { return 1.0 };
        let weight = (-age.as_secs_f64() / SLOWDOWN_DECAY_TIME.as_secs_f64()).exp();
        1.0 + weight * (slowdown.factor() - 1.0)
    }

    /// Returns whether work at the upstream probably takes clearly longer than usual.
    pub fn is_slowed(&self, now: Instant) -> bool {
        self.slowdown_factor(now) >= CLEAR_SLOWDOWN_FACTOR
    }

    /// Returns whether the upstream states its slowdown.
    pub fn has_slowdown(&self, now: Instant) -> bool {
        self.current(now).is_some_and(|(last, _)| last.slowdown.is_some())
    }

    /// Returns the last statement and its age, unless it is too old to count.
    fn current(&self, now: Instant) -> Option<(KnownStatement, Duration)> {
        let last = self.last?;
        let age = now.saturating_duration_since(last.at);
        (age < STATEMENT_TTL).then_some((last, age))
    }
}
