//! Tests of burn rates: windows, alert states and error budgets.

use std::time::{Duration, Instant};

use godwitcrank::decision::burn_rate::{
    BurnState, BurnWindows, EventCount, HISTORY_BUCKETS, WindowCounts, classify_burn,
};
use googletest::prelude::*;

/// Target of the latency objectives: 95%.
const TARGET: f64 = 0.95;

fn count(good: u64, total: u64) -> EventCount {
    EventCount { good, total }
}

fn minutes(count: u64) -> Duration {
    Duration::from_secs(count * 60)
}

/// Guards against a burn rate that is not relative to the error budget, and against division by
/// zero.
#[gtest]
fn burn_rate_known_shares() {
    let cases = [
        (count(0, 0), 0.0, 1.0),
        (count(100, 100), 0.0, 1.0),
        (count(95, 100), 1.0, 0.0),
        (count(90, 100), 2.0, -1.0),
        (count(0, 100), 20.0, -19.0),
    ];
    for (events, rate, left) in cases {
        expect_that!(events.burn_rate(TARGET), near(rate, 1e-9), "{events:?}");
        expect_that!(events.budget_left(TARGET), near(left, 1e-9), "{events:?}");
    }
}

/// Guards against alerts for an incident that has ended, for a very short one and for too few
/// events.
#[gtest]
fn classify_burn_window_pairs() {
    let bad = count(0, 1000);
    let good = count(1000, 1000);
    let slow = count(600, 1000);
    let windows = |five_minutes, half_hour, hour, six_hours| WindowCounts {
        five_minutes,
        half_hour,
        hour,
        six_hours,
    };
    let cases = [
        ("all bad", windows(bad, bad, bad, bad), BurnState::FastBurn),
        ("incident is over", windows(good, good, bad, bad), BurnState::Normal),
        ("short incident", windows(bad, good, good, good), BurnState::Normal),
        ("slow for hours", windows(slow, slow, slow, slow), BurnState::SlowBurn),
        ("slow but ended", windows(good, good, slow, slow), BurnState::Normal),
        (
            "few events",
            windows(count(0, 2), count(0, 2), count(0, 2), count(0, 2)),
            BurnState::Normal,
        ),
        ("no events", WindowCounts::default(), BurnState::Normal),
    ];
    for (case, windows, state) in cases {
        expect_that!(classify_burn(&windows, TARGET), eq(state), "{case}");
    }
}

/// Guards against events that are counted for longer or shorter than the length of the window.
#[gtest]
fn windows_events_expire() {
    let origin = Instant::now();
    let mut windows = BurnWindows::new(origin);
    windows.add(count(0, 100), origin);
    // Minutes later, and events in 5 min, 30 min, 1 h and 6 h. Buckets of 30 s and 5 min round up.
    let cases = [
        (4, [100, 100, 100, 100]),
        (6, [0, 100, 100, 100]),
        (29, [0, 100, 100, 100]),
        (31, [0, 0, 100, 100]),
        (54, [0, 0, 100, 100]),
        (61, [0, 0, 0, 100]),
        (354, [0, 0, 0, 100]),
        (361, [0, 0, 0, 0]),
    ];
    for (later, totals) in cases {
        let counts = windows.windows(origin + minutes(later));
        let seen = [counts.five_minutes, counts.half_hour, counts.hour, counts.six_hours];
        expect_that!(seen.map(|count| count.total), eq(totals), "after {later} minutes");
    }
}

/// Guards against memory that grows over time, and against a history in the wrong order.
#[gtest]
fn history_long_run() {
    let origin = Instant::now();
    let mut windows = BurnWindows::new(origin);
    for minute in 0..3000 {
        windows.add(count(minute, minute), origin + minutes(minute));
    }
    let now = origin + minutes(2999);
    let history = windows.history(now);
    assert_that!(history, len(eq(HISTORY_BUCKETS)));
    expect_that!(history[0].total, eq((2995..3000).sum::<u64>()));
    expect_that!(history[1].total, eq((2990..2995).sum::<u64>()));
    let later = windows.history(now + minutes(10));
    expect_that!(later[..2], each(eq(&EventCount::default())));
    expect_that!(later[2], eq(history[0]));
}
