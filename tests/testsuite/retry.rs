//! Tests of the retry policy: which failures are retried, how often and when.

use std::time::{Duration, Instant};

use godwitcrank::decision::retry::{
    AttemptFailure, MAX_ATTEMPTS, RetryBudget, RetryCandidate, RetryDecision, RunEvidence,
    RunHistory, backoff_after,
};
use googletest::prelude::*;
use proptest::prelude::*;

const ALL_FAILURES: [AttemptFailure; 9] = [
    AttemptFailure::OfferRefused,
    AttemptFailure::LostBeforeFetch,
    AttemptFailure::LostAfterFetch,
    AttemptFailure::UpstreamUnreachable,
    AttemptFailure::UpstreamBroke,
    AttemptFailure::UpstreamCrashed,
    AttemptFailure::AgentDraining,
    AttemptFailure::ClaimUnavailable,
    AttemptFailure::AnswerDiverged,
];

fn candidate(repeatable: bool, attempts: u32, now: Instant) -> RetryCandidate {
    RetryCandidate { repeatable, attempts, deadline: now + Duration::from_secs(60) }
}

/// Guards against a refusal that says "not run" because the last attempt did not run, although an
/// earlier one may have.
#[gtest]
fn evidence_after_run_and_lost_offer() {
    let mut history = RunHistory::default();
    history.record(AttemptFailure::OfferRefused);
    expect_that!(history.evidence(), eq(RunEvidence::NotRun));
    history.record(AttemptFailure::UpstreamCrashed);
    history.record(AttemptFailure::LostBeforeFetch);
    expect_that!(history.evidence(), eq(RunEvidence::MayHaveRun));
}

/// Guards against a retry of a non-repeatable request that may have run.
#[gtest]
fn decide_non_repeatable_after_each_failure() {
    let now = Instant::now();
    for failure in ALL_FAILURES {
        let decision = RetryBudget::new(now).decide(failure, candidate(false, 1, now), now, 0.5);
        match failure.evidence() {
            RunEvidence::MayHaveRun => expect_that!(decision, eq(RetryDecision::CancelClaim)),
            RunEvidence::NotRun => expect_that!(decision, not(eq(RetryDecision::CancelClaim))),
        }
    }
}

/// Guards against giving up a repeatable request after a failure from which a rerun can recover.
#[gtest]
fn decide_repeatable_after_each_failure() {
    let now = Instant::now();
    for failure in ALL_FAILURES {
        let decision = RetryBudget::new(now).decide(failure, candidate(true, 1, now), now, 0.5);
        match failure {
            AttemptFailure::ClaimUnavailable => {
                expect_that!(decision, eq(RetryDecision::RefuseNotRun));
            }
            AttemptFailure::AnswerDiverged => {
                expect_that!(decision, eq(RetryDecision::ReportFailed));
            }
            _ => expect_that!(decision, matches_pattern!(RetryDecision::RetryAfter(_))),
        }
    }
}

/// Guards against unlimited attempts and against attempts after the caller's deadline.
#[gtest]
fn decide_at_limits() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(now);
    let last = candidate(true, MAX_ATTEMPTS, now);
    let decision = budget.decide(AttemptFailure::UpstreamBroke, last, now, 0.5);
    expect_that!(decision, eq(RetryDecision::ReportFailed));
    let late = RetryCandidate { deadline: now, ..candidate(true, 1, now) };
    let decision = budget.decide(AttemptFailure::OfferRefused, late, now, 0.5);
    expect_that!(decision, eq(RetryDecision::RefuseNotRun));
}

/// Guards against retry storms: retries beyond the budget must be spread over time.
#[gtest]
fn decide_with_empty_budget() {
    let now = Instant::now();
    let mut budget = RetryBudget::new(now);
    let mut longest = Duration::ZERO;
    for _ in 0..456 {
        let failed = candidate(true, 1, now);
        match budget.decide(AttemptFailure::UpstreamBroke, failed, now, 0.0) {
            RetryDecision::RetryAfter(backoff) => longest = longest.max(backoff),
            other => panic!("a retry within the deadline is only delayed, found {other:?}"),
        }
    }
    // The full budget covers 256 retries; the 200 that follow are allowed at 10 per second.
    expect_that!(longest, all!(ge(Duration::from_secs(19)), le(Duration::from_secs(21))));
}

proptest! {
    /// Guards against backoffs that decrease, exceed their maximum or lack jitter.
    #[test]
    fn backoff_after_any_attempt(attempts in 0_u32..1000, jitter in 0.0_f64..1.0) {
        let backoff = backoff_after(attempts, jitter);
        prop_assert!(backoff >= Duration::from_micros(12_500));
        prop_assert!(backoff <= Duration::from_secs(1));
        prop_assert_eq!(backoff_after(attempts, 0.0) * 2, backoff_after(attempts, 1.0));
        prop_assert!(backoff_after(attempts + 1, jitter) >= backoff);
    }
}
