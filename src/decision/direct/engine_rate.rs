//! Estimate of the work that one engine of a service does per second.

use std::time::{Duration, Instant};

/// Time constant of the moving average while the engines are fully used.
const AVERAGE_TIME: Duration = Duration::from_secs(5);

/// Measured time, weighted by the utilisation, before which the estimate is not used.
const MIN_MEASURED_TIME: Duration = Duration::from_millis(500);

/// Longest time that one sample stands for.
const MAX_SAMPLE_TIME: Duration = Duration::from_millis(500);

/// Lowest utilisation at which the rate can be measured.
const MIN_UTILISATION: f64 = 0.02;

/// Part of the rate that a sample at low utilisation suggests, which an engine is expected to reach
/// at full use. Calls run faster on an engine with few of them, so such a sample is too high.
const LOW_UTILISATION_FACTOR: f64 = 0.5;

/// Work without capacity, relative to the admitted work, from which on the engines count as fully
/// used.
const SHORTAGE_RATIO: f64 = 0.05;

/// Time constant with which the utilisation at which engines lack capacity is learned.
const SHORTAGE_TIME: Duration = Duration::from_secs(2);

/// Time constant with which it is forgotten, so that a shortage of another cause does not count for
/// ever.
const SHORTAGE_MEMORY: Duration = Duration::from_secs(600);

/// Lowest utilisation at which engines are believed to lack capacity. It bounds how many engines
/// too many a shortage of another cause can order.
const MIN_FULL_UTILISATION: f64 = 0.25;

/// State of all engines of a service at an instant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSample {
    /// Engines that take full load.
    pub ready: u32,
    /// Work that these engines were sent, in tokens per second.
    pub admitted: f64,
    /// Work for which they had no capacity, of teams within their fair share, in tokens per second.
    pub lacking: f64,
    /// Calls in progress, relative to those that they may run.
    pub utilisation: f64,
}

impl EngineSample {
    fn is_short(&self) -> bool {
        self.lacking > self.admitted * SHORTAGE_RATIO
    }
}

/// Moving average of the work that one engine does per second when it is fully used.
///
/// Engines may lack capacity while slots are free, for instance when they read long prompts. The
/// utilisation at which they did is taken for full use afterwards, too. Else the estimate would
/// rise after each shortage, engines would be removed, and the shortage would return.
#[derive(Clone, Copy, Debug)]
pub struct EngineRate {
    rate: f64,
    measured: Duration,
    last: Option<Instant>,
    /// Utilisation at which the engines are fully used.
    full_utilisation: f64,
}

impl Default for EngineRate {
    fn default() -> Self {
        Self { rate: 0.0, measured: Duration::ZERO, last: None, full_utilisation: 1.0 }
    }
}

impl EngineRate {
    /// Returns the estimate, in tokens per second; `None` before enough was measured.
    pub fn get(&self) -> Option<f64> {
        (self.measured >= MIN_MEASURED_TIME).then_some(self.rate)
    }

    /// Adds a sample. The fuller the engines, the more it counts.
    pub fn record(&mut self, sample: &EngineSample, now: Instant) {
        let Some(last) = self.last.replace(now) else { return };
        let passed = now.saturating_duration_since(last).min(MAX_SAMPLE_TIME);
        if sample.ready == 0 || sample.admitted <= 0.0 {
            return;
        }
        self.learn_full_utilisation(sample, passed);
        let usage = self.usage(sample);
        if usage < MIN_UTILISATION {
            return;
        }
        let factor = LOW_UTILISATION_FACTOR + (1.0 - LOW_UTILISATION_FACTOR) * usage;
        let rate = sample.admitted / (f64::from(sample.ready) * usage) * factor;
        let time = passed.mul_f64(usage);
        self.measured += time;
        // Until as much was measured as the average covers, it is the mean of all samples.
        let covered = self.measured.min(AVERAGE_TIME).as_secs_f64();
        let weight = time.as_secs_f64() / covered.max(f64::EPSILON);
        self.rate += weight.min(1.0) * (rate - self.rate);
    }

    fn learn_full_utilisation(&mut self, sample: &EngineSample, passed: Duration) {
        let utilisation = sample.utilisation.clamp(MIN_FULL_UTILISATION, 1.0);
        let (target, time) =
            if sample.is_short() { (utilisation, SHORTAGE_TIME) } else { (1.0, SHORTAGE_MEMORY) };
        let weight = 1.0 - (-passed.as_secs_f64() / time.as_secs_f64()).exp();
        self.full_utilisation += weight * (target - self.full_utilisation);
        if !sample.is_short() {
            self.full_utilisation = self.full_utilisation.max(utilisation);
        }
    }

    /// Returns how far the engines are used, from 0 to 1.
    fn usage(&self, sample: &EngineSample) -> f64 {
        if sample.is_short() {
            return 1.0;
        }
        (sample.utilisation / self.full_utilisation).clamp(0.0, 1.0)
    }
}
