//! Load of the target during the trial of a version move.
//!
//! Some versions fail only under load. A small share of the calls, spread over all upstreams of the
//! target, would show that only after all calls have moved. So the trial uses just as many upstreams
//! as the share can load, and its calls come in pulses during which each of these upstreams bears
//! what it will bear after the move.

/// Share of the service's calls that the target gets on average.
const TRIAL_SHARE: f64 = 0.05;

/// Largest share in a pulse, so that a bad version of few upstreams fails a limited part of the
/// calls.
const MAX_PULSE_SHARE: f64 = 0.34;

/// Fraction of the move's duration before the first pulse. The share is constant until then, so that
/// a version that fails at any load never gets a pulse.
const FIRST_PULSE: f64 = 0.15;

/// Time from the start of one pulse to that of the next, as a fraction of the move's duration.
const PULSE_PERIOD: f64 = 0.2;

/// Calls that the target gets at some moment of the trial.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrialLoad {
    /// Share of the service's calls.
    pub share: f64,
    /// Number of the target's upstreams that get them.
    pub upstreams: usize,
}

impl TrialLoad {
    /// Returns the load after a fraction of the move's duration, when the target has so many usable
    /// upstreams.
    pub fn at(elapsed_fraction: f64, usable: usize) -> Self {
        let usable_count = usable.max(1) as f64;
        let upstreams = (TRIAL_SHARE * usable_count).ceil();
        let full_share = (upstreams / usable_count).min(MAX_PULSE_SHARE);
        let share = if elapsed_fraction < FIRST_PULSE {
            TRIAL_SHARE
        } else {
            let phase = ((elapsed_fraction - FIRST_PULSE) / PULSE_PERIOD).fract();
            let is_pulse = phase < TRIAL_SHARE / full_share;
            if is_pulse { full_share } else { 0.0 }
        };
        Self { share, upstreams: upstreams as usize }
    }
}
