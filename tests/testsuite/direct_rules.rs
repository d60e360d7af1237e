//! Building blocks of direct dispatch: window counters, retry budget, team usage, peers, version
//! moves, overload control.

use std::time::{Duration, Instant};

use godwitcrank::decision::direct::{
    AnswerCount, AnswerQuality, CallLimiter, ConnectionAdmission, CostEstimate, FairLevel,
    LoadSample, MoveEvidence, OverloadControl, OverloadDetector, PeerReport, PeerTable,
    PromptShape, RetryBudget, SlidingCounter, StageChange, TeamDemand, TeamUsage, TrialCount,
    TrialStage, VersionAnswers, VersionTrial,
};
use godwitcrank::ids::{NodeId, StoreRevision};
use godwitcrank::routing::MoveOrder;
use googletest::prelude::*;
use indexmap::IndexMap;
use proptest::prelude::*;

const WINDOW: Duration = Duration::from_secs(10);

/// Returns the revision of a version in a store that states no era.
fn version(version: u64) -> StoreRevision {
    StoreRevision::new(0, version)
}

fn report(node: &str, incarnation: u64) -> PeerReport {
    let report = PeerReport::new(node.into(), ([127, 0, 0, 1], 7400).into(), incarnation, 1);
    PeerReport { operators: version(4), upstreams: version(9), ..report }
}

fn unrefused(usages: &[f64]) -> Vec<TeamDemand> {
    usages.iter().map(|usage| TeamDemand { usage: *usage, refused: 0.0 }).collect()
}

fn trial(now: Instant) -> VersionTrial {
    let order = MoveOrder {
        service: "model".into(),
        target: "v2".into(),
        duration: Duration::from_secs(20),
        revision: version(7),
    };
    let mut trial = VersionTrial::new(order, now);
    trial.apply_recorded(TrialStage::Trial);
    trial
}

/// Time between two calls of a trial that sees 1,000 calls in about half of its duration.
const TRIAL_STEP: Duration = Duration::from_millis(10);

/// Counts an answer that is good or a failure.
fn record(trial: &mut VersionTrial, of_target: bool, good: bool, now: Instant) {
    let quality = if good { AnswerQuality::Good } else { AnswerQuality::Failed };
    trial.record(&"route".into(), of_target, quality, now);
}

/// Returns whether the next call goes to the target, which has capacity.
fn sends_next(trial: &mut VersionTrial, upstreams: usize, now: Instant) -> bool {
    let Some(load) = trial.trial_load(upstreams, now) else { return trial.sends_to_target() };
    let is_due = trial.count_call(load);
    if is_due {
        trial.record_target_call();
    }
    is_due
}

fn with_total(total: VersionAnswers) -> TrialCount {
    let evidence = MoveEvidence { total, ..MoveEvidence::default() };
    TrialCount { evidence, ..TrialCount::default() }
}

fn peers(count: &TrialCount) -> IndexMap<NodeId, TrialCount> {
    IndexMap::from([(NodeId::from("router-2"), count.clone())])
}

/// Guards against a count that keeps events beyond its window.
#[gtest]
fn count_drops_old_events() {
    let now = Instant::now();
    let mut count = SlidingCounter::new(WINDOW);
    count.record(now);
    count.record(now + Duration::from_secs(6));
    expect_that!(count.count(now + Duration::from_secs(9)), eq(2));
    expect_that!(count.count(now + Duration::from_secs(11)), eq(1));
}

proptest! {
    /// Guards against routers that together retry more than the fleet may: in every schedule of
    /// first calls and retries, the retries of all routers stay within the ratio and the slack.
    #[test]
    fn try_retry_all_routers_within_bound(
        steps in proptest::collection::vec((0_usize..4, any::<bool>(), 0_u64..400), 1..600),
    ) {
        const RATIO: f64 = 0.2;
        const SLACK: f64 = 20.0;
        let start = Instant::now();
        let mut budgets = vec![RetryBudget::new(WINDOW); 4];
        let mut firsts: Vec<Instant> = Vec::new();
        let mut retries: Vec<Instant> = Vec::new();
        let mut now = start;
        for (router, is_retry, pause) in steps {
            now += Duration::from_millis(pause);
            if !is_retry {
                budgets[router].record_first(now);
                firsts.push(now);
            } else if budgets[router].try_retry(RATIO, SLACK, 4, now) {
                retries.push(now);
                let recent = |times: &[Instant]| {
                    times.iter().filter(|at| now.duration_since(**at) < WINDOW).count() as f64
                };
                prop_assert!(recent(&retries) <= RATIO * recent(&firsts) + SLACK);
            }
        }
    }

    /// Guards against a fair level that grants teams more than all upstreams can do.
    #[test]
    fn new_level_sum_within_work(
        usages in proptest::collection::vec(0.0_f64..1e6, 1..40),
        rate in 1.0_f64..1e6,
    ) {
        let level = FairLevel::new(&unrefused(&usages), rate).level;
        let given: f64 = usages.iter().map(|usage| usage.min(level)).sum();
        let steady = rate * 2.0 / std::f64::consts::LN_2;
        prop_assert!(given <= steady * 1.000_001);
    }
}

/// Guards against a fair level that limits no team while upstreams are full, since recent usage has
/// not had the time to reach what the upstreams are stated to bear.
#[gtest]
fn new_level_before_steady_usage_divides_recent_usage() {
    let refused = |usage, refused| TeamDemand { usage, refused };
    let demands = [refused(100.0, 0.0), refused(200.0, 500.0), refused(900.0, 900.0)];
    expect_that!(FairLevel::new(&demands, 1_000.0).level, eq(550.0));
    let unrefused = demands.map(|demand| TeamDemand { refused: 0.0, ..demand });
    expect_that!(FairLevel::new(&unrefused, 1_000.0).level, eq(f64::INFINITY));
}

/// Guards against equal treatment of all teams above the fair level, which gives the one that asks
/// most the most service.
#[gtest]
fn fair_fraction_falls_with_usage() {
    let level = FairLevel::new(&unrefused(&[10.0, 2_000.0, 9_000.0]), 500.0);
    expect_that!(level.fair_fraction(10.0), eq(1.0));
    expect_that!(level.fair_fraction(2_000.0), lt(1.0));
    expect_that!(level.fair_fraction(9_000.0), lt(0.6 * level.fair_fraction(2_000.0)));
}

/// Guards against old usage counting against a team for ever.
#[gtest]
fn usage_of_decays_over_time() {
    let now = Instant::now();
    let mut usage = TeamUsage::default();
    usage.record(&"flood".into(), 1_000.0, now);
    expect_that!(usage.usage_of("flood", now), near(1_000.0, 0.1));
    expect_that!(usage.usage_of("flood", now + Duration::from_secs(2)), near(500.0, 0.1));
    expect_that!(usage.recent(now + Duration::from_secs(60)), is_empty());
}

/// Guards against a router that takes a full share of a bound before it knows its peers.
#[gtest]
fn router_count_unknown_members_assume_many() {
    let now = Instant::now();
    let mut peers = PeerTable::default();
    expect_that!(peers.router_count(now), ge(30));
    peers.set_members(1);
    expect_that!(peers.router_count(now), eq(1));
    peers.record(report("router-2", 1), now);
    expect_that!(peers.router_count(now), eq(2));
}

/// Guards against a growing share while a peer that stopped reporting may still send calls.
#[gtest]
fn router_count_silent_peer_counts_while_store_names_it() {
    let now = Instant::now();
    let mut peers = PeerTable::default();
    peers.set_members(2);
    peers.record(report("router-2", 1), now);
    assert_that!(peers.router_count(now + Duration::from_secs(30)), eq(2));
}

/// Guards against a report of an earlier incarnation replacing one of the current incarnation.
#[gtest]
fn record_earlier_incarnation_ignored() {
    let now = Instant::now();
    let mut peers = PeerTable::default();
    expect_that!(peers.record(report("router-2", 2), now), some(anything()));
    expect_that!(peers.record(report("router-2", 1), now), none());
}

/// Guards against a router that cannot reach the store staying behind its peers.
#[gtest]
fn find_ahead_newer_part() {
    let now = Instant::now();
    let mut peers = PeerTable::default();
    peers.record(report("router-2", 1), now);
    expect_that!(peers.find_ahead(version(4), version(9), now), none());
    expect_that!(peers.find_ahead(version(4), version(8), now), some(anything()));
    expect_that!(peers.find_ahead(version(3), version(9), now), some(anything()));
}

/// Guards against more than a small share of calls to a target that has not been evaluated.
#[gtest]
fn sends_next_to_target_small_share() {
    let start = Instant::now();
    for upstreams in 1..60 {
        let mut trial = trial(start);
        let sent = (0..1_000)
            .filter(|number| sends_next(&mut trial, upstreams, start + TRIAL_STEP * *number))
            .count();
        // The users' bound is a tenth of the calls.
        expect_that!(sent, all!(ge(20), le(100)), "{upstreams} upstreams");
    }
}

/// Guards against calls to a target after its fault shows, even if other routers saw most of it.
#[gtest]
fn evaluate_bad_version_takes_back() {
    let now = Instant::now();
    let mut trial = trial(now);
    for _ in 0..300 {
        record(&mut trial, false, true, now);
    }
    let target = AnswerCount { good: 10, late: 0, failed: 10 };
    let total = VersionAnswers { target, ..VersionAnswers::default() };
    let seen = with_total(total);
    let change = trial.evaluate(5, &peers(&seen), 2, now + Duration::from_secs(1));
    expect_that!(change, eq(StageChange::Entered(TrialStage::TakenBack)));
    expect_that!((0..100).any(|_| sends_next(&mut trial, 12, now)), eq(false));
}

/// Guards against a good target being taken back because some of its first answers are late, as its
/// caches are cold, and against keeping one whose answers go on being late.
#[gtest]
fn evaluate_late_answers_take_back_if_they_go_on() {
    let now = Instant::now();
    for (answers, late, expected) in [
        (59, 6, TrialStage::Trial),
        (1_297, 22, TrialStage::Trial),
        (50, 25, TrialStage::TakenBack),
    ] {
        let mut trial = trial(now);
        let target = AnswerCount { good: answers - late, late, failed: 0 };
        let others = AnswerCount { good: 1_416, late: 4, failed: 0 };
        let seen = with_total(VersionAnswers { target, others });
        trial.evaluate(5, &peers(&seen), 2, now);
        expect_that!(trial.stage(), eq(expected), "{late} of {answers} late");
    }
}

/// Guards against a good target being taken back for failures that all versions have.
#[gtest]
fn evaluate_failures_everywhere_keeps_trial() {
    let now = Instant::now();
    let mut trial = trial(now);
    for index in 0..400 {
        record(&mut trial, false, index % 2 == 0, now);
        record(&mut trial, true, index % 2 == 0, now);
    }
    let change = trial.evaluate(5, &IndexMap::new(), 1, now + Duration::from_secs(1));
    assert_that!(change, eq(StageChange::Unchanged));
}

/// Guards against completing a move while calls still run at the old version, whose upstreams then
/// stop at once.
#[gtest]
fn evaluate_good_version_waits_for_old_calls() {
    let now = Instant::now();
    let mut trial = trial(now);
    for _ in 0..100 {
        record(&mut trial, false, true, now);
        record(&mut trial, true, true, now);
    }
    let later = now + Duration::from_secs(12);
    let observed = now + Duration::from_secs(17);
    let moved = TrialCount { stage: TrialStage::Moved, ..TrialCount::default() };
    let busy = TrialCount { other_running: 3, ..moved.clone() };
    expect_that!(
        trial.evaluate(2, &peers(&busy), 2, later),
        eq(StageChange::Entered(TrialStage::Moved))
    );
    // The target has not had all calls for long.
    expect_that!(trial.evaluate(0, &peers(&moved), 2, later), eq(StageChange::Unchanged));
    expect_that!(trial.evaluate(0, &peers(&busy), 2, observed), eq(StageChange::Unchanged));
    expect_that!(
        trial.evaluate(0, &peers(&moved), 2, observed),
        eq(StageChange::Entered(TrialStage::Completing))
    );
    expect_that!(trial.take_record_request(observed), some(eq(TrialStage::Done)));
}

/// Guards against routers that end one move in contrary ways: only a record in the store ends it.
#[gtest]
fn evaluate_completing_fault_takes_back_unless_recorded() {
    let now = Instant::now();
    let mut trial = trial(now);
    for _ in 0..100 {
        record(&mut trial, false, true, now);
        record(&mut trial, true, true, now);
    }
    let late = now + Duration::from_secs(19);
    trial.evaluate(0, &IndexMap::new(), 1, late);
    trial.evaluate(0, &IndexMap::new(), 1, late);
    expect_that!(trial.stage(), eq(TrialStage::Completing));
    let mut recorded = trial.clone();
    recorded.apply_recorded(TrialStage::Done);
    for trial in [&mut trial, &mut recorded] {
        (0..100).for_each(|_| record(trial, true, false, now));
    }
    trial.evaluate(0, &IndexMap::new(), 1, late);
    expect_that!(trial.stage(), eq(TrialStage::TakenBack));
    expect_that!(trial.take_record_request(late), some(eq(TrialStage::TakenBack)));
    recorded.evaluate(0, &IndexMap::new(), 1, late);
    expect_that!(recorded.stage(), eq(TrialStage::Done));
    expect_that!(recorded.take_record_request(late), none());
}

/// Guards against a router that keeps its own decision when the store has recorded the contrary one
/// first: it would refuse all calls once the other version's upstreams are gone.
#[gtest]
fn apply_recorded_goes_before_own_decision() {
    let now = Instant::now();
    let mut trial = trial(now);
    (0..20).for_each(|_| record(&mut trial, true, false, now));
    trial.evaluate(5, &IndexMap::new(), 1, now);
    expect_that!(trial.stage(), eq(TrialStage::TakenBack));
    let change = trial.apply_recorded(TrialStage::Done);
    expect_that!(change, eq(StageChange::Entered(TrialStage::Done)));
    expect_that!(trial.sends_to_target(), eq(true));
}

/// Guards against calls to a version whose fault another router has found, or whose end only
/// another router has read from the store.
#[gtest]
fn evaluate_follows_peer() {
    let now = Instant::now();
    for (stage, is_recorded) in
        [(TrialStage::TakenBack, false), (TrialStage::TakenBack, true), (TrialStage::Done, true)]
    {
        let mut trial = trial(now);
        let seen = TrialCount { stage, is_recorded, ..TrialCount::default() };
        trial.evaluate(5, &peers(&seen), 2, now);
        expect_that!(trial.stage(), eq(stage));
        expect_that!(trial.is_recorded(), eq(is_recorded));
    }
}

/// Guards against a router that sends to a version before it has read whether it was taken back.
#[gtest]
fn sends_next_to_target_unread_record_is_false() {
    let now = Instant::now();
    let mut trial = VersionTrial::new(trial(now).order().clone(), now);
    expect_that!((0..100).any(|_| sends_next(&mut trial, 12, now)), eq(false));
    expect_that!(trial.take_record_request(now), some(eq(TrialStage::Trial)));
    expect_that!(trial.take_record_request(now + Duration::from_millis(100)), none());
    expect_that!(trial.take_record_request(now + Duration::from_millis(600)), some(anything()));
    trial.apply_recorded(TrialStage::Trial);
    expect_that!((0..100).any(|_| sends_next(&mut trial, 12, now)), eq(true));
}

/// Guards against a move that misses its deadline because a router started during it and counts the
/// time from its own start.
#[gtest]
fn evaluate_started_late_takes_age_of_peer() {
    let now = Instant::now();
    let mut trial = trial(now);
    let good = |good| AnswerCount { good, ..AnswerCount::default() };
    let total = VersionAnswers { target: good(60), others: good(900) };
    let age = Duration::from_secs(12);
    let seen = TrialCount { stage: TrialStage::Moved, age, ..with_total(total) };
    trial.evaluate(5, &peers(&seen), 2, now);
    expect_that!(trial.stage(), eq(TrialStage::Moved));
}

/// Guards against counts of another order, with the same or another target, deciding a move.
#[gtest]
fn matches_other_order_is_false() {
    let now = Instant::now();
    let mut trial = trial(now);
    let own = trial.report(0, now);
    expect_that!(trial.matches(&own), eq(true));
    expect_that!(trial.matches(&TrialCount { order: version(6), ..own.clone() }), eq(false));
    expect_that!(trial.matches(&TrialCount { target: "v1".into(), ..own }), eq(false));
}

/// Guards against a router's own evaluation undoing a recorded final stage.
#[gtest]
fn apply_recorded_final_stage_stays() {
    let now = Instant::now();
    let mut trial = trial(now);
    trial.apply_recorded(TrialStage::TakenBack);
    trial.apply_recorded(TrialStage::Done);
    assert_that!(trial.stage(), eq(TrialStage::TakenBack));
}

/// Guards against a burst that makes every call at a small router late: admitted and refused calls
/// together must fit its processor share.
#[gtest]
fn try_admit_burst_within_processor_time() {
    let start = Instant::now();
    for calls_per_second in [400, 800] {
        let mut limiter = CallLimiter::new(0.1, start);
        let calls = 2 * calls_per_second;
        let taken = (0..calls)
            .filter(|number| {
                let passed = f64::from(*number) / f64::from(calls_per_second);
                limiter.try_admit(1.0, start + Duration::from_secs_f64(passed))
            })
            .count();
        let refused = f64::from(calls) - taken as f64;
        // A call costs 0.4 ms and a refusal 0.1 ms. The run takes 2 s, and the bucket adds a burst
        // of 0.25 s.
        let used = taken as f64 * 0.0004 + refused * 0.0001;
        expect_that!(used, le(0.1 * 2.25 + 0.001), "{calls_per_second} calls a second");
        expect_that!(taken, ge(150), "{calls_per_second} calls a second");
    }
}

fn sample(lateness: u64, calls: u64) -> LoadSample {
    LoadSample {
        lateness: Duration::from_millis(lateness),
        connections_used: 0.1,
        calls: calls as f64,
        interval: Duration::from_millis(100),
    }
}

/// Records the same sample ten times a second; returns when the state changes, within a minute.
fn changes_at(
    detector: &mut OverloadDetector,
    sample: LoadSample,
    from: Instant,
) -> Option<Instant> {
    (1..600)
        .map(|number| from + Duration::from_millis(100) * number)
        .find(|now| detector.record(sample, *now).is_some())
}

/// Guards against overload being reported for many calls that are refused at little cost.
#[gtest]
fn record_many_calls_in_time_keeps_callers() {
    let start = Instant::now();
    let mut detector = OverloadDetector::new(0.1, start);
    expect_that!(changes_at(&mut detector, sample(1, 100), start), none());
}

/// Guards against overload being reported for the pauses of a processor quota.
#[gtest]
fn record_few_calls_quota_pauses_keeps_callers() {
    let start = Instant::now();
    let mut detector = OverloadDetector::new(0.1, start);
    expect_that!(changes_at(&mut detector, sample(60, 10), start), none());
}

/// Guards against calls piling up for seconds before overload is reported.
#[gtest]
fn record_many_calls_late_sheds_soon() {
    let start = Instant::now();
    let mut detector = OverloadDetector::new(0.1, start);
    let overloaded = changes_at(&mut detector, sample(50, 60), start);
    assert_that!(overloaded, some(le(start + Duration::from_secs(1))));
}

/// Guards against a router that returns to service every few seconds only to be overloaded again.
#[gtest]
fn record_relapse_doubles_shed_time() {
    let start = Instant::now();
    let mut detector = OverloadDetector::new(0.1, start);
    let mut now = start;
    let mut shed_times = Vec::new();
    for _ in 0..3 {
        let overloaded = changes_at(&mut detector, sample(50, 60), now).unwrap_or(now);
        now = changes_at(&mut detector, sample(0, 0), overloaded).unwrap_or(overloaded);
        shed_times.push(now.duration_since(overloaded));
    }
    expect_that!(shed_times[0], ge(Duration::from_secs(2)));
    expect_that!(shed_times[1], ge(Duration::from_secs(4)));
    expect_that!(shed_times[2], ge(Duration::from_secs(8)));
}

/// Offers calls at a steady rate, with timers late by `lateness`; returns the admitted calls of each
/// 100 ms.
fn offer_calls(
    control: &mut OverloadControl,
    calls: u32,
    lateness: Duration,
    intervals: u32,
    from: Instant,
) -> Vec<u32> {
    const INTERVAL: Duration = Duration::from_millis(100);
    (0..intervals)
        .map(|interval| {
            let start = from + INTERVAL * interval;
            let times = (0..calls).map(|call| start + INTERVAL * call / calls);
            let admitted = times.filter(|time| control.try_admit(1.0, *time)).count() as u32;
            control.record(lateness, 0.1, INTERVAL, start + INTERVAL);
            admitted
        })
        .collect()
}

/// Guards against an overload control that, once timers are a little late, refuses most calls of a
/// rate which the router has just served in time.
#[gtest]
fn try_admit_little_late_keeps_half_of_rate_in_time() {
    let start = Instant::now();
    let mut control = OverloadControl::new(0.1, start);
    let in_time = offer_calls(&mut control, 45, Duration::from_millis(5), 20, start);
    expect_that!(in_time, each(eq(&45)));
    let later = start + Duration::from_secs(2);
    let late = offer_calls(&mut control, 60, Duration::from_millis(20), 10, later);
    expect_that!(late[5..].iter().sum::<u32>(), ge(5 * 45 / 2), "{late:?}");
}

/// Guards against a limit that stays above what the processor serves while timers are late.
#[gtest]
fn try_admit_late_for_seconds_falls_to_lowest_rate() {
    let start = Instant::now();
    let mut control = OverloadControl::new(0.1, start);
    offer_calls(&mut control, 45, Duration::from_millis(5), 20, start);
    let later = start + Duration::from_secs(2);
    let late = offer_calls(&mut control, 45, Duration::from_millis(60), 30, later);
    expect_that!(late[20..].iter().sum::<u32>(), le(10 * 25), "{late:?}");
}

/// Guards against an overloaded router that spends most of its processor time on calls with long
/// answers, and refuses several times as many calls with short ones.
#[gtest]
fn try_admit_late_prefers_calls_with_short_answers() {
    const INTERVAL: Duration = Duration::from_millis(100);
    let start = Instant::now();
    let mut control = OverloadControl::new(0.1, start);
    let call = |tokens_out| PromptShape { tokens_in: 1_000, tokens_out, parts: Vec::new() };
    let (mut short, mut long) = (0, 0);
    for interval in 0..60 {
        let from = start + INTERVAL * interval;
        for number in 0..40 {
            let is_long = (7 * number + 3 * interval) % 4 == 0;
            let cost = control.cost_of(Some(&call(if is_long { 240 } else { 24 })));
            let is_admitted = control.try_admit(cost, from + INTERVAL * number / 40);
            if interval >= 20 && is_admitted {
                *(if is_long { &mut long } else { &mut short }) += 1;
            }
        }
        control.record(Duration::from_millis(60), 0.1, INTERVAL, from + INTERVAL);
    }
    // 40 intervals with 30 short calls each; the processor bears about 25 calls of mean cost.
    expect_that!(short, ge(40 * 30 / 2));
    expect_that!(long, le(short / 10));
}

/// Guards against a cost that does not follow the length of the answers on a deployment where an
/// event holds fewer tokens.
#[gtest]
fn cost_of_follows_writes_of_ended_streams() {
    let mut costs = CostEstimate::default();
    let prompt = PromptShape { tokens_in: 1_000, tokens_out: 100, parts: Vec::new() };
    let before = costs.cost_of(Some(&prompt));
    for _ in 0..300 {
        costs.record_stream(100, 50);
    }
    let after = costs.cost_of(Some(&prompt));
    expect_that!(after, ge(2.0 * before));
    expect_that!(costs.cost_of(None), lt(before));
}

/// Guards against connections that all find the same budget, since their calls are charged only as
/// they are read: an overloaded router then accepts far more than it serves, and sheds their calls.
#[gtest]
fn try_admit_connection_late_charges_at_once() {
    const INTERVAL: Duration = Duration::from_millis(100);
    let mut now = Instant::now();
    let mut control = OverloadControl::new(0.1, now);
    for _ in 0..20 {
        for _ in 0..100 {
            control.try_admit(1.0, now);
        }
        now += INTERVAL;
        control.record(Duration::from_millis(60), 0.1, INTERVAL, now);
    }
    let admissions: Vec<_> = (0..200).map(|_| control.try_admit_connection(now)).collect();
    let charged =
        admissions.iter().filter(|admission| **admission == ConnectionAdmission::Charged).count();
    let refused =
        admissions.iter().filter(|admission| **admission == ConnectionAdmission::Refused).count();
    // A burst of 75 ms at the lowest rate, 250 calls per second.
    expect_that!(charged, all!(ge(1), le(19)));
    expect_that!(charged + refused, eq(200));
}

/// Guards against calls with long answers that pay for a short one, since their connections were
/// charged before they were read.
#[gtest]
fn admit_charged_long_answer_is_paid_later() {
    const INTERVAL: Duration = Duration::from_millis(100);
    let mut now = Instant::now();
    let mut control = OverloadControl::new(0.1, now);
    let mut admitted = 0;
    for _ in 0..60 {
        for _ in 0..40 {
            now += INTERVAL / 40;
            match control.try_admit_connection(now) {
                ConnectionAdmission::Unlimited => {
                    control.try_admit(4.0, now);
                }
                ConnectionAdmission::Charged => {
                    control.admit_charged(4.0);
                    admitted += 1;
                }
                ConnectionAdmission::Refused => {}
            }
        }
        control.record(Duration::from_millis(60), 0.1, INTERVAL, now);
    }
    // Calls of mean cost: a second at the first rate, five at the lowest one, and a burst.
    expect_that!(admitted, all!(ge(100), le((400 + 5 * 250 + 30) / 4)));
}
