//! Whether a router keeps up with its callers, and how many calls it takes meanwhile.

use std::time::{Duration, Instant};

/// Processor time that a call takes with its answer, on one core of the machines' reference speed.
/// `docs/CAPACITY.md` has the figures behind it.
const CALL_TIME: Duration = Duration::from_micros(400);

/// Part of it that a call takes when it is refused at once.
const REFUSAL_TIME: Duration = Duration::from_micros(100);

/// Time for which calls may arrive together above the rate that the processor bears.
const BURST_TIME: Duration = Duration::from_millis(250);

/// Calls that any router takes at once, however small.
const LEAST_BURST: f64 = 8.0;

/// Lateness of the process's own timers, averaged, at which it no longer keeps up. A processor
/// quota alone makes single timers up to a tenth of a second late.
const LATE_LIMIT: Duration = Duration::from_millis(120);

/// The same while calls arrive faster than the processor bears, which tells a shortage that grows
/// from the pauses of a quota.
const DEMAND_LATE_LIMIT: Duration = Duration::from_millis(15);

/// Lateness at which it keeps up again.
const PROMPT_LIMIT: Duration = Duration::from_millis(30);

/// Weight of a new look in the averages.
const LOOK_WEIGHT: f64 = 0.3;

/// Part of the connections in use at which the router sends callers away, and at which it takes
/// them again.
const FULL_PART: f64 = 0.75;
const ROOMY_PART: f64 = 0.5;

/// Part of the rate that the processor bears at which the router sends callers away, and at which
/// it takes them again.
const BUSY_PART: f64 = 1.0;
const EASY_PART: f64 = 0.6;

/// Shortest and longest time in which callers are sent away. It doubles when they come back at
/// once: the balancer then gives the router more callers than it bears, and goes on doing so.
const SHORTEST_RELIEF: Duration = Duration::from_secs(2);
const LONGEST_RELIEF: Duration = Duration::from_secs(16);

/// Time after a relief within which another one counts as the same trouble.
const RELAPSE_TIME: Duration = Duration::from_secs(10);

/// Calls a second that a part of a processor core bears.
fn bearable_rate(processor_share: f64) -> f64 {
    processor_share / CALL_TIME.as_secs_f64()
}

/// Paces the calls that a router takes to what its processor bears.
///
/// A bucket of processor time, in seconds: a call that finds too little is refused at once, so
/// that its caller can try another router while there is time. Refusals take their time, too.
#[derive(Debug)]
pub struct CallPace {
    share: f64,
    burst: f64,
    left: f64,
    filled: Instant,
}

impl CallPace {
    /// Creates a pace for a router with a part of a processor core.
    pub fn new(processor_share: f64, now: Instant) -> Self {
        let least = LEAST_BURST * CALL_TIME.as_secs_f64();
        let burst = (processor_share * BURST_TIME.as_secs_f64()).max(least);
        Self { share: processor_share, burst, left: burst, filled: now }
    }

    /// Takes a call, unless it is above what the processor bears.
    pub fn try_take(&mut self, now: Instant) -> bool {
        let has_room = self.has_room(now);
        let cost = if has_room { CALL_TIME } else { REFUSAL_TIME };
        self.left = (self.left - cost.as_secs_f64()).max(0.0);
        has_room
    }

    /// Returns whether there is time for another call.
    pub fn has_room(&mut self, now: Instant) -> bool {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.left = (self.left + passed * self.share).min(self.burst);
        self.filled = now;
        self.left >= CALL_TIME.as_secs_f64()
    }
}

/// What was seen of the process since the last look.
#[derive(Clone, Copy, Debug)]
pub struct PressureLook {
    /// Lateness of the look itself.
    pub lateness: Duration,
    /// Part of the connections in use.
    pub connections_used: f64,
    /// Calls that arrived.
    pub calls: u64,
    /// Time since the last look.
    pub interval: Duration,
}

/// Decides when a router sends its callers away.
#[derive(Debug)]
pub struct PressureRule {
    bearable: f64,
    lateness: f64,
    demand: f64,
    pressed: bool,
    since: Instant,
    relief: Duration,
}

impl PressureRule {
    /// Starts without pressure.
    pub fn new(processor_share: f64, now: Instant) -> Self {
        Self {
            bearable: bearable_rate(processor_share),
            lateness: 0.0,
            demand: 0.0,
            pressed: false,
            since: now,
            relief: SHORTEST_RELIEF,
        }
    }

    /// Averaged lateness of the process's timers.
    pub fn lateness(&self) -> Duration {
        Duration::from_secs_f64(self.lateness)
    }

    /// Calls a second, averaged, as a part of what the processor bears.
    pub fn demand(&self) -> f64 {
        self.demand
    }

    /// Whether calls above the rate that the processor bears are to be refused.
    pub fn is_strained(&self) -> bool {
        self.demand > EASY_PART && self.lateness > DEMAND_LATE_LIMIT.as_secs_f64()
    }

    /// Takes a look in; returns whether callers are to be sent away when that changes.
    pub fn look(&mut self, look: PressureLook, now: Instant) -> Option<bool> {
        let rate = look.calls as f64 / look.interval.as_secs_f64().max(f64::EPSILON);
        self.lateness += LOOK_WEIGHT * (look.lateness.as_secs_f64() - self.lateness);
        self.demand += LOOK_WEIGHT * (rate / self.bearable.max(f64::EPSILON) - self.demand);
        let held = now.saturating_duration_since(self.since);
        if self.pressed {
            let eased = self.lateness < PROMPT_LIMIT.as_secs_f64()
                && look.connections_used < ROOMY_PART
                && self.demand < EASY_PART;
            if !eased || held < self.relief {
                return None;
            }
        } else {
            let overloaded = self.lateness > LATE_LIMIT.as_secs_f64()
                || look.connections_used > FULL_PART
                || (self.demand > BUSY_PART && self.is_strained());
            if !overloaded {
                return None;
            }
            self.relief = if held < RELAPSE_TIME {
                (self.relief * 2).min(LONGEST_RELIEF)
            } else {
                SHORTEST_RELIEF
            };
        }
        self.pressed = !self.pressed;
        self.since = now;
        Some(self.pressed)
    }
}
