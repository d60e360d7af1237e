//! Load tool: results that are computed from samples.

use std::time::Duration;

use godwitcrank_standin::bench::{ServiceSample, ServiceSeries};
use googletest::prelude::*;
use indexmap::IndexMap;
use serde_json::json;

/// Builds samples of two teams at intervals of a second; each pair is their cumulative service.
fn series(service: &[(f64, f64)]) -> ServiceSeries {
    let mut series = ServiceSeries::default();
    for (second, (first, second_team)) in service.iter().enumerate() {
        let counters = json!({
            "busy-slot-ms": 500 * second,
            "by-team": {
                "a": { "prompt-tokens": 100, "completion-tokens": first },
                "b": { "slot-ms": second_team },
            },
        });
        let at = Duration::from_secs(second as u64);
        series.push(ServiceSample::from_counters(at, &[counters]));
    }
    series
}

fn shares(first: f64, second: f64) -> IndexMap<String, f64> {
    [("a".to_owned(), first), ("b".to_owned(), second)].into()
}

/// Guards against gaps that ignore shares or include service before the first sample.
#[gtest]
fn gaps_unequal_shares() {
    let series = series(&[(0.0, 50.0), (10.0, 70.0), (20.0, 70.0)]);
    let gaps: Vec<f64> = series.gaps(&shares(1.0, 2.0)).into_iter().map(|(_, gap)| gap).collect();
    expect_that!(gaps, elements_are![eq(&0.0), eq(&0.0), eq(&10.0)]);
    expect_that!(series.service("a"), eq(20.0));
    expect_that!(series.utilisation(1), eq(0.5));
}

/// Guards against a portion averaged over the whole run, which hides a short starvation.
#[gtest]
fn lowest_portion_short_starvation() {
    let series = series(&[(0.0, 0.0), (10.0, 10.0), (30.0, 10.0), (30.0, 30.0)]);
    let shares = shares(1.0, 1.0);
    expect_that!(series.lowest_portion(&shares, Duration::from_secs(3)), some(eq(1.0)));
    expect_that!(series.lowest_portion(&shares, Duration::from_secs(1)), some(eq(0.0)));
    expect_that!(series.lowest_portion(&shares, Duration::from_secs(4)), none());
}
