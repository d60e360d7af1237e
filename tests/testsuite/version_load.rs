//! Version moves of simulated fleets: routers that exchange reports, and upstreams whose new
//! version fails in one of the ways that versions do.

use std::sync::Arc;
use std::time::{Duration, Instant};

use godwitcrank::decision::direct::{
    CallDecision, CallGrant, CallOutcome, DirectDispatcher, PeerReport, PendingCall, TrialStage,
};
use godwitcrank::ids::{CallId, GrantId, StoreRevision, UpstreamId};
use godwitcrank::routing::{MoveOrder, UpstreamEntry, ViewChange};
use googletest::prelude::*;
use indexmap::IndexMap;

use super::support::direct_path::{
    fleet_bounds, pending_call, plain_configuration, upstream_entry,
};

/// Step of the simulation.
const STEP: Duration = Duration::from_millis(10);

/// Steps between two evaluations and reports of a router.
const REPORT_STEPS: u32 = 10;

/// Steps until the store's answer to a request for a record arrives.
const RECORD_STEPS: u32 = 2;

/// Time after which a failure is answered.
const FAILURE_TIME: Duration = Duration::from_millis(20);

/// Part of the calls that are on the smaller route, in percent.
const SMALL_ROUTE_PERCENT: u64 = 16;

/// Calls from the order to its deadline up to which a separate test looks at failures of one route.
const FEW_CALLS: f64 = 1_000.0;

/// The users' bound on the calls that a bad version gets, as a share of all calls from the order to
/// its deadline and a number of calls.
const EXPOSED_SHARE: f64 = 0.1;
const EXPOSED_SLACK: f64 = 50.0;

/// When the answers of the new version are bad.
#[derive(Clone, Copy, Debug)]
enum VersionFault {
    /// Never.
    None,
    /// One of `each` answers, while an upstream runs more than `bears` calls.
    Loaded { bears: usize, each: u64 },
    /// One of `each` answers, from so long after the order.
    Later { after: Duration, each: u64 },
    /// One of `each` answers on the smaller route.
    OneRoute { each: u64 },
}

/// A fleet of which one service is moved.
#[derive(Clone, Copy, Debug)]
struct MovePlan {
    routers: usize,
    /// Upstreams of each version.
    upstreams: usize,
    /// Calls per second of all routers.
    rate: f64,
    call_time: Duration,
    duration: Duration,
    fault: VersionFault,
}

const FIVE_ROUTERS: MovePlan = MovePlan {
    routers: 5,
    upstreams: 12,
    rate: 353.0,
    call_time: Duration::from_millis(200),
    duration: Duration::from_secs(30),
    fault: VersionFault::Loaded { bears: 2, each: 5 },
};

const TWO_ROUTERS: MovePlan = MovePlan {
    routers: 2,
    upstreams: 6,
    rate: 141.0,
    call_time: Duration::from_millis(300),
    fault: VersionFault::Loaded { bears: 2, each: 4 },
    ..FIVE_ROUTERS
};

const FEW_UPSTREAMS: MovePlan =
    MovePlan { upstreams: 3, rate: 70.0, call_time: Duration::from_millis(150), ..TWO_ROUTERS };

const MANY_UPSTREAMS: MovePlan =
    MovePlan { routers: 8, upstreams: 40, rate: 1_200.0, ..FIVE_ROUTERS };

const PLANS: [MovePlan; 4] = [FIVE_ROUTERS, TWO_ROUTERS, FEW_UPSTREAMS, MANY_UPSTREAMS];

/// Durations of the orders that the users give.
const DURATIONS: [Duration; 2] = [Duration::from_secs(12), Duration::from_secs(30)];

/// How a move ended.
#[derive(Debug, Default)]
struct MoveResult {
    calls: u32,
    target_calls: u32,
    /// Recorded stage and when it was recorded, after the order.
    recorded: Option<(TrialStage, Duration)>,
    /// Calls in progress at the other version when the move was recorded as complete.
    cut: usize,
    refused: u32,
}

impl MoveResult {
    fn exposed_bound(&self) -> f64 {
        EXPOSED_SHARE * f64::from(self.calls) + EXPOSED_SLACK
    }
}

/// A call in progress.
struct RunningCall {
    router: usize,
    grant: GrantId,
    upstream: UpstreamId,
    ends_at: Instant,
    outcome: CallOutcome,
}

struct SimulatedFleet {
    plan: MovePlan,
    start: Instant,
    routers: Vec<DirectDispatcher>,
    running: Vec<RunningCall>,
    pending: IndexMap<CallId, usize>,
    /// Answers to requests for records: step at which they arrive, router and stage.
    replies: Vec<(u32, usize, TrialStage)>,
    next_call: CallId,
    target_answers: u64,
    due_calls: f64,
    result: MoveResult,
}

fn entry(version: &str) -> UpstreamEntry {
    UpstreamEntry { version: version.into(), ..upstream_entry("model", 128) }
}

impl SimulatedFleet {
    fn new(plan: MovePlan, start: Instant) -> Self {
        let router = |number: usize| {
            let node = format!("router-{number}").as_str().into();
            let mut dispatcher =
                DirectDispatcher::new(node, "caerdydd".into(), IndexMap::new(), fleet_bounds());
            dispatcher.apply(&plain_configuration("model"), start);
            for number in 0..plan.upstreams {
                for version in ["v1", "v2"] {
                    let id = format!("i-{version}-{number}").as_str().into();
                    dispatcher.apply(&ViewChange::Upstream(id, entry(version)), start);
                }
            }
            let order = MoveOrder {
                service: "model".into(),
                target: "v2".into(),
                duration: plan.duration,
                revision: StoreRevision::new(0, 5),
            };
            dispatcher.set_members(u32::try_from(plan.routers).expect("it is small"));
            dispatcher.apply(&ViewChange::MoveOrdered(order), start);
            dispatcher
        };
        Self {
            plan,
            start,
            routers: (0..plan.routers).map(router).collect(),
            running: Vec::new(),
            pending: IndexMap::new(),
            replies: Vec::new(),
            next_call: 1,
            target_answers: 0,
            due_calls: 0.0,
            result: MoveResult::default(),
        }
    }

    /// Plays the move up to its deadline.
    fn play(mut self) -> MoveResult {
        let steps = (self.plan.duration.as_millis() / STEP.as_millis()) as u32;
        for step in 0..steps {
            let now = self.start + STEP * step;
            self.end_calls(now);
            self.deliver_records(step, now);
            if step % REPORT_STEPS == 0 {
                self.exchange_reports(step, now);
                self.evaluate(step, now);
            }
            self.send_calls(now);
        }
        self.result
    }

    fn end_calls(&mut self, now: Instant) {
        let (ended, running) =
            std::mem::take(&mut self.running).into_iter().partition(|call| call.ends_at <= now);
        self.running = running;
        let ended: Vec<RunningCall> = ended;
        for call in ended {
            self.routers[call.router].record_end(call.grant, call.outcome, false, now);
        }
    }

    /// The first final record stays, as in the store.
    fn deliver_records(&mut self, step: u32, now: Instant) {
        let (due, later) =
            std::mem::take(&mut self.replies).into_iter().partition(|(at, ..)| *at <= step);
        self.replies = later;
        let due: Vec<(u32, usize, TrialStage)> = due;
        for (_, router, wanted) in due {
            if wanted.is_final() && self.result.recorded.is_none() {
                self.result.recorded = Some((wanted, now - self.start));
                self.result.cut =
                    self.running.iter().filter(|call| call.upstream.contains("v1")).count();
            }
            let stage = self.result.recorded.map_or(wanted, |(stage, _)| stage);
            self.routers[router].apply_move_record(
                &"model".into(),
                StoreRevision::new(0, 5),
                stage,
                now,
            );
        }
    }

    fn exchange_reports(&mut self, step: u32, now: Instant) {
        let reports: Vec<PeerReport> = self
            .routers
            .iter_mut()
            .enumerate()
            .map(|(number, router)| {
                let node = format!("router-{number}").as_str().into();
                let sequence = u64::from(step) + 1;
                let mut report = PeerReport::new(node, ([127, 0, 0, 1], 1).into(), 1, sequence);
                router.fill_report(&mut report, now);
                report
            })
            .collect();
        for (number, router) in self.routers.iter_mut().enumerate() {
            for (sender, report) in reports.iter().enumerate() {
                if sender != number {
                    router.record_report(report.clone(), now);
                }
            }
        }
    }

    fn evaluate(&mut self, step: u32, now: Instant) {
        for (number, router) in self.routers.iter_mut().enumerate() {
            router.refresh_from_peers(now);
            for request in router.evaluate_moves(now).into_iter().filter_map(|step| step.request) {
                self.replies.push((step + RECORD_STEPS, number, request));
            }
        }
    }

    fn send_calls(&mut self, now: Instant) {
        self.due_calls += self.plan.rate * STEP.as_secs_f64();
        while self.due_calls >= 1.0 {
            self.due_calls -= 1.0;
            let id = self.next_call;
            self.next_call += 1;
            let router = usize::try_from(id).expect("it is small") % self.routers.len();
            let call = PendingCall {
                route: if self.is_small_route(id) { "small" } else { "large" }.into(),
                fingerprint: id.wrapping_mul(0x9E37_79B9_7F4A_7C15),
                ..pending_call(id, "model", None, now)
            };
            self.pending.insert(id, router);
            self.routers[router].enqueue(call, now);
        }
        for number in 0..self.routers.len() {
            for (id, decision) in self.routers[number].dispatch(now) {
                self.pending.swap_remove(&id);
                self.result.calls += 1;
                match decision {
                    CallDecision::Send(grant) => {
                        self.start_call(number, id, &grant, now);
                    }
                    CallDecision::Refuse { .. } => self.result.refused += 1,
                }
            }
        }
    }

    fn start_call(&mut self, router: usize, call: CallId, grant: &CallGrant, now: Instant) {
        let upstream = &grant.upstream;
        let is_target = upstream.contains("v2");
        let is_bad = is_target && self.is_bad(call, upstream, now);
        self.result.target_calls += u32::from(is_target);
        let (outcome, time) = if is_bad {
            (CallOutcome::Failed, FAILURE_TIME)
        } else {
            (CallOutcome::Completed, self.plan.call_time)
        };
        self.running.push(RunningCall {
            router,
            grant: grant.id,
            upstream: Arc::clone(upstream),
            ends_at: now + time,
            outcome,
        });
    }

    /// Returns whether a call is on the smaller of the two routes.
    fn is_small_route(&self, call: CallId) -> bool {
        // Each router gets calls of both routes.
        (call / self.routers.len() as u64) % 100 < SMALL_ROUTE_PERCENT
    }

    /// Returns whether the target's answer to a call that begins now is bad.
    fn is_bad(&mut self, call: CallId, upstream: &UpstreamId, now: Instant) -> bool {
        let running = self.running.iter().filter(|call| call.upstream == *upstream).count();
        let each = match self.plan.fault {
            VersionFault::Loaded { bears, each } if running >= bears => each,
            VersionFault::Later { after, each } if now - self.start >= after => each,
            VersionFault::OneRoute { each } if self.is_small_route(call) => each,
            _ => return false,
        };
        self.target_answers += 1;
        self.target_answers.is_multiple_of(each)
    }
}

fn play(plan: MovePlan) -> MoveResult {
    SimulatedFleet::new(plan, Instant::now()).play()
}

/// Plays the move to a bad version; checks that it is taken back within the users' bound.
fn expect_taken_back(plan: MovePlan) {
    let result = play(plan);
    expect_that!(
        result.recorded.map(|(stage, _)| stage),
        some(eq(TrialStage::TakenBack)),
        "{plan:?} {result:?}"
    );
    let exposed = f64::from(result.target_calls);
    expect_that!(exposed, le(result.exposed_bound()), "{plan:?} {result:?}");
}

/// Returns all plans with all durations.
fn all_plans() -> impl Iterator<Item = MovePlan> {
    let with_durations = |plan| DURATIONS.map(|duration| MovePlan { duration, ..plan });
    PLANS.into_iter().flat_map(with_durations)
}

/// Guards against completing the move to a version that fails only under the load that each
/// upstream bears after the move.
#[gtest]
fn evaluate_moves_bad_under_load_is_taken_back() {
    all_plans().for_each(expect_taken_back);
}

/// Guards against completing the move to a version whose failures begin some time after its start.
#[gtest]
fn evaluate_moves_bad_later_is_taken_back() {
    for plan in all_plans() {
        for part in [0.2, 0.4, 0.55, 0.6] {
            let fault = VersionFault::Later { after: plan.duration.mul_f64(part), each: 4 };
            expect_taken_back(MovePlan { fault, ..plan });
        }
    }
}

/// Guards against completing the move to a version that fails on one route only, whose calls are few
/// among all.
#[gtest]
fn evaluate_moves_bad_on_one_route_is_taken_back() {
    let has_calls = |plan: &MovePlan| plan.rate * plan.duration.as_secs_f64() > FEW_CALLS;
    for plan in all_plans().filter(has_calls) {
        expect_taken_back(MovePlan { fault: VersionFault::OneRoute { each: 5 }, ..plan });
    }
}

/// Guards against the same with so few calls that the users' bound leaves the target about twenty on
/// the route that fails.
#[gtest]
fn evaluate_moves_bad_on_one_route_few_calls_is_taken_back() {
    let fault = VersionFault::OneRoute { each: 5 };
    expect_taken_back(MovePlan { duration: DURATIONS[0], fault, ..FEW_UPSTREAMS });
}

/// Guards against a good version that is not moved to by its deadline, or is completed while calls
/// still run at the other version.
#[gtest]
fn evaluate_moves_good_version_is_completed_in_time() {
    for plan in all_plans() {
        let plan = MovePlan { fault: VersionFault::None, ..plan };
        let result = play(plan);
        expect_that!(
            result.recorded.map(|(stage, _)| stage),
            some(eq(TrialStage::Done)),
            "{plan:?} {result:?}"
        );
        expect_that!((result.cut, result.refused), eq((0, 0)), "{plan:?} {result:?}");
    }
}

/// Guards against calls that are refused because of an order whose versions have all gone.
#[gtest]
fn dispatch_versions_of_order_gone_uses_others() {
    for stage in [TrialStage::Trial, TrialStage::Done, TrialStage::TakenBack] {
        let now = Instant::now();
        let mut fleet = SimulatedFleet::new(MovePlan { routers: 1, ..TWO_ROUTERS }, now);
        let router = &mut fleet.routers[0];
        router.apply_move_record(&"model".into(), StoreRevision::new(0, 5), stage, now);
        let known: Vec<UpstreamId> = router.upstreams().keys().cloned().collect();
        for id in known {
            router.apply(&ViewChange::UpstreamGone(id), now);
        }
        router.apply(&ViewChange::Upstream("i-v3".into(), entry("v3")), now);
        router.enqueue(pending_call(1, "model", None, now), now);
        let decisions = router.dispatch(now);
        expect_that!(decisions.len(), eq(1), "{stage}");
        let is_sent =
            matches!(&decisions[0].1, CallDecision::Send(grant) if &*grant.upstream == "i-v3");
        expect_that!(is_sent, eq(true), "{stage}");
    }
}
