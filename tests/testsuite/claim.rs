//! Tests of claims: at most one run per key under lost responses, delayed writes and cancellations.

use std::time::{Duration, SystemTime};

use bytes::Bytes;
use godwitcrank::decision::claim::{
    ClaimAttempt, ClaimOutcome, ClaimRecord, ClaimRefusal, ClaimState, ClaimStep, ClaimWrite,
    HeldClaim, MAX_OUTCOME_BYTES, MAX_START_AGE, RETENTION, ReadResult, StartCheck, VersionedClaim,
    WriteCondition, WriteResult, WritingClaim, repeat_refusal, request_digest,
};
use godwitcrank::decision::claim_cancel::{CancelOutcome, CancelStep, CancellingClaim};
use godwitcrank::decision::claim_limiter::{ClaimAdmission, ClaimLimiter};
use godwitcrank::decision::claim_outcome::{RetentionAction, StoreStep, retention_action};
use godwitcrank::ids::AttemptId;
use googletest::prelude::*;
use indexmap::{IndexMap, IndexSet};
use proptest::prelude::*;

const START: SystemTime = SystemTime::UNIX_EPOCH;

fn attempt(id: AttemptId) -> ClaimAttempt {
    let digest = request_digest("POST", "/charge", b"{}");
    ClaimAttempt { attempt: id, holder: "agent-1".into(), digest, granted_at: START }
}

fn record(state: ClaimState) -> ClaimRecord {
    let digest = attempt(0).digest;
    ClaimRecord { digest, changed_at: START, cancelled: IndexSet::new(), state }
}

fn held_by(id: AttemptId) -> ClaimState {
    ClaimState::Held { attempt: id, holder: "agent-1".into() }
}

fn finished_by(id: AttemptId) -> ClaimState {
    let outcome = ClaimOutcome::new(201, Vec::new(), Bytes::from_static(b"done"));
    ClaimState::Finished { attempt: id, outcome }
}

/// Model of one row of a table with conditional writes.
#[derive(Default)]
struct RowModel {
    row: Option<VersionedClaim>,
    writes: u64,
}

impl RowModel {
    fn apply(&mut self, write: &ClaimWrite) -> WriteResult {
        let current = self.row.as_ref().map(|row| row.version);
        let holds = match write.condition {
            WriteCondition::Absent => current.is_none(),
            WriteCondition::Version(version) => current == Some(version),
        };
        if !holds {
            return WriteResult::Conflict;
        }
        self.writes += 1;
        self.row = Some(VersionedClaim { version: self.writes, record: write.record.clone() });
        WriteResult::Written(self.writes)
    }

    fn read(&self) -> ReadResult {
        self.row.clone().map_or(ReadResult::Missing, ReadResult::Found)
    }
}

fn run_claim(model: &mut RowModel, id: AttemptId, now: SystemTime) -> ClaimStep {
    let mut step = ClaimStep::Write(WritingClaim::new(attempt(id), now));
    loop {
        step = match step {
            ClaimStep::Write(claim) => {
                let report = model.apply(claim.write());
                claim.apply_result(report)
            }
            ClaimStep::Read(claim) => claim.apply_result(model.read(), now),
            end => return end,
        };
    }
}

fn run_cancellation(model: &mut RowModel, cancelling: CancellingClaim) -> CancelOutcome {
    let mut step = CancelStep::Write(cancelling.start(START));
    loop {
        step = match step {
            CancelStep::Write(cancel) => {
                let report = model.apply(cancel.write());
                cancel.apply_result(report)
            }
            CancelStep::Read(cancelling) => cancelling.apply_result(model.read(), START),
            CancelStep::Done(outcome) => return outcome,
        };
    }
}

fn held(step: ClaimStep) -> HeldClaim {
    match step {
        ClaimStep::Held(claim) => claim,
        other => panic!("the claim is not held: {other:?}"),
    }
}

fn refusal(step: ClaimStep) -> ClaimRefusal {
    match step {
        ClaimStep::Refused { refusal, .. } => refusal,
        other => panic!("the claim is not refused: {other:?}"),
    }
}

/// Guards against running a repeated request, and against the wrong refusal for it.
#[gtest]
fn repeat_refusal_each_state() {
    let own = attempt(0).digest;
    let other = request_digest("POST", "/charge", b"{\"amount\":2}");
    let late = START + RETENTION;
    let kept = ClaimOutcome::new(201, Vec::new(), Bytes::from_static(b"done"));
    let cases = [
        (ClaimState::Free, own, START, None),
        (ClaimState::Free, other, START, Some(ClaimRefusal::KeyReused)),
        (held_by(1), own, START, Some(ClaimRefusal::InProgress)),
        (held_by(1), other, START, Some(ClaimRefusal::KeyReused)),
        (held_by(1), own, late, Some(ClaimRefusal::OutcomeUnknown)),
        (finished_by(1), own, START, Some(ClaimRefusal::Finished(kept))),
        (finished_by(1), other, START, Some(ClaimRefusal::KeyReused)),
        (finished_by(1), other, late, None),
        (ClaimState::OutcomeUnknown { attempt: 1 }, own, START, Some(ClaimRefusal::OutcomeUnknown)),
        (ClaimState::OutcomeUnknown { attempt: 1 }, own, late, None),
    ];
    for (state, digest, now, expected) in cases {
        let found = repeat_refusal(&record(state.clone()), &digest, now);
        expect_that!(found, eq(&expected), "{state:?} at {now:?}");
    }
}

/// Guards against refusing a claim that is held, because the response to its write was lost.
#[gtest]
fn apply_result_indeterminate_own_write() {
    let mut model = RowModel::default();
    let claim = WritingClaim::new(attempt(1), START);
    model.apply(claim.write());
    let ClaimStep::Read(claim) = claim.apply_result(WriteResult::Indeterminate) else {
        panic!("an indeterminate write must be followed by a read");
    };
    held(claim.apply_result(model.read(), START));
}

/// Guards against a key that stays in progress because a claim that may have been written is never
/// released.
#[gtest]
fn apply_result_store_down_after_indeterminate() {
    let mut model = RowModel::default();
    let claim = WritingClaim::new(attempt(1), START);
    model.apply(claim.write());
    let ClaimStep::Read(claim) = claim.apply_result(WriteResult::Indeterminate) else {
        panic!("an indeterminate write must be followed by a read");
    };
    let ClaimStep::Refused { refusal: ClaimRefusal::StoreDown, release: Some(release) } =
        claim.apply_result(ReadResult::Failed, START)
    else {
        panic!("a claim that may have been written must be released later");
    };
    expect_that!(run_cancellation(&mut model, release), eq(&CancelOutcome::NotRun));
    held(run_claim(&mut model, 2, START));
}

/// Guards against reporting an attempt that holds the key as not run, and against running an
/// attempt that was reported as not run.
#[gtest]
fn cancel_before_and_after_claim() {
    let mut model = RowModel::default();
    let early = run_cancellation(&mut model, CancellingClaim::cancel(attempt(1)));
    expect_that!(early, eq(&CancelOutcome::NotRun));
    let late_claim = refusal(run_claim(&mut model, 1, START));
    expect_that!(late_claim, eq(&ClaimRefusal::AttemptCancelled));
    held(run_claim(&mut model, 2, START));
    let late = run_cancellation(&mut model, CancellingClaim::cancel(attempt(2)));
    expect_that!(late, eq(&CancelOutcome::MayRun));
}

/// Guards against a cancelled attempt that runs because a later attempt claimed and released the
/// row.
#[gtest]
fn release_after_cancel_of_other() {
    let mut model = RowModel::default();
    run_cancellation(&mut model, CancellingClaim::cancel(attempt(1)));
    let later = held(run_claim(&mut model, 2, START));
    expect_that!(run_cancellation(&mut model, later.release()), eq(&CancelOutcome::NotRun));
    let cancelled = refusal(run_claim(&mut model, 1, START));
    expect_that!(cancelled, eq(&ClaimRefusal::AttemptCancelled));
}

/// Guards against losing an outcome because the cancellation of another attempt, or an earlier
/// write of the holder, has changed the version of the row.
#[gtest]
fn finish_after_version_change() {
    let mut model = RowModel::default();
    let claim = held(run_claim(&mut model, 1, START));
    let other = run_cancellation(&mut model, CancellingClaim::cancel(attempt(2)));
    expect_that!(other, eq(&CancelOutcome::NotRun));
    let outcome = ClaimOutcome::new(200, Vec::new(), Bytes::from_static(b"ok"));
    let storing = claim.finish(outcome.clone(), START);
    let report = model.apply(storing.write());
    let StoreStep::Read(storing) = storing.apply_result(report) else {
        panic!("expected a conflict")
    };
    let StoreStep::Retry(storing) = storing.apply_read(model.read()) else { panic!("still held") };
    model.apply(storing.write());
    let StoreStep::Retry(storing) = storing.apply_result(WriteResult::Indeterminate) else {
        panic!("an indeterminate write must be repeated")
    };
    let report = model.apply(storing.write());
    let StoreStep::Read(storing) = storing.apply_result(report) else {
        panic!("expected a conflict")
    };
    expect_that!(storing.apply_read(model.read()), matches_pattern!(StoreStep::Stored));
    let repeat = refusal(run_claim(&mut model, 3, START));
    expect_that!(repeat, eq(&ClaimRefusal::Finished(outcome)));
}

/// Guards against an attempt that resumes after its row was removed, and runs in addition to a
/// later one.
#[gtest]
fn check_age_of_old_attempt() {
    let mut model = RowModel::default();
    let claim = held(run_claim(&mut model, 1, START));
    let StartCheck::TooOld(release) = claim.check_age(START + MAX_START_AGE) else {
        panic!("an old attempt may not start");
    };
    expect_that!(run_cancellation(&mut model, release), eq(&CancelOutcome::NotRun));
}

/// Guards against rows that grow with the size of the response.
#[gtest]
fn new_outcome_sizes() {
    let largest = ClaimOutcome::new(200, Vec::new(), vec![0; MAX_OUTCOME_BYTES].into());
    expect_that!(largest, matches_pattern!(ClaimOutcome::Kept { .. }));
    let larger = ClaimOutcome::new(200, Vec::new(), vec![0; MAX_OUTCOME_BYTES + 1].into());
    let length = MAX_OUTCOME_BYTES as u64 + 1;
    expect_that!(larger, eq(&ClaimOutcome::NotKept { status: 200, length }));
}

/// Guards against rows that are removed early or never.
#[gtest]
fn retention_action_each_state() {
    let row = |state| VersionedClaim { version: 7, record: Box::new(record(state)) };
    let late = START + RETENTION;
    let early = late - Duration::from_secs(1);
    for state in [ClaimState::Free, held_by(1), finished_by(1)] {
        expect_that!(retention_action(&row(state), early), eq(&RetentionAction::Keep));
    }
    for state in [ClaimState::Free, finished_by(1), ClaimState::OutcomeUnknown { attempt: 1 }] {
        expect_that!(retention_action(&row(state), late), eq(&RetentionAction::Remove(7)));
    }
    let RetentionAction::MarkUnknown(write) = retention_action(&row(held_by(1)), late) else {
        panic!("a claim without outcome becomes unknown");
    };
    expect_that!(write.record.state, eq(&ClaimState::OutcomeUnknown { attempt: 1 }));
    expect_that!(write.record.changed_at, eq(late));
}

/// Guards against more claims than the table service allows, and against calls to a store that is
/// down.
#[gtest]
fn admit_rate_and_outage() {
    let start = std::time::Instant::now();
    let mut limiter = ClaimLimiter::new(40, start);
    let mut admitted = 0;
    for millisecond in 0..10_000 {
        let now = start + Duration::from_millis(millisecond);
        admitted += u32::from(matches!(limiter.admit(now), ClaimAdmission::Admit(_)));
    }
    // 10 s at 40 per second, a burst of 0.5 s, and the claims that wait for up to 0.5 s.
    expect_that!(admitted, all!(ge(400), le(440)));
    let now = start + Duration::from_secs(60);
    limiter.record_throttling(now);
    expect_that!(limiter.rate(), eq(20.0));
    limiter.record_throttling(now);
    expect_that!(limiter.rate(), eq(20.0), "claims throttled together reduce the rate once");
    expect_that!(limiter.record_store_failure(), eq(true), "the first failure starts a probe");
    expect_that!(
        limiter.record_store_failure(),
        eq(false),
        "a second failure starts no other probe"
    );
    expect_that!(limiter.admit(now), matches_pattern!(ClaimAdmission::StoreDown(_)));
    let later = now + Duration::from_secs(60);
    expect_that!(limiter.admit(later), matches_pattern!(ClaimAdmission::StoreDown(_)));
    limiter.record_store_answer();
    expect_that!(limiter.admit(later), eq(ClaimAdmission::Admit(Duration::ZERO)));
}

/// State of an agent or router that works on the key.
enum ActorModel {
    Claiming(ClaimStep),
    Storing(StoreStep),
    Cancelling(CancelStep),
    Ended,
}

/// Fault injected into one table operation.
#[derive(Clone, Copy, Debug)]
enum OperationFault {
    None,
    /// The write takes effect and its response is lost.
    ResponseLost,
    /// The write takes effect later.
    Delayed,
    /// The operation has no effect.
    Refused,
}

/// Model of one key: its row, the attempts that have run, and those that were reported as not run.
#[derive(Default)]
struct KeyModel {
    row: RowModel,
    delayed: Vec<ClaimWrite>,
    runs: IndexSet<AttemptId>,
    not_run: IndexSet<AttemptId>,
}

impl KeyModel {
    fn write(&mut self, write: &ClaimWrite, fault: OperationFault) -> WriteResult {
        match fault {
            OperationFault::None => self.row.apply(write),
            OperationFault::ResponseLost => {
                self.row.apply(write);
                WriteResult::Indeterminate
            }
            OperationFault::Delayed => {
                self.delayed.push(write.clone());
                WriteResult::Indeterminate
            }
            OperationFault::Refused => WriteResult::NotWritten,
        }
    }

    fn read(&self, fault: OperationFault) -> ReadResult {
        match fault {
            OperationFault::None => self.row.read(),
            _ => ReadResult::Failed,
        }
    }

    fn step(&mut self, id: AttemptId, actor: ActorModel, fault: OperationFault) -> ActorModel {
        match actor {
            ActorModel::Claiming(ClaimStep::Write(claim)) => {
                let report = self.write(claim.write(), fault);
                ActorModel::Claiming(claim.apply_result(report))
            }
            ActorModel::Claiming(ClaimStep::Read(claim)) => {
                ActorModel::Claiming(claim.apply_result(self.read(fault), START))
            }
            ActorModel::Claiming(ClaimStep::Held(claim)) => match fault {
                OperationFault::Refused | OperationFault::ResponseLost => {
                    self.not_run.insert(id);
                    ActorModel::Cancelling(CancelStep::Write(claim.release().start(START)))
                }
                _ => {
                    assert!(self.runs.insert(id), "attempt {id} ran twice");
                    ActorModel::Storing(StoreStep::Retry(claim.mark_outcome_unknown(START)))
                }
            },
            ActorModel::Claiming(ClaimStep::Refused { release, .. }) => {
                self.not_run.insert(id);
                release.map_or(ActorModel::Ended, |release| {
                    ActorModel::Cancelling(CancelStep::Write(release.start(START)))
                })
            }
            ActorModel::Storing(StoreStep::Retry(storing)) => {
                let report = self.write(storing.write(), fault);
                ActorModel::Storing(storing.apply_result(report))
            }
            ActorModel::Storing(StoreStep::Read(storing)) => {
                ActorModel::Storing(storing.apply_read(self.read(fault)))
            }
            ActorModel::Cancelling(CancelStep::Write(cancel)) => {
                let report = self.write(cancel.write(), fault);
                ActorModel::Cancelling(cancel.apply_result(report))
            }
            ActorModel::Cancelling(CancelStep::Read(cancelling)) => {
                ActorModel::Cancelling(cancelling.apply_result(self.read(fault), START))
            }
            ActorModel::Cancelling(CancelStep::Done(outcome)) => {
                if outcome == CancelOutcome::NotRun {
                    self.not_run.insert(id);
                }
                ActorModel::Ended
            }
            ActorModel::Storing(StoreStep::Stored) | ActorModel::Ended => ActorModel::Ended,
        }
    }
}

fn operation_fault() -> impl Strategy<Value = OperationFault> {
    prop_oneof![
        6 => Just(OperationFault::None),
        2 => Just(OperationFault::ResponseLost),
        1 => Just(OperationFault::Delayed),
        1 => Just(OperationFault::Refused),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4096))]

    /// Guards against running a key twice, and against running an attempt that was reported as not
    /// run, under any interleaving of attempts, cancellations, lost responses and delayed writes.
    #[test]
    fn step_random_interleaving(
        schedule in prop::collection::vec((0_u128..4, any::<bool>(), operation_fault()), 1..80),
    ) {
        let mut key = KeyModel::default();
        let mut agents: IndexMap<AttemptId, ActorModel> = IndexMap::new();
        let mut routers: IndexMap<AttemptId, ActorModel> = IndexMap::new();
        for (id, by_agent, fault) in schedule {
            let actor = if by_agent {
                agents.swap_remove(&id).unwrap_or_else(|| {
                    ActorModel::Claiming(ClaimStep::Write(WritingClaim::new(attempt(id), START)))
                })
            } else {
                routers.swap_remove(&id).unwrap_or_else(|| {
                    let cancel = CancellingClaim::cancel(attempt(id)).start(START);
                    ActorModel::Cancelling(CancelStep::Write(cancel))
                })
            };
            let next = key.step(id, actor, fault);
            if by_agent { agents.insert(id, next) } else { routers.insert(id, next) };
            if matches!(fault, OperationFault::ResponseLost)
                && let Some(write) = key.delayed.pop()
            {
                key.row.apply(&write);
            }
            prop_assert!(key.runs.len() <= 1, "the key ran {} times", key.runs.len());
            let misreported = key.runs.iter().find(|id| key.not_run.contains(*id));
            prop_assert!(
                misreported.is_none(),
                "attempt {misreported:?} ran although it was reported as not run"
            );
        }
    }
}
