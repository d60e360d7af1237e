//! Rate at which an engine reads prompts, learned from the first events of its answers.
//!
//! Engines of one service differ in speed, so each has its own rate. An engine that is slower than
//! assumed makes calls late, and one that is faster costs some capacity for a while. So what is
//! assumed falls fast and rises slowly: raising it at the first measurements too let a flood fill
//! the engines before the fair level was known (`fair_margin::margin_medium_team_beside_flood`).

use std::sync::Arc;

use indexmap::IndexMap;

use super::dispatcher::DirectDispatcher;
use crate::ids::ServiceId;

/// Prompt tokens that an engine reads per millisecond, before any engine of its service is measured.
const INITIAL_READ_RATE: f64 = 70.0;

/// Range of a measured rate, in tokens per millisecond.
const READ_RATE_RANGE: (f64, f64) = (12.0, 130.0);

/// Least weight of a new measurement in the moving average of the rate.
const MIN_MEASUREMENT_WEIGHT: f64 = 0.08;

/// Number of measurements that the initial rate counts for.
const INITIAL_RATE_MEASUREMENTS: f64 = 2.0;

/// Largest number of measurements by which an engine counts in the mean of its service.
const MAX_COUNTED_MEASUREMENTS: u32 = 10;

/// Rate of one engine, as one router measures it.
#[derive(Clone, Copy, Debug)]
pub struct ReadRate {
    tokens_per_ms: f64,
    measurements: u32,
}

impl Default for ReadRate {
    fn default() -> Self {
        Self { tokens_per_ms: INITIAL_READ_RATE, measurements: 0 }
    }
}

impl ReadRate {
    /// Returns the rate in tokens per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Returns whether the rate was measured.
    pub fn is_measured(&self) -> bool {
        self.measurements > 0
    }

    /// Sets the rate that is assumed until the first measurement, unless it is higher than without
    /// any knowledge.
    pub fn assume(&mut self, tokens_per_ms: f64) {
        if !self.is_measured() {
            self.tokens_per_ms = tokens_per_ms.min(INITIAL_READ_RATE);
        }
    }

    /// Adds a measurement in tokens per millisecond. Among the first ones, those of a slower engine
    /// than assumed weigh as much as each one before.
    pub fn record(&mut self, measured: f64) {
        let measured = measured.clamp(READ_RATE_RANGE.0, READ_RATE_RANGE.1);
        self.measurements = self.measurements.saturating_add(1);
        let count = f64::from(self.measurements) + INITIAL_RATE_MEASUREMENTS;
        let is_slower = measured < self.tokens_per_ms;
        let first_weight = if is_slower { 1.0 / count } else { 0.0 };
        let weight = MIN_MEASUREMENT_WEIGHT.max(first_weight);
        self.tokens_per_ms += weight * (measured - self.tokens_per_ms);
    }
}

/// Mean rate of the measured engines of one service.
#[derive(Clone, Copy, Debug, Default)]
struct MeanRate {
    sum: f64,
    weight: f64,
}

impl MeanRate {
    fn add(&mut self, rate: &ReadRate) {
        let weight = f64::from(rate.measurements.min(MAX_COUNTED_MEASUREMENTS));
        self.sum += weight * rate.tokens_per_ms;
        self.weight += weight;
    }
}

impl DirectDispatcher {
    /// Sets the rate of engines without measurements to the mean of the measured ones of the same
    /// service.
    pub(super) fn assume_unmeasured_rates(&mut self) {
        if self.upstreams.values().all(|load| load.read_rate.is_measured()) {
            return;
        }
        let mut means: IndexMap<ServiceId, MeanRate> = IndexMap::new();
        for load in self.upstreams.values().filter(|load| load.read_rate.is_measured()) {
            means.entry(Arc::clone(&load.entry.service)).or_default().add(&load.read_rate);
        }
        if means.is_empty() {
            return;
        }
        for load in self.upstreams.values_mut() {
            if let Some(mean) = means.get(&load.entry.service) {
                load.read_rate.assume(mean.sum / mean.weight);
            }
        }
    }
}
