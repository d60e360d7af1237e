//! Load that an upstream states in its answers, beside the reports of the other routers.
//!
//! A statement is fresher than a report when it has just come, but it does not say whose calls it
//! counts. So it is one more source of the number of calls from the other routers, and each source
//! counts the less the older it is.

use std::time::{Duration, Instant};

use derive_more::{Display, Error};

use crate::routing::MAX_SLOTS;

/// Most calls that an upstream may state to wait.
const MAX_WAITING: u32 = 1 << 16;

/// Age at which a statement no longer counts.
const STATEMENT_TTL: Duration = Duration::from_millis(1500);

/// Least age that is assumed of a source: the calls that are on their way are in neither.
const MIN_AGE: Duration = Duration::from_millis(5);

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
}

/// Load of an upstream by its own statement, from the calls of all routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedLoad {
    counts: CallCounts,
}

impl StatedLoad {
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
        Ok(Self { counts })
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

/// Last statement of one upstream, as the number of calls from the other routers.
#[derive(Clone, Copy, Debug, Default)]
pub struct LastStatement {
    others: Option<OtherCalls>,
}

#[derive(Clone, Copy, Debug)]
struct OtherCalls {
    count: u32,
    at: Instant,
}

impl LastStatement {
    /// Records a statement, of which this router's own calls are a part. One that is older than the
    /// last one is ignored.
    pub fn record(&mut self, received: ReceivedLoad, own: u32) {
        if self.others.is_some_and(|last| last.at > received.at) {
            return;
        }
        let count = received.load.total().saturating_sub(own);
        self.others = Some(OtherCalls { count, at: received.at });
    }

    /// Forgets the statements, since the upstream has restarted.
    pub fn clear(&mut self) {
        self.others = None;
    }

    /// Returns the calls of the other routers: the mean of what they reported and of what the
    /// upstream stated, each weighted by the inverse of its age.
    ///
    /// `report_age` is the mean age of the reports; `None` when there are none.
    pub fn combine(&self, reported: u32, report_age: Option<Duration>, now: Instant) -> u32 {
        let Some(last) = self.others else { return reported };
        let age = now.saturating_duration_since(last.at);
        if age >= STATEMENT_TTL {
            return reported;
        }
        let Some(report_age) = report_age else { return last.count };
        let (age, report_age) = (age.max(MIN_AGE), report_age.max(MIN_AGE));
        let weight = report_age.as_secs_f64() / (age + report_age).as_secs_f64();
        let mean = weight * f64::from(last.count) + (1.0 - weight) * f64::from(reported);
        mean.round() as u32
    }
}
