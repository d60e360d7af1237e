//! Share of the calls of one service that leave this router's data centre.
//!
//! Traffic between data centres takes longer and costs money, so calls stay while the engines of
//! the data centre start them in time with room to spare. When these are too few for a while, a share
//! of the calls leaves. Each router adjusts it by itself, in steps: if all of them moved their calls
//! at once to where the reports show room, they would fill it, and move back. Single calls that find
//! no room inside in between are decided one by one (`zone_candidates.rs`).

use std::time::{Duration, Instant};

/// Time that a call loses on its way to another data centre and back.
pub(super) const LINK_TIME: Duration = Duration::from_millis(6);

/// Wait that a call accepts inside rather than to pay for its bytes between data centres.
pub(super) const BYTES_MARGIN: Duration = Duration::from_millis(14);

/// Fraction of the objective within which first events are expected while there is room to spare.
const ROOM_FRACTION: f64 = 0.45;

/// Largest share of calls that leave by choice.
const MAX_SHARE: f64 = 0.8;

/// Largest change of the share per second, upwards and downwards. It falls more slowly, as the
/// engines inside have just been too few.
const MAX_RISE: f64 = 0.2;
const MAX_FALL: f64 = 0.1;

/// Relative distance from the aimed wait at which the share changes fastest.
const FULL_ERROR: f64 = 0.5;

/// Longest time for which one adjustment counts, so that a pause of the process is no large step.
const MAX_INTERVAL: Duration = Duration::from_millis(500);

/// Time after the last statement of a slowdown for which the choice stays in effect.
const STATEMENT_MEMORY: Duration = Duration::from_secs(10);

/// Weight of a call in the averages of what calls need.
const CALL_WEIGHT: f64 = 0.05;

/// Mean expected waits at the engines of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneWaits {
    /// At engines of the router's data centre; `None` without usable ones.
    pub inside: Option<Duration>,
    /// At engines of other data centres; `None` without usable ones.
    pub outside: Option<Duration>,
}

/// What an average call of the service needs.
#[derive(Clone, Copy, Debug)]
struct AverageCall {
    uncached: f64,
    objective: f64,
}

/// Share of the calls of one service that leave the data centre of a router.
#[derive(Clone, Copy, Debug, Default)]
pub struct ZoneShare {
    share: f64,
    average: Option<AverageCall>,
    waits: ZoneWaits,
    stated_at: Option<Instant>,
    adjusted_at: Option<Instant>,
}

impl ZoneShare {
    /// Records that an engine of the service states its slowdown, which puts the choice in effect.
    pub fn record_statement(&mut self, now: Instant) {
        self.stated_at = Some(now);
    }

    /// Returns whether calls prefer the router's data centre.
    pub fn is_active(&self, now: Instant) -> bool {
        self.stated_at.is_some_and(|at| now.saturating_duration_since(at) < STATEMENT_MEMORY)
    }

    /// Returns the share of calls that leave, from 0 to 1.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Returns the waits by which the share was last adjusted.
    pub fn waits(&self) -> ZoneWaits {
        self.waits
    }

    /// Records a call that was sent: the prompt tokens that its engine had to read, and the time
    /// within which its first event is due.
    pub fn record_call(&mut self, uncached: u64, objective: Duration) {
        let call = AverageCall { uncached: uncached as f64, objective: objective.as_secs_f64() };
        let average = self.average.get_or_insert(call);
        average.uncached += CALL_WEIGHT * (call.uncached - average.uncached);
        average.objective += CALL_WEIGHT * (call.objective - average.objective);
    }

    /// Returns the prompt tokens that an average call makes its engine read.
    pub fn average_uncached(&self) -> u64 {
        self.average.map_or(0, |average| average.uncached as u64)
    }

    /// Moves the share by one step, by the waits of an average call.
    pub fn adjust(&mut self, waits: ZoneWaits, now: Instant) {
        self.waits = waits;
        let passed = self.adjusted_at.replace(now).map(|last| now.saturating_duration_since(last));
        let (Some(passed), Some(average)) = (passed, self.average) else { return };
        let seconds = passed.min(MAX_INTERVAL).as_secs_f64();
        let error = wait_error(waits, average.objective);
        let rate = if error > 0.0 { MAX_RISE } else { MAX_FALL };
        self.share = (self.share + rate * error * seconds).clamp(0.0, MAX_SHARE);
    }

    /// Returns whether a call leaves; `draw` is evenly distributed over calls.
    pub fn leaves(&self, draw: u64) -> bool {
        (draw as f64) < self.share * u64::MAX as f64
    }
}

/// Returns the distance of the wait inside from the wait at which calls begin to leave, from -1 to
/// 1; it is positive only if the wait outside is shorter by what leaving costs.
fn wait_error(waits: ZoneWaits, objective: f64) -> f64 {
    // Calls without engines inside leave in any case, and those without engines outside stay.
    let (Some(inside), Some(outside)) = (waits.inside, waits.outside) else { return -1.0 };
    let aimed = ROOM_FRACTION * objective;
    let cheapest = (outside + LINK_TIME + BYTES_MARGIN).as_secs_f64();
    let least = aimed.max(cheapest).max(f64::EPSILON);
    ((inside.as_secs_f64() / least - 1.0) / FULL_ERROR).clamp(-1.0, 1.0)
}
