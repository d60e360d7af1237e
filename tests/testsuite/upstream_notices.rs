//! Statements of upstreams about themselves: that they leave, or that they want no calls for a
//! while.

use std::time::{Duration, Instant, SystemTime};

use godwitcrank::decision::direct::{
    BudgetCharge, CallDecision, CallGrant, CallOutcome, DirectDispatcher, MAX_PAUSE, PendingCall,
    RefusalCause, UpstreamNotice,
};
use godwitcrank::ids::CallId;
use godwitcrank::routing::{UpstreamEntry, ViewChange};
use googletest::prelude::*;

use super::support::direct_path::{fleet_bounds, plain_configuration};

const OBJECTIVE: Duration = Duration::from_millis(500);
const PAUSE: Duration = Duration::from_secs(3);
const MOMENT: Duration = Duration::from_millis(1);

fn entry(started: SystemTime) -> UpstreamEntry {
    UpstreamEntry {
        service: "booking".into(),
        address: ([127, 0, 0, 1], 9000).into(),
        data_centre: "caerdydd".into(),
        version: "v1".into(),
        slots: 100,
        leaving: false,
        cold_left: Duration::ZERO,
        started: Some(started),
    }
}

/// A dispatcher with upstreams of one service, all started at the same time.
struct NoticeFixture {
    dispatcher: DirectDispatcher,
    started: SystemTime,
    next_call: CallId,
}

impl NoticeFixture {
    fn new(upstreams: &[&str], now: Instant) -> Self {
        let mut dispatcher = DirectDispatcher::new(
            "router-1".into(),
            "caerdydd".into(),
            Default::default(),
            fleet_bounds(),
        );
        dispatcher.apply(&plain_configuration("booking"), now);
        dispatcher.set_members(1);
        let started = SystemTime::UNIX_EPOCH + Duration::from_secs(1_000);
        let mut fixture = Self { dispatcher, started, next_call: 1 };
        for id in upstreams {
            fixture.publish(id, started, now);
        }
        fixture
    }

    fn publish(&mut self, id: &str, started: SystemTime, now: Instant) {
        self.dispatcher.apply(&ViewChange::Upstream(id.into(), entry(started)), now);
    }

    fn enqueue(&mut self, now: Instant) -> CallId {
        let id = self.next_call;
        self.next_call += 1;
        let call = PendingCall {
            id,
            route: "route".into(),
            service: "booking".into(),
            team: None,
            priority: 1,
            homes: None,
            prompt: None,
            objective: OBJECTIVE,
            arrived: now,
            deadline: now + Duration::from_secs(4),
            fingerprint: id,
            tried: Vec::new(),
            charge: BudgetCharge::First,
        };
        self.dispatcher.enqueue(call, now);
        id
    }

    /// Returns the decision about a call that is made at once, if any.
    fn decide(&mut self, now: Instant) -> Option<CallDecision> {
        let id = self.enqueue(now);
        let decision = self.dispatcher.dispatch(now).pop().map(|(_, decision)| decision);
        if decision.is_none() {
            self.dispatcher.cancel(id, now);
        }
        decision
    }

    fn send(&mut self, now: Instant) -> Option<CallGrant> {
        match self.decide(now) {
            Some(CallDecision::Send(grant)) => Some(grant),
            _ => None,
        }
    }

    /// Sends calls until one goes to the upstream.
    fn send_to(&mut self, upstream: &str, now: Instant) -> CallGrant {
        (0..50)
            .filter_map(|_| self.send(now))
            .find(|grant| &*grant.upstream == upstream)
            .expect("the upstream gets one of the calls")
    }

    /// Returns how many of 40 calls go to the upstream.
    fn calls_to(&mut self, upstream: &str, now: Instant) -> usize {
        let grants: Vec<CallGrant> = (0..40).filter_map(|_| self.send(now)).collect();
        for grant in &grants {
            self.dispatcher.record_end(grant.id, CallOutcome::Abandoned, false, now);
        }
        grants.iter().filter(|grant| &*grant.upstream == upstream).count()
    }

    fn notice(&mut self, upstream: &str, notice: UpstreamNotice, now: Instant) {
        let grant = self.send_to(upstream, now);
        self.dispatcher.record_notice(grant.id, notice, now);
        self.dispatcher.record_end(grant.id, CallOutcome::Declined, false, now);
    }
}

/// Time after which an upstream that declined a call is used again.
const DECLINED_TIME: Duration = Duration::from_millis(100);

/// Guards against calls to an upstream that said that it leaves while its entry still says ready,
/// also after the entry lapsed and came back.
#[gtest]
fn record_notice_leaving_entry_does_not_undo_it() {
    let now = Instant::now();
    let mut fixture = NoticeFixture::new(&["a", "b"], now);
    fixture.notice("a", UpstreamNotice::Leaving, now);
    let later = now + DECLINED_TIME;
    expect_that!(fixture.calls_to("a", later), eq(0));
    let started = fixture.started;
    fixture.publish("a", started, later);
    expect_that!(fixture.calls_to("a", later), eq(0));
    fixture.dispatcher.apply(&ViewChange::UpstreamGone("a".into()), later);
    fixture.publish("a", started, later);
    expect_that!(fixture.calls_to("a", later + Duration::from_secs(3_600)), eq(0));
}

/// Guards against an upstream that started again under its identifier getting no calls, since its
/// last incarnation left or asked for a pause.
#[gtest]
fn record_notice_new_incarnation_is_used() {
    let now = Instant::now();
    for notice in [UpstreamNotice::Leaving, UpstreamNotice::Pause(PAUSE)] {
        let mut fixture = NoticeFixture::new(&["a", "b"], now);
        fixture.notice("a", notice, now);
        let restarted = fixture.started + Duration::from_secs(60);
        fixture.publish("a", restarted, now);
        expect_that!(fixture.calls_to("a", now + DECLINED_TIME), gt(0), "{notice}");
    }
}

/// Guards against a late answer of an upstream's last incarnation that takes the new one out.
#[gtest]
fn record_notice_of_last_incarnation_leaves_new_one() {
    let now = Instant::now();
    let mut fixture = NoticeFixture::new(&["a", "b"], now);
    let grant = fixture.send_to("a", now);
    let restarted = fixture.started + Duration::from_secs(60);
    fixture.publish("a", restarted, now);
    fixture.dispatcher.record_notice(grant.id, UpstreamNotice::Leaving, now);
    expect_that!(fixture.calls_to("a", now), gt(0));
}

/// Guards against calls to an upstream during the pause that it asked for, and against one that is
/// left out for longer.
#[gtest]
fn record_notice_pause_ends_in_time() {
    let now = Instant::now();
    let mut fixture = NoticeFixture::new(&["a", "b"], now);
    fixture.notice("a", UpstreamNotice::Pause(PAUSE), now);
    expect_that!(fixture.calls_to("a", now + DECLINED_TIME), eq(0));
    expect_that!(fixture.calls_to("a", now + PAUSE - MOMENT), eq(0));
    expect_that!(fixture.calls_to("a", now + PAUSE), gt(0));
}

/// Guards against an upstream that gets all calls at once when its pause ends, or none any more
/// when its first call is not answered.
#[gtest]
fn record_notice_pause_ends_with_one_call() {
    let now = Instant::now();
    let mut fixture = NoticeFixture::new(&["a"], now);
    fixture.notice("a", UpstreamNotice::Pause(PAUSE), now);
    let back = now + PAUSE;
    let unanswered = fixture.send(back).expect("the first call is sent");
    expect_that!(fixture.send(back), none());
    fixture.dispatcher.record_end(unanswered.id, CallOutcome::Abandoned, false, back);
    let probe = fixture.send(back).expect("another call is sent");
    expect_that!(fixture.send(back), none());
    fixture.dispatcher.record_end(probe.id, CallOutcome::Completed, false, back);
    expect_that!((0..10).filter_map(|_| fixture.send(back)).count(), eq(10));
}

/// Guards against a pause that is cut short by a shorter one, and one without end.
#[gtest]
fn record_notice_pause_of_a_thousand_years_is_bounded() {
    let now = Instant::now();
    let mut fixture = NoticeFixture::new(&["a", "b"], now);
    let years = Duration::from_secs(1_000 * 365 * 86_400);
    let (first, second) = (fixture.send_to("a", now), fixture.send_to("a", now));
    fixture.dispatcher.record_notice(first.id, UpstreamNotice::Pause(years), now);
    fixture.dispatcher.record_notice(second.id, UpstreamNotice::Pause(PAUSE), now);
    expect_that!(fixture.calls_to("a", now + MAX_PAUSE - MOMENT), eq(0));
    expect_that!(fixture.calls_to("a", now + MAX_PAUSE), gt(0));
}

/// Guards against callers that wait although all upstreams pause, or are told a wrong time to come
/// back.
#[gtest]
fn dispatch_all_paused_refuses_at_once() {
    let now = Instant::now();
    let mut fixture = NoticeFixture::new(&["a", "b"], now);
    let (first, second) = (fixture.send_to("a", now), fixture.send_to("b", now));
    fixture.dispatcher.record_notice(first.id, UpstreamNotice::Pause(2 * PAUSE), now);
    fixture.dispatcher.record_notice(second.id, UpstreamNotice::Pause(PAUSE), now);
    let later = now + Duration::from_secs(1);
    let expected = CallDecision::Refuse {
        cause: RefusalCause::Paused,
        retry_after: PAUSE - Duration::from_secs(1),
    };
    expect_that!(fixture.decide(later), some(eq(&expected)));
}

/// Guards against callers that wait although all upstreams said that they leave.
#[gtest]
fn dispatch_all_leaving_refuses_at_once() {
    let now = Instant::now();
    let mut fixture = NoticeFixture::new(&["a"], now);
    fixture.notice("a", UpstreamNotice::Leaving, now);
    let decision = fixture.decide(now + DECLINED_TIME);
    let Some(CallDecision::Refuse { cause, .. }) = decision else {
        panic!("the call is refused at once, not {decision:?}");
    };
    expect_that!(cause, eq(RefusalCause::NoUpstream));
}

/// Guards against a call that is refused although the only upstream is back before it has to be.
#[gtest]
fn dispatch_waiting_call_is_sent_after_pause() {
    let now = Instant::now();
    let mut fixture = NoticeFixture::new(&["a"], now);
    fixture.notice("a", UpstreamNotice::Pause(PAUSE), now);
    let shortly_before = now + PAUSE - Duration::from_millis(20);
    fixture.enqueue(shortly_before);
    expect_that!(fixture.dispatcher.dispatch(shortly_before), is_empty());
    let back = now + PAUSE;
    fixture.dispatcher.refresh_from_peers(back);
    let decisions = fixture.dispatcher.dispatch(back);
    expect_that!(decisions, len(eq(1)));
    expect_that!(matches!(decisions[0].1, CallDecision::Send(_)), eq(true));
}

/// Guards against a late answer of an upstream's last incarnation that makes the router forget what
/// the new one said.
#[gtest]
fn record_notice_of_last_incarnation_keeps_newer_one() {
    let now = Instant::now();
    let mut fixture = NoticeFixture::new(&["a", "b"], now);
    let late = fixture.send_to("a", now);
    let restarted = fixture.started + Duration::from_secs(60);
    fixture.publish("a", restarted, now);
    fixture.notice("a", UpstreamNotice::Leaving, now);
    fixture.dispatcher.record_notice(late.id, UpstreamNotice::Leaving, now);
    expect_that!(fixture.calls_to("a", now + DECLINED_TIME), eq(0));
}
