//! Evidence about the target of a version move: the answers that routers received from it and from
//! the other versions.
//!
//! A version may fail on one route only, or begin to fail after many good answers. Either would be
//! hidden in the sum of all answers, so routes and recent failures are also looked at alone. Late
//! answers count in the sums only: the caches of a target that has just got all calls are cold, and
//! its first answers may be late.

use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::window::SlidingCounter;
use crate::ids::RouteId;

/// Time for which an answer counts as recent.
const RECENT_TIME: Duration = Duration::from_secs(2);

/// Most routes that a router reports, those with the most answers of the target first.
const MAX_REPORTED_ROUTES: usize = 16;

/// Fewest bad answers of the target that count as a fault.
const MIN_BAD_ANSWERS: u32 = 6;

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

/// Good and bad answers of the target and of the other versions.
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
#[display("target {target_good} good {target_bad} bad, others {other_good} good {other_bad} bad")]
pub struct VersionAnswers {
    /// Good answers from the target.
    pub target_good: u32,
    /// Bad answers from the target.
    pub target_bad: u32,
    /// Good answers from other versions.
    pub other_good: u32,
    /// Bad answers from other versions.
    pub other_bad: u32,
}

impl VersionAnswers {
    /// Counts an answer of the target or of another version.
    pub fn record(&mut self, of_target: bool, good: bool) {
        let count = match (of_target, good) {
            (true, true) => &mut self.target_good,
            (true, false) => &mut self.target_bad,
            (false, true) => &mut self.other_good,
            (false, false) => &mut self.other_bad,
        };
        *count += 1;
    }

    /// Returns the number of answers from the target.
    pub fn target_total(&self) -> u32 {
        self.target_good + self.target_bad
    }

    /// Returns whether the target proves faulty by these answers: compares the shares of bad answers with a
    /// two-proportion z-test.
    pub fn is_faulty(&self) -> bool {
        if self.target_bad < MIN_BAD_ANSWERS {
            return false;
        }
        let target_total = f64::from(self.target_total());
        let other_total = f64::from(self.other_good + self.other_bad);
        let target_share = f64::from(self.target_bad) / target_total;
        let other_share =
            if other_total > 0.0 { f64::from(self.other_bad) / other_total } else { 0.0 };
        let pooled = f64::from(self.target_bad + self.other_bad) / (target_total + other_total);
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
        VersionAnswers {
            target_good: self.recent.answers.saturating_sub(self.recent.failures),
            target_bad: self.recent.failures,
            ..self.total
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
        let good = quality == AnswerQuality::Good;
        self.total.record(of_target, good);
        self.routes.entry(RouteId::clone(route)).or_default().record(of_target, good);
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
        routes.retain(|_, answers| answers.target_total() > 0);
        routes.sort_by(|_, one, _, other| other.target_total().cmp(&one.target_total()));
        routes.truncate(MAX_REPORTED_ROUTES);
        routes
    }
}
