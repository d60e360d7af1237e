//! Evidence about the target of a version move: the answers that routers received from it and from
//! the other versions.
//!
//! A version may fail on one route only, or begin to fail after many good answers. Either would be
//! hidden in the sum of all answers, so routes and recent failures are also looked at alone.
//!
//! Late answers prove less than failures, as the first ones of a sound target with cold caches may be
//! late. It takes more of them, and they do not count as recent.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::window::SlidingCounter;
use crate::ids::RouteId;

/// Time for which an answer counts as recent.
const RECENT_TIME: Duration = Duration::from_secs(2);

/// Most routes that a router reports, those with the most answers of the target first.
const MAX_REPORTED_ROUTES: usize = 16;

/// Fewest failures of the target that count as a fault.
const MIN_FAILURES: u32 = 6;

/// Fewest late answers and failures of the target that together count as a fault.
const MIN_BAD_ANSWERS: u32 = 20;

/// Excess of the target's share of bad answers over that of the other versions that is tolerated.
const TOLERATED_BAD_SHARE: f64 = 0.08;

/// Standard errors by which the shares must differ for a fault to be significant.
const FAULT_STANDARD_ERRORS: f64 = 3.0;

/// How an upstream answered a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerQuality {
    /// Successfully and within the call's objective.
    Good,
    /// Successfully, but late.
    Late,
    /// With a failure, or not at all.
    Failed,
}

/// Answers of one version, or of several together.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::AddAssign,
)]
#[display("{good} good {late} late {failed} failed")]
pub struct AnswerCount {
    /// Good answers.
    pub good: u32,
    /// Late answers.
    pub late: u32,
    /// Failures.
    pub failed: u32,
}

impl AnswerCount {
    /// Counts an answer.
    pub fn record(&mut self, quality: AnswerQuality) {
        let count = match quality {
            AnswerQuality::Good => &mut self.good,
            AnswerQuality::Late => &mut self.late,
            AnswerQuality::Failed => &mut self.failed,
        };
        *count += 1;
    }

    /// Returns the number of answers.
    pub fn total(&self) -> u32 {
        self.good + self.late + self.failed
    }
}

/// Answers of the target and of the other versions.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    derive_more::Display,
    derive_more::AddAssign,
)]
#[display("target {target}, others {others}")]
pub struct VersionAnswers {
    /// Answers of the target.
    pub target: AnswerCount,
    /// Answers of the other versions.
    pub others: AnswerCount,
}

impl VersionAnswers {
    /// Counts an answer of the target or of another version.
    pub fn record(&mut self, of_target: bool, quality: AnswerQuality) {
        let count = if of_target { &mut self.target } else { &mut self.others };
        count.record(quality);
    }

    /// Returns whether the target proves faulty by these answers.
    pub fn is_faulty(&self) -> bool {
        let failed = |count: &AnswerCount| count.failed;
        let bad = |count: &AnswerCount| count.late + count.failed;
        self.exceeds(MIN_FAILURES, failed) || self.exceeds(MIN_BAD_ANSWERS, bad)
    }

    /// Compares the shares of bad answers, which `bad` counts, with a two-proportion z-test.
    fn exceeds(&self, fewest: u32, bad: impl Fn(&AnswerCount) -> u32) -> bool {
        let (target_bad, other_bad) = (bad(&self.target), bad(&self.others));
        if target_bad < fewest {
            return false;
        }
        let target_total = f64::from(self.target.total());
        let other_total = f64::from(self.others.total());
        let target_share = f64::from(target_bad) / target_total;
        let other_share = f64::from(other_bad) / other_total.max(1.0);
        let pooled = f64::from(target_bad + other_bad) / (target_total + other_total);
        let error =
            (pooled * (1.0 - pooled) * (1.0 / target_total + 1.0 / other_total.max(1.0))).sqrt();
        target_share > other_share + TOLERATED_BAD_SHARE
            && target_share - other_share > FAULT_STANDARD_ERRORS * error
    }
}

/// Recent answers of the target.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, derive_more::AddAssign,
)]
pub struct RecentAnswers {
    /// All answers.
    pub answers: u32,
    /// Failures among them.
    pub failures: u32,
}

/// Evidence of one router, or of several together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MoveEvidence {
    /// Answers of all routes since the order.
    pub total: VersionAnswers,
    /// Answers by route since the order.
    pub routes: IndexMap<RouteId, VersionAnswers>,
    /// Recent answers of the target.
    pub recent: RecentAnswers,
}

impl MoveEvidence {
    /// Adds the evidence of another router.
    pub fn add(&mut self, other: &Self) {
        self.total += other.total;
        self.recent += other.recent;
        for (route, answers) in &other.routes {
            *self.routes.entry(RouteId::clone(route)).or_default() += *answers;
        }
    }

    /// Returns whether the target proves faulty, on all routes together, on one of them, or lately.
    pub fn is_faulty(&self) -> bool {
        self.total.is_faulty() || self.faulty_route().is_some() || self.recent_answers().is_faulty()
    }

    /// Returns a route on which the target proves faulty.
    pub fn faulty_route(&self) -> Option<&str> {
        let faulty = self.routes.iter().find(|(_, answers)| answers.is_faulty());
        faulty.map(|(route, _)| &**route)
    }

    /// Returns the recent answers of the target beside all answers of the other versions.
    fn recent_answers(&self) -> VersionAnswers {
        let RecentAnswers { answers, failures } = self.recent;
        let good = answers.saturating_sub(failures);
        VersionAnswers {
            target: AnswerCount { good, late: 0, failed: failures },
            others: self.total.others,
        }
    }
}

/// Counts one router's answers during a version move.
#[derive(Clone, Debug)]
pub(super) struct EvidenceCounter {
    total: VersionAnswers,
    routes: IndexMap<RouteId, VersionAnswers>,
    recent_answers: SlidingCounter,
    recent_failures: SlidingCounter,
}

impl EvidenceCounter {
    pub(super) fn new() -> Self {
        Self {
            total: VersionAnswers::default(),
            routes: IndexMap::new(),
            recent_answers: SlidingCounter::new(RECENT_TIME),
            recent_failures: SlidingCounter::new(RECENT_TIME),
        }
    }

    /// Counts an answer of the target or of another version.
    pub(super) fn record(
        &mut self,
        route: &RouteId,
        of_target: bool,
        quality: AnswerQuality,
        now: Instant,
    ) {
        self.total.record(of_target, quality);
        self.routes.entry(RouteId::clone(route)).or_default().record(of_target, quality);
        if of_target {
            self.recent_answers.record(now);
            if quality == AnswerQuality::Failed {
                self.recent_failures.record(now);
            }
        }
    }

    /// Returns the evidence, for this router's evaluation and for its report.
    pub(super) fn evidence(&mut self, now: Instant) -> MoveEvidence {
        let count = |counter: &mut SlidingCounter| u32::try_from(counter.count(now));
        MoveEvidence {
            total: self.total,
            routes: self.largest_routes(),
            recent: RecentAnswers {
                answers: count(&mut self.recent_answers).unwrap_or(u32::MAX),
                failures: count(&mut self.recent_failures).unwrap_or(u32::MAX),
            },
        }
    }

    fn largest_routes(&self) -> IndexMap<RouteId, VersionAnswers> {
        let mut routes = self.routes.clone();
        routes.retain(|_, answers| answers.target.total() > 0);
        routes.sort_by(|_, one, _, other| other.target.total().cmp(&one.target.total()));
        routes.truncate(MAX_REPORTED_ROUTES);
        routes
    }
}
