//! Decisions about the number of engines, by pattern of load.

use std::time::{Duration, Instant};

use godwitcrank::decision::direct::{
    EngineCounts, EngineRate, EngineSample, EngineScaler, ScalingInput, ScalingOrder,
    ScalingReason, ScalingSubject, TeamDemandRate,
};
use godwitcrank::protocol::{decode_message, encode_message};
use godwitcrank::routing::{RawScalingLimits, ScalingLimits};
use googletest::prelude::*;

/// Time between two decisions.
const STEP: Duration = Duration::from_secs(1);

/// Boot time of engines, in steps.
const BOOT_STEPS: u32 = 15;

/// Work that an engine does per second.
const ENGINE_RATE: f64 = 1_000.0;

fn limits(minimum: u32, maximum: u32) -> ScalingLimits {
    let boot_time = STEP * BOOT_STEPS;
    RawScalingLimits { minimum, maximum, boot_time }.try_into().expect("the limits are valid")
}

fn subject() -> ScalingSubject {
    ScalingSubject { service: "model".into(), data_centre: "caerdydd".into() }
}

/// Returns the demand of three teams that ask for the same.
fn demand(rate: f64) -> Vec<TeamDemandRate> {
    let team =
        |name: &str| TeamDemandRate { team: name.into(), here: rate / 3.0, everywhere: rate / 3.0 };
    vec![team("clocks"), team("maps"), team("tides")]
}

fn input(ready: u32, rate: f64) -> ScalingInput {
    ScalingInput {
        limits: limits(2, 20),
        engines: EngineCounts { ready, ..EngineCounts::default() },
        demand: demand(rate),
        engine_rate: Some(ENGINE_RATE),
        work_rate: None,
        data_centres: 1,
        age: Duration::from_millis(100),
        is_complete: true,
        is_taken_out: false,
    }
}

/// A data centre whose platform boots and removes engines as ordered.
struct Site {
    scaler: EngineScaler,
    now: Instant,
    step: u32,
    ready: u32,
    desired: u32,
    /// Steps at which engines under way are ready.
    booting: Vec<u32>,
    orders: Vec<(u32, ScalingOrder)>,
    /// Engines at each step, those under way included.
    billed: Vec<u32>,
}

impl Site {
    fn new(engines: u32) -> Self {
        Self {
            scaler: EngineScaler::new(subject()),
            now: Instant::now(),
            step: 0,
            ready: engines,
            desired: engines,
            booting: Vec::new(),
            orders: Vec::new(),
            billed: Vec::new(),
        }
    }

    /// Decides by an input with the present engines and has the order accepted.
    fn step_with(&mut self, change: impl FnOnce(&mut ScalingInput), rate: f64) {
        self.boot_engines();
        let mut input = input(self.ready, rate);
        change(&mut input);
        if let Some(order) = self.scaler.decide(&input, self.now) {
            self.scaler.record_accepted(&order, self.now);
            self.desired = order.desired;
            self.orders.push((self.step, order));
        }
        self.billed.push(self.ready + self.booting.len() as u32);
        self.now += STEP;
        self.step += 1;
    }

    fn run(&mut self, steps: u32, rate: impl Fn(u32) -> f64) {
        for _ in 0..steps {
            let rate = rate(self.step);
            self.step_with(|_| {}, rate);
        }
    }

    /// Boots engines that are missing and removes those beyond the order.
    fn boot_engines(&mut self) {
        let step = self.step;
        let booted = self.booting.iter().filter(|ready_at| **ready_at <= step).count();
        self.booting.retain(|ready_at| *ready_at > step);
        self.ready = (self.ready + booted as u32).min(self.desired);
        let missing = self.desired.saturating_sub(self.ready) as usize;
        self.booting.resize(missing, step + BOOT_STEPS);
    }

    fn desired_numbers(&self) -> Vec<u32> {
        self.orders.iter().map(|(_, order)| order.desired).collect()
    }

    /// Returns how often orders change from adding engines to removing them or back.
    fn reversals(&self) -> usize {
        let reasons: Vec<ScalingReason> =
            self.orders.iter().map(|(_, order)| order.reason).collect();
        reasons.windows(2).filter(|pair| pair[0] != pair[1]).count()
    }
}

/// Guards against engines that are ordered late, or beyond a demand that does not grow further.
#[gtest]
fn decide_step_up() {
    let mut site = Site::new(4);
    site.run(10, |_| 3_000.0);
    expect_that!(site.orders, is_empty());
    site.run(30, |_| 8_000.0);
    let (step, order) = site.orders.first().expect("an order");
    expect_that!(*step, eq(10));
    expect_that!(order.reason, eq(ScalingReason::DemandHigh));
    expect_that!(site.desired_numbers(), eq(&vec![10]));
}

/// Guards against engines that are removed early, all at once, or below what the demand needs.
#[gtest]
fn decide_step_down() {
    let mut site = Site::new(12);
    site.run(30, |_| 9_000.0);
    expect_that!(site.orders, is_empty());
    site.run(200, |_| 2_000.0);
    let first = site.orders.first().expect("an order");
    expect_that!(first.0, ge(50));
    let mut before = 12;
    for (_, order) in &site.orders {
        expect_that!(order.reason, eq(ScalingReason::DemandLow));
        expect_that!(before - order.desired, le((before / 4).max(1)));
        before = order.desired;
    }
    for pair in site.orders.windows(2) {
        expect_that!(pair[1].0 - pair[0].0, ge(10));
    }
    expect_that!(before, eq(3));
}

/// Guards against a demand dip that is shorter than the stated time and removes engines.
#[gtest]
fn decide_short_dip() {
    let mut site = Site::new(12);
    for _ in 0..5 {
        site.run(25, |_| 9_000.0);
        site.run(15, |_| 1_000.0);
    }
    expect_that!(site.orders, is_empty());
}

/// Guards against orders that go up and down more often than the demand, against demand beyond the
/// engines, and against paying for the peak all the time.
#[gtest]
fn decide_wave() {
    const PERIOD: u32 = 240;
    let wave = |step: u32| {
        let phase = f64::from(step) / f64::from(PERIOD) * std::f64::consts::TAU;
        6_000.0 + 3_000.0 * phase.sin()
    };
    let mut site = Site::new(8);
    let mut overloaded = 0;
    for step in 0..PERIOD * 4 {
        site.run(1, wave);
        overloaded += u32::from(wave(step) > f64::from(site.ready) * ENGINE_RATE);
    }
    expect_that!(overloaded, eq(0));
    // Two changes of direction in each period.
    expect_that!(site.reversals(), le(8));
    let mean = site.billed.iter().sum::<u32>() / site.billed.len() as u32;
    expect_that!(mean, le(10));
    expect_that!(site.billed.iter().max(), some(le(&14)));
}

/// Guards against engines that come too late for a demand that grows all the time.
#[gtest]
fn decide_ramp() {
    let ramp = |step: u32| 2_000.0 + 60.0 * f64::from(step);
    let mut site = Site::new(4);
    for step in 0..150 {
        site.run(1, ramp);
        expect_that!(ramp(step), le(f64::from(site.ready) * ENGINE_RATE), "step {step}");
    }
    expect_that!(site.reversals(), eq(0));
}

/// Guards against orders that follow random changes of the demand.
#[gtest]
fn decide_noise() {
    // Linear congruential generator, so that each run is the same.
    let noise = |step: u32| {
        let mixed = step.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        f64::from(mixed.wrapping_mul(22_695_477) >> 16) / f64::from(u16::MAX)
    };
    let mut site = Site::new(8);
    site.run(600, |step| 5_600.0 + 1_200.0 * noise(step));
    expect_that!(site.orders.len(), le(2));
    expect_that!(site.reversals(), le(1));
}

fn flooded(rate: f64) -> Vec<TeamDemandRate> {
    let mut teams = demand(3_000.0);
    teams.push(TeamDemandRate { team: "flood".into(), here: rate, everywhere: rate });
    teams
}

/// Guards against a flood by one team that orders more than its fair share earns: 3,000 of the
/// 8,000 that the teams divide go to the others.
#[gtest]
fn decide_flood_of_one_team() {
    let mut site = Site::new(6);
    for _ in 0..60 {
        let change = |input: &mut ScalingInput| {
            input.demand = flooded(50_000.0);
            input.work_rate = Some(8_000.0);
        };
        site.step_with(change, 0.0);
    }
    expect_that!(site.desired_numbers(), eq(&vec![10]));
}

/// Guards against limiting all teams together to the stated work rate: each asks for less than an
/// equal part of what the maximum of engines does.
#[gtest]
fn decide_growth_of_all_teams() {
    let mut site = Site::new(6);
    for _ in 0..30 {
        site.step_with(|input| input.work_rate = Some(6_000.0), 12_000.0);
    }
    expect_that!(site.desired_numbers(), eq(&vec![15]));
}

/// Guards against ordering an engine besides the one that replaces a crashed engine.
#[gtest]
fn decide_crash() {
    let mut site = Site::new(4);
    site.run(30, |_| 6_000.0);
    expect_that!(site.desired_numbers(), eq(&vec![8]));
    site.ready -= 2;
    site.run(60, |_| 6_000.0);
    expect_that!(site.desired_numbers(), eq(&vec![8]));
}

/// Guards against an engine that the platform does not replace and nobody asks for, and against
/// asking for it more often than once in two boot times.
#[gtest]
fn decide_crash_not_replaced() {
    let mut site = Site::new(4);
    site.run(30, |_| 6_000.0);
    let crashed_at = site.step;
    for _ in 0..70 {
        site.step_with(|input| input.engines.ready = 7, 6_000.0);
    }
    let repeated: Vec<(u32, ScalingReason)> =
        site.orders[1..].iter().map(|(step, order)| (step - crashed_at, order.reason)).collect();
    expect_that!(repeated, eq(&vec![(35, ScalingReason::EnginesMissing)]));
    expect_that!(site.desired_numbers(), eq(&vec![8, 8]));
}

/// Guards against paying for engines of a data centre that is taken out, and against a return
/// without engines.
#[gtest]
fn decide_taken_out() {
    let mut site = Site::new(8);
    site.run(40, |_| 6_000.0);
    expect_that!(site.orders, is_empty());
    for _ in 0..20 {
        site.step_with(|input| input.is_taken_out = true, 0.0);
    }
    expect_that!(site.desired_numbers(), eq(&vec![2]));
    expect_that!(site.orders[0].1.reason, eq(ScalingReason::TakenOut));
    expect_that!(site.orders[0].0, le(51));
    let returned_at = site.step;
    site.run(10, |_| 6_000.0);
    expect_that!(site.desired_numbers(), eq(&vec![2, 8]));
    expect_that!(site.orders[1].0 - returned_at, le(2));
}

/// Guards against engines that are removed after a short absence, by the low demand of its end.
#[gtest]
fn decide_taken_out_shortly() {
    let mut site = Site::new(8);
    site.run(40, |_| 6_000.0);
    for _ in 0..5 {
        site.step_with(|input| input.is_taken_out = true, 0.0);
    }
    site.run(15, |_| 500.0);
    expect_that!(site.orders, is_empty());
}

/// Guards against orders by reports that are too old.
#[gtest]
fn decide_stale_reports() {
    let mut site = Site::new(8);
    site.run(30, |_| 6_000.0);
    for rate in [0.0, 16_000.0] {
        for _ in 0..60 {
            site.step_with(|input| input.age = Duration::from_millis(3_001), rate);
        }
    }
    // The demand before and after the gap is not one time of low demand.
    site.run(15, |_| 1_000.0);
    expect_that!(site.orders, is_empty());
}

/// Guards against removing engines by the demand of a part of the routers, and against waiting for
/// the others when that part needs more engines.
#[gtest]
fn decide_incomplete_reports() {
    let mut site = Site::new(8);
    for _ in 0..90 {
        site.step_with(|input| input.is_complete = false, 1_000.0);
    }
    expect_that!(site.orders, is_empty());
    site.step_with(|input| input.is_complete = false, 12_000.0);
    expect_that!(site.desired_numbers(), eq(&vec![15]));
}

/// Guards against removing engines because the last of many reports is complete.
#[gtest]
fn decide_complete_once() {
    let mut site = Site::new(8);
    for step in 0..120 {
        site.step_with(|input| input.is_complete = step % 15 == 14, 1_000.0);
    }
    expect_that!(site.orders, is_empty());
}

/// Guards against limits from another router that contradict each other.
#[gtest]
fn decode_limits_contradictory_refuses() {
    let decode = |minimum, maximum, boot_time| {
        let raw = RawScalingLimits { minimum, maximum, boot_time };
        let bytes = encode_message(&raw).expect("the limits can be encoded");
        decode_message::<ScalingLimits>(&bytes).ok()
    };
    let hour = Duration::from_secs(3_600);
    expect_that!(decode(1, 10_000, hour).map(ScalingLimits::maximum), some(eq(10_000)));
    expect_that!(decode(2, 1, hour), none());
    expect_that!(decode(0, 0, hour), none());
    expect_that!(decode(0, 10_001, hour), none());
    expect_that!(decode(0, 1, hour + Duration::from_nanos(1)), none());
}

/// Guards against a new holder that orders by what it does not know yet.
#[gtest]
fn decide_new_holder() {
    let mut site = Site::new(8);
    for _ in 0..60 {
        site.step_with(|input| input.engine_rate = None, 12_000.0);
    }
    expect_that!(site.orders, is_empty());
    let mut site = Site::new(8);
    site.run(20, |_| 0.0);
    expect_that!(site.orders, is_empty());
    site.run(10, |_| 0.0);
    expect_that!(site.desired_numbers().first(), some(eq(&6)));
}

/// Guards against a new holder that orders less than the one before it had ordered, while the
/// engines of that order are under way.
#[gtest]
fn decide_new_holder_during_boot() {
    let mut site = Site::new(4);
    site.run(10, |_| 6_000.0);
    site.scaler = EngineScaler::new(subject());
    site.run(18, |_| 6_000.0);
    expect_that!(site.desired_numbers(), eq(&vec![8, 8]));
    expect_that!(site.ready, eq(8));
}

/// Guards against a service without engines that never gets one.
#[gtest]
fn decide_first_engine() {
    let mut site = Site::new(0);
    for _ in 0..5 {
        let change = |input: &mut ScalingInput| {
            input.limits = limits(0, 20);
            input.engine_rate = None;
        };
        site.step_with(change, 700.0);
    }
    expect_that!(site.desired_numbers(), eq(&vec![1]));
}

/// Guards against orders that are lost because they were not accepted, and against a belief in one
/// that may not have been.
#[gtest]
fn decide_order_not_accepted() {
    let mut scaler = EngineScaler::new(subject());
    let start = Instant::now();
    let decide = |scaler: &mut EngineScaler, second: u64| {
        scaler.decide(&input(4, 6_000.0), start + Duration::from_secs(second))
    };
    let orders: Vec<Option<u32>> =
        (0..6).map(|second| decide(&mut scaler, second).map(|order| order.desired)).collect();
    expect_that!(orders, eq(&vec![None, None, Some(8), Some(8), Some(8), Some(8)]));
    let order = decide(&mut scaler, 6).expect("an order");
    scaler.record_accepted(&order, start + Duration::from_secs(6));
    expect_that!(decide(&mut scaler, 7), none());
    scaler.record_unconfirmed();
    expect_that!(decide(&mut scaler, 8).map(|order| order.desired), some(eq(8)));
}

/// Guards against orders beyond the limits.
#[gtest]
fn decide_within_limits() {
    let mut site = Site::new(8);
    site.run(30, |_| 1e15);
    site.run(400, |_| 0.0);
    expect_that!(site.desired_numbers().first(), some(eq(&20)));
    expect_that!(site.desired_numbers().last(), some(eq(&2)));
}

/// Engines that lack capacity as soon as half of their slots are used, and whose rate is measured.
struct MeasuredSite {
    site: Site,
    rate: EngineRate,
    /// Work that found no capacity.
    lacking: f64,
}

impl MeasuredSite {
    fn run(&mut self, steps: u32, demand: impl Fn(u32) -> f64) {
        const SAMPLES: u32 = 10;
        for _ in 0..steps {
            let asked = demand(self.site.step);
            let capacity = f64::from(self.site.ready) * ENGINE_RATE;
            let admitted = asked.min(capacity);
            // Calls run faster on engines with few of them.
            let load = admitted / capacity;
            let sample = EngineSample {
                ready: self.site.ready,
                admitted,
                lacking: asked - admitted,
                utilisation: 0.5 * load * (0.4 + 0.6 * load),
            };
            for index in 0..SAMPLES {
                self.rate.record(&sample, self.site.now + STEP / SAMPLES * index);
            }
            self.lacking += sample.lacking;
            let engine_rate = self.rate.get();
            self.site.step_with(|input| input.engine_rate = engine_rate, asked);
        }
    }
}

/// Guards against engines that are removed after each shortage until the next one.
#[gtest]
fn decide_measured_rate() {
    let mut measured =
        MeasuredSite { site: Site::new(5), rate: EngineRate::default(), lacking: 0.0 };
    measured.run(120, |_| 7_000.0);
    measured.lacking = 0.0;
    measured.run(900, |_| 7_000.0);
    expect_that!(measured.lacking, eq(0.0));
    expect_that!(measured.site.reversals(), le(1), "{:?}", measured.site.orders);
    expect_that!(measured.site.billed.last(), some(all!(ge(&8), le(&12))));
}

/// Guards against a measured rate with which orders follow a wave too late or not at all.
#[gtest]
fn decide_measured_rate_wave() {
    const PERIOD: u32 = 240;
    let wave = |step: u32| {
        let phase = f64::from(step) / f64::from(PERIOD) * std::f64::consts::TAU;
        6_000.0 + 3_000.0 * phase.sin()
    };
    let mut measured =
        MeasuredSite { site: Site::new(8), rate: EngineRate::default(), lacking: 0.0 };
    measured.run(PERIOD, wave);
    measured.lacking = 0.0;
    measured.run(PERIOD * 4, wave);
    let asked: f64 = (PERIOD..PERIOD * 5).map(wave).sum();
    expect_that!(measured.lacking / asked, le(0.002));
    expect_that!(measured.site.reversals(), le(12), "{:?}", measured.site.orders);
    expect_that!(measured.site.billed.iter().max(), some(le(&16)));
}
