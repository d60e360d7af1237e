//! Version moves, which shift the traffic of a service to a new version in stages: the schedule,
//! the traffic split, and the sequential test that compares the new version with the old one.
//!
//! The test is Wald's sequential probability ratio test (A. Wald, "Sequential Tests of Statistical
//! Hypotheses", Annals of Mathematical Statistics 16, 1945). It restarts each time that it accepts
//! the new version, because a version can start to fail later. Each run of the test finds a false
//! fault with probability at most [`FALSE_FAULT_RATE`] / (1 - [`MISSED_FAULT_RATE`]) (Wald's
//! inequality), so the probability that a move with R runs is wrongly rolled back is at most R
//! times that.

use std::time::{Duration, SystemTime};

use indexmap::IndexMap;

use super::rendezvous::rendezvous_weight;
use crate::ids::{RequestId, RouteId, UpstreamId, VersionId};

/// Probability that one run of the test finds a fault in a version that is as good as the old one
/// (type I error).
///
/// A move takes a few hundred runs, and a fleet has some hundred moves per day, so about one good
/// version in a hundred days is wrongly rolled back.
pub const FALSE_FAULT_RATE: f64 = 1e-6;

/// Probability that one run of the test passes a version with the fault rate that the test must
/// detect (type II error).
pub const MISSED_FAULT_RATE: f64 = 0.01;

/// Error rate up to which a version is never faulty, even if the old version has no errors.
pub const TOLERATED_ERROR_RATE: f64 = 0.01;

/// Ratio of the odds of an error for a faulty version to those for a good one.
const FAULT_ODDS_RATIO: f64 = 6.0;

/// Quantile of the old version's latency that slow calls are compared with.
const SLOW_QUANTILE: f64 = 0.9;

/// Multiple of that quantile above which a call is slow, so that small differences do not count.
const SLOW_FACTOR: f64 = 1.25;

/// Time added to that limit, because shorter differences are dominated by scheduling noise.
const SLOW_MARGIN: Duration = Duration::from_millis(5);

/// Fraction of slow calls that is expected of a good version, with a margin for the error of the
/// quantile.
const TOLERATED_SLOW_RATE: f64 = 0.15;

/// Number of latest calls of the old version that the new version is compared with.
const LATENCY_WINDOW: usize = 256;

/// Minimum number of calls of the old version before latencies are compared.
const MIN_LATENCY_SAMPLES: usize = 20;

/// Factor that [`RouteComparison::decay`] applies to the counts of the old version.
const DECAY_FACTOR: f64 = 0.9;

/// Maximum duration of a move. A move starts at most this long before its deadline.
pub const MAX_MOVE_DURATION: Duration = Duration::from_secs(4 * 3600);

/// Stages of a move: share of the traffic, and fraction of the duration that is left at the start.
const STAGES: [(f64, f64); 5] =
    [(0.02, 1.0), (0.10, 0.65), (0.30, 0.45), (0.60, 0.30), (1.0, 0.18)];

/// Fraction of the duration that is left when a move with all traffic is done.
const DONE_TIME_LEFT: f64 = 0.05;

/// Stage of a move.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MoveStage {
    /// Start of the stage.
    pub starts: SystemTime,
    /// Share of the traffic for the new version.
    pub share: f64,
}

/// Schedule of a move, calculated backwards from its deadline.
#[derive(Clone, Debug, PartialEq)]
pub struct MoveSchedule {
    /// Stages in order. The last one has all traffic.
    pub stages: Vec<MoveStage>,
    /// Time at which the move is done, unless it was rolled back.
    pub done: SystemTime,
    /// Time by which all traffic must have moved.
    pub deadline: SystemTime,
}

impl MoveSchedule {
    /// Calculates the stages of a move that was planned at `planned`.
    pub fn new(planned: SystemTime, deadline: SystemTime) -> Self {
        let available = deadline.duration_since(planned).unwrap_or_default();
        let duration = available.min(MAX_MOVE_DURATION);
        let before = |left: f64| deadline - duration.mul_f64(left);
        let stages = STAGES.map(|(share, left)| MoveStage { starts: before(left), share });
        Self { stages: stages.to_vec(), done: before(DONE_TIME_LEFT), deadline }
    }

    /// Returns the index of the stage that is due at `now`, or `None` before the first.
    pub fn due(&self, now: SystemTime) -> Option<usize> {
        self.stages.iter().rposition(|stage| stage.starts <= now)
    }

    /// Returns whether a move in its last stage is done at `now`.
    pub fn is_done(&self, now: SystemTime) -> bool {
        self.done <= now
    }
}

/// Split of a service's traffic between two versions.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionSplit {
    /// Old version.
    pub from: VersionId,
    /// New version.
    pub to: VersionId,
    /// Share of the traffic for the new version.
    pub share: f64,
}

impl VersionSplit {
    /// Picks the version for a request. Request ids are random, so their low bits are uniformly
    /// distributed.
    pub fn pick(&self, request: RequestId) -> &VersionId {
        // The truncation to the low 32 bits is intended.
        let fraction = f64::from(request as u32) / (f64::from(u32::MAX) + 1.0);
        if fraction < self.share { &self.to } else { &self.from }
    }
}

/// Returns how many of the `new` upstreams are needed for a share of the traffic, at the load that
/// each of the `old` ones has. 0 if the share is 0.
pub fn upstreams_needed(share: f64, old: usize, new: usize) -> usize {
    if share <= 0.0 {
        return 0;
    }
    let needed = (share * old as f64).ceil().max(1.0) as usize;
    needed.min(new.max(1))
}

/// Chooses the upstreams that get the new version's share of the traffic. These are as few as can
/// handle it at the old version's load per upstream, so that faults under load are detected. The
/// order is by rendezvous hash of move and upstream, so a larger share only adds upstreams.
pub fn choose_upstreams(
    move_id: &str,
    upstreams: &[UpstreamId],
    share: f64,
    total: usize,
) -> Vec<UpstreamId> {
    let needed = upstreams_needed(share, total, upstreams.len());
    let mut ranked: Vec<UpstreamId> = upstreams.to_vec();
    ranked.sort_by_key(|upstream| rendezvous_weight(move_id, upstream));
    ranked.truncate(needed);
    ranked
}

/// Decision of a sequential test.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TestDecision {
    /// More calls are needed.
    Undecided,
    /// The new version is as good as the old one. The test has restarted.
    Pass,
    /// The new version is worse than the old one.
    Fail,
}

/// Sequential probability ratio test of a rate.
#[derive(Clone, Copy, Debug, Default)]
pub struct SequentialTest {
    score: f64,
}

impl SequentialTest {
    /// Adds calls, of which `faults` were bad, and compares them with the rate that a good version
    /// may have.
    pub fn record(&mut self, faults: u64, calls: u64, tolerated_rate: f64) -> TestDecision {
        let odds = FAULT_ODDS_RATIO * tolerated_rate / (1.0 - tolerated_rate);
        let fault_rate = odds / (1.0 + odds);
        let successes = calls.saturating_sub(faults);
        self.score += faults as f64 * (fault_rate / tolerated_rate).ln()
            + successes as f64 * ((1.0 - fault_rate) / (1.0 - tolerated_rate)).ln();
        if self.score >= ((1.0 - MISSED_FAULT_RATE) / FALSE_FAULT_RATE).ln() {
            return TestDecision::Fail;
        }
        if self.score <= (MISSED_FAULT_RATE / (1.0 - FALSE_FAULT_RATE)).ln() {
            self.score = 0.0;
            return TestDecision::Pass;
        }
        TestDecision::Undecided
    }
}

/// Number of calls of one version on one route, by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallCounts {
    /// Calls that ended.
    pub calls: u64,
    /// Calls that failed because of the upstream.
    pub errors: u64,
    /// Successful calls that were slower than the old version's.
    pub slow: u64,
}

/// Reason for rolling back a move.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum MoveFault {
    /// The new version has more errors than the old one in the same period.
    #[display("errors on route {_0}")]
    Errors(RouteId),
    /// The new version is slower than the old one in the same period.
    #[display("latency on route {_0}")]
    Latency(RouteId),
    /// No upstream has loaded the new version in time.
    #[display("not loaded in time")]
    NotLoaded,
    /// An operator rolled back the move.
    #[display("operator")]
    Operator,
}

/// Comparison of two versions on one route.
#[derive(Clone, Debug, Default)]
pub struct RouteComparison {
    old_calls: f64,
    old_errors: f64,
    old_latencies: Vec<Duration>,
    next_latency: usize,
    errors: SequentialTest,
    latency: SequentialTest,
}

impl RouteComparison {
    /// Adds calls of the old version. Latencies are added with [`Self::record_old_latency`].
    pub fn record_old(&mut self, counts: CallCounts) {
        self.old_calls += counts.calls as f64;
        self.old_errors += counts.errors as f64;
    }

    /// Adds the latency of a successful call of the old version.
    pub fn record_old_latency(&mut self, latency: Duration) {
        if self.old_latencies.len() < LATENCY_WINDOW {
            self.old_latencies.push(latency);
        } else {
            self.old_latencies[self.next_latency] = latency;
        }
        self.next_latency = (self.next_latency + 1) % LATENCY_WINDOW;
    }

    /// Returns whether a successful call of the new version counts as slow.
    pub fn is_slow(&self, latency: Duration) -> bool {
        if self.old_latencies.len() < MIN_LATENCY_SAMPLES {
            return false;
        }
        let mut sorted = self.old_latencies.clone();
        let index = (SLOW_QUANTILE * (sorted.len() - 1) as f64) as usize;
        let (_, quantile, _) = sorted.select_nth_unstable(index);
        latency > quantile.mul_f64(SLOW_FACTOR) + SLOW_MARGIN
    }

    /// Adds calls of the new version, and returns a fault if the test has found one.
    pub fn record_new(&mut self, route: &RouteId, counts: CallCounts) -> Option<MoveFault> {
        let tolerated = self.tolerated_errors();
        let errors = self.errors.record(counts.errors, counts.calls, tolerated);
        if errors == TestDecision::Fail {
            return Some(MoveFault::Errors(route.clone()));
        }
        let answered = counts.calls.saturating_sub(counts.errors);
        let latency = self.latency.record(counts.slow, answered, TOLERATED_SLOW_RATE);
        (latency == TestDecision::Fail).then(|| MoveFault::Latency(route.clone()))
    }

    /// Reduces the weight of older calls of the old version, so that both versions are compared
    /// over the same period.
    pub fn decay(&mut self) {
        self.old_calls *= DECAY_FACTOR;
        self.old_errors *= DECAY_FACTOR;
    }

    /// Returns the error rate that a good version may have: 1.5 times the old version's, because
    /// its estimate from few calls is imprecise.
    fn tolerated_errors(&self) -> f64 {
        let rate = 1.5 * (self.old_errors + 0.5) / (self.old_calls + 50.0);
        rate.clamp(TOLERATED_ERROR_RATE, 0.5)
    }
}

/// Comparison of two versions on all routes of a service.
#[derive(Clone, Debug, Default)]
pub struct MoveEvidence {
    routes: IndexMap<RouteId, RouteComparison>,
    new: CallCounts,
}

impl MoveEvidence {
    /// Returns the comparison of one route.
    pub fn route(&mut self, route: &RouteId) -> &mut RouteComparison {
        self.routes.entry(route.clone()).or_default()
    }

    /// Adds a finished call. Returns its counts, and a fault if the test has found one.
    pub fn record_call(
        &mut self,
        route: &RouteId,
        is_new: bool,
        failed: bool,
        latency: Duration,
    ) -> (CallCounts, Option<MoveFault>) {
        let comparison = self.routes.entry(route.clone()).or_default();
        let slow = is_new && !failed && comparison.is_slow(latency);
        let counts = CallCounts { calls: 1, errors: u64::from(failed), slow: u64::from(slow) };
        if is_new {
            self.new.calls += 1;
            return (counts, comparison.record_new(route, counts));
        }
        comparison.record_old(counts);
        if !failed {
            comparison.record_old_latency(latency);
        }
        (counts, None)
    }

    /// Returns the number of calls of the new version so far.
    pub fn new_calls(&self) -> u64 {
        self.new.calls
    }

    /// Applies [`RouteComparison::decay`] on all routes.
    pub fn decay(&mut self) {
        self.routes.values_mut().for_each(RouteComparison::decay);
    }
}
