//! Decides how many engines a service has in a data centre.
//!
//! [`EngineScaler`] decides for one service in one data centre. It is created when its router
//! becomes the holder of that duty and dropped when the router no longer is, so a new holder starts
//! without history. Nothing here knows how an order is sent.

use std::time::{Duration, Instant};

use derive_more::Display;

use super::demand_history::{DemandTrend, SlidingMaximum};
use super::fair_cap::FairCap;
use crate::ids::{DataCentreId, ServiceId, TeamId};
use crate::routing::ScalingLimits;

/// Age of the reports beyond which an input changes nothing.
const MAX_INPUT_AGE: Duration = Duration::from_secs(3);

/// Longest time between two usable inputs. After a longer one the scaler observes anew.
const MAX_INPUT_GAP: Duration = Duration::from_secs(5);

/// Time for which a new holder observes the demand before its first order.
const FIRST_OBSERVATION: Duration = Duration::from_secs(2);

/// Range of the time for which the demand must have been low before engines are removed. Within
/// it, the time is the boot time: an engine that is removed too early is missing for that long.
const LOW_TIME: (Duration, Duration) = (Duration::from_secs(20), Duration::from_secs(120));

/// Time from an accepted order to the next one that removes engines.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(10);

/// Part of the engines that one order removes at most; at least one engine may be removed.
const REMOVAL_DIVISOR: u32 = 4;

/// Time for which a data centre must have been seen as taken out before its minimum is ordered.
const TAKEN_OUT_OBSERVATION: Duration = Duration::from_secs(10);

/// Fraction of the engines' capacity that the demand may use when engines are added.
const TARGET_UTILISATION: f64 = 0.8;

/// The same when engines are removed. It is lower, so that an order to remove engines is not
/// followed by one to add them.
const REMOVAL_UTILISATION: f64 = 0.7;

/// Largest growth of the demand that is foreseen, as a factor.
const MAX_FORECAST_FACTOR: f64 = 2.0;

/// Time for which engines must be missing before an order is repeated: this many boot times and
/// a fixed time besides.
const REPLACEMENT_BOOT_TIMES: u32 = 2;
const REPLACEMENT_MARGIN: Duration = Duration::from_secs(5);

/// A service in a data centre.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash)]
#[display("{service} in {data_centre}")]
pub struct ScalingSubject {
    /// The service.
    pub service: ServiceId,
    /// The data centre.
    pub data_centre: DataCentreId,
}

/// Engines of a service in a data centre, by state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineCounts {
    /// Engines that take full load.
    pub ready: u32,
    /// Engines that have started lately and bear less than their full load.
    pub cold: u32,
    /// Engines that were announced and do not serve yet.
    pub starting: u32,
    /// Engines that have announced their shutdown.
    pub leaving: u32,
}

impl EngineCounts {
    /// Returns the engines that serve calls and go on doing so.
    pub fn serving(self) -> u32 {
        self.ready.saturating_add(self.cold)
    }

    fn present(self) -> u32 {
        self.serving().saturating_add(self.starting)
    }
}

/// Work per second that a team asks of a service, in tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamDemandRate {
    /// The team.
    pub team: TeamId,
    /// Its demand in this data centre: calls that were admitted, that wait, or that were refused
    /// for lack of capacity.
    pub here: f64,
    /// Its demand in all data centres.
    pub everywhere: f64,
}

/// What is known of a service in a data centre at a point in time.
#[derive(Clone, Debug)]
pub struct ScalingInput {
    /// Limits on the number of engines.
    pub limits: ScalingLimits,
    /// Engines that are present.
    pub engines: EngineCounts,
    /// Demand by team.
    pub demand: Vec<TeamDemandRate>,
    /// Work that one engine does per second, in tokens; `None` before it is known.
    pub engine_rate: Option<f64>,
    /// Work that all engines of the service are stated to do per second, which the teams divide.
    pub work_rate: Option<f64>,
    /// Number of data centres in service that have engines of the service.
    pub data_centres: u32,
    /// Age of the oldest report that the demand is based on.
    pub age: Duration,
    /// Whether all routers' demand is included. If not, the demand may be higher than stated.
    pub is_complete: bool,
    /// Whether the data centre is taken out of service.
    pub is_taken_out: bool,
}

impl ScalingInput {
    /// Returns the work per second that the service owes its teams here: a team's demand counts up
    /// to its cap.
    fn owed_rate(&self) -> f64 {
        let totals: Vec<f64> = self.demand.iter().map(|demand| demand.everywhere).collect();
        let engines = f64::from(self.limits.maximum()) * f64::from(self.data_centres.max(1));
        let maximum_rate = self.engine_rate.map(|rate| rate * engines);
        let cap = FairCap::new(&totals, self.work_rate, maximum_rate);
        self.demand.iter().map(|team| team.here * cap.owed_fraction(team.everywhere)).sum()
    }

    fn clamp(&self, engines: u32) -> u32 {
        engines.clamp(self.limits.minimum(), self.limits.maximum())
    }
}

/// Why a number of engines is ordered.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum ScalingReason {
    /// The demand is more than the ordered engines can do.
    #[display("demand-high")]
    DemandHigh,
    /// The demand has been lower than the ordered engines can do.
    #[display("demand-low")]
    DemandLow,
    /// The data centre is taken out of service.
    #[display("taken-out")]
    TakenOut,
    /// Engines have been missing for longer than a boot takes. The number is the one that was
    /// ordered before.
    #[display("engines-missing")]
    EnginesMissing,
}

/// Order of a number of engines.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("{subject}: {desired} engines ({reason})")]
pub struct ScalingOrder {
    /// Service and data centre.
    pub subject: ScalingSubject,
    /// Number of engines.
    pub desired: u32,
    /// Why.
    pub reason: ScalingReason,
}

/// Last order that was accepted.
#[derive(Clone, Copy, Debug)]
struct AcceptedOrder {
    desired: u32,
    at: Instant,
}

/// Decides the number of engines of one service in one data centre.
#[derive(Debug)]
pub struct EngineScaler {
    subject: ScalingSubject,
    accepted: Option<AcceptedOrder>,
    /// Since when usable inputs have come without a gap.
    observed_since: Option<Instant>,
    last_input: Option<Instant>,
    /// Whether the data centre was taken out by the last input.
    is_taken_out: bool,
    trend: DemandTrend,
    /// Engines that the demand needed, by the lower utilisation.
    needs: SlidingMaximum,
    /// Since when fewer engines have been present than were ordered.
    short_since: Option<Instant>,
}

impl EngineScaler {
    /// Creates the scaler of a new holder of the duty.
    pub fn new(subject: ScalingSubject) -> Self {
        Self {
            subject,
            accepted: None,
            observed_since: None,
            last_input: None,
            is_taken_out: false,
            trend: DemandTrend::default(),
            needs: SlidingMaximum::default(),
            short_since: None,
        }
    }

    /// Returns the number of engines of the last accepted order.
    pub fn accepted(&self) -> Option<u32> {
        self.accepted.map(|order| order.desired)
    }

    /// Decides by an input, which should come about once a second. The same order is returned until
    /// it is recorded as accepted, or until another one is due.
    pub fn decide(&mut self, input: &ScalingInput, now: Instant) -> Option<ScalingOrder> {
        if input.age > MAX_INPUT_AGE {
            return None;
        }
        self.observe(input, now);
        let observed = now.saturating_duration_since(self.observed_since?);
        if input.is_taken_out {
            return self.order_minimum(input, observed);
        }
        if observed < FIRST_OBSERVATION {
            return None;
        }
        let (desired, reason) = self
            .additional_engines(input)
            .or_else(|| self.fewer_engines(input, observed, now))
            .or_else(|| self.missing_engines(input, now))?;
        Some(self.order(desired, reason))
    }

    /// Records that an order was accepted.
    pub fn record_accepted(&mut self, order: &ScalingOrder, now: Instant) {
        self.accepted = Some(AcceptedOrder { desired: order.desired, at: now });
        self.short_since = None;
    }

    /// Records that nobody knows whether an order was accepted. Until the next one is, the engines
    /// that serve count as ordered.
    pub fn record_unconfirmed(&mut self) {
        self.accepted = None;
        self.short_since = None;
    }

    fn order(&self, desired: u32, reason: ScalingReason) -> ScalingOrder {
        ScalingOrder { subject: self.subject.clone(), desired, reason }
    }

    fn observe(&mut self, input: &ScalingInput, now: Instant) {
        let gap = self.last_input.replace(now).map(|last| now.saturating_duration_since(last));
        // The demand of a data centre that is taken out goes elsewhere, and says nothing about the
        // time after its return.
        let is_changed = self.is_taken_out != input.is_taken_out;
        self.is_taken_out = input.is_taken_out;
        if is_changed || gap.is_none_or(|gap| gap > MAX_INPUT_GAP) {
            self.observed_since = Some(now);
            self.trend.clear();
            self.needs.clear();
        }
        self.observe_missing(input, now);
        if input.is_taken_out {
            return;
        }
        self.trend.record(input.owed_rate(), now);
        let needed = match (input.is_complete, self.needed(input, REMOVAL_UTILISATION)) {
            (true, Some(needed)) => needed,
            _ => self.ordered(input).max(input.engines.serving()),
        };
        self.needs.record(needed, now);
    }

    fn observe_missing(&mut self, input: &ScalingInput, now: Instant) {
        let ordered = self.accepted.map_or(0, |order| order.desired);
        if input.engines.present() >= ordered {
            self.short_since = None;
        } else {
            self.short_since.get_or_insert(now);
        }
    }

    /// Returns the number of engines that was ordered as far as the scaler knows. Engines that
    /// crashed stay ordered, so that the platform's replacements are not ordered a second time.
    fn ordered(&self, input: &ScalingInput) -> u32 {
        self.accepted.map_or(input.engines.serving(), |order| order.desired)
    }

    /// Returns the engines that the demand needs when they are ready, if their capacity is known.
    fn needed(&self, input: &ScalingInput, utilisation: f64) -> Option<u32> {
        let engine_rate = input.engine_rate.filter(|rate| rate.is_finite() && *rate > 0.0)?;
        let owed = input.owed_rate();
        let growth = self.trend.growth_rate() * input.limits.boot_time().as_secs_f64();
        let forecast = (owed + growth).min(owed * MAX_FORECAST_FACTOR);
        let engines = (forecast / (engine_rate * utilisation)).ceil();
        Some(input.clamp(engines as u32))
    }

    /// Returns a higher number of engines when the demand needs it.
    fn additional_engines(&self, input: &ScalingInput) -> Option<(u32, ScalingReason)> {
        if input.owed_rate() <= 0.0 {
            return None;
        }
        let ordered = self.ordered(input);
        let needed = match self.needed(input, TARGET_UTILISATION) {
            Some(needed) => needed,
            // Without any engine nothing can be measured, so a single one is ordered.
            None if ordered == 0 => input.clamp(1),
            None => return None,
        };
        if needed <= ordered {
            return None;
        }
        let serving = input.engines.serving().min(input.limits.maximum());
        Some((needed.max(serving), ScalingReason::DemandHigh))
    }

    /// Returns a lower number of engines when fewer have been enough for the stated time.
    fn fewer_engines(
        &self,
        input: &ScalingInput,
        observed: Duration,
        now: Instant,
    ) -> Option<(u32, ScalingReason)> {
        let low_time = input.limits.boot_time().clamp(LOW_TIME.0, LOW_TIME.1);
        let is_due = self
            .accepted
            .is_none_or(|order| now.saturating_duration_since(order.at) >= REMOVAL_INTERVAL);
        if observed < low_time || !is_due || !input.is_complete {
            return None;
        }
        let ordered = self.ordered(input);
        let present = ordered.max(input.engines.serving());
        let step = (present / REMOVAL_DIVISOR).max(1);
        let needed = input.clamp(self.needs.maximum(low_time, now)?);
        let desired = needed.max(present.saturating_sub(step));
        let is_lower = desired < present && self.accepted() != Some(desired);
        (is_lower && desired <= ordered).then_some((desired, ScalingReason::DemandLow))
    }

    /// Returns the accepted number of engines when some have been missing for too long.
    fn missing_engines(&self, input: &ScalingInput, now: Instant) -> Option<(u32, ScalingReason)> {
        let short_for = now.saturating_duration_since(self.short_since?);
        let limit = input.limits.boot_time() * REPLACEMENT_BOOT_TIMES + REPLACEMENT_MARGIN;
        let desired = input.clamp(self.accepted()?);
        (short_for >= limit).then_some((desired, ScalingReason::EnginesMissing))
    }

    fn order_minimum(&self, input: &ScalingInput, observed: Duration) -> Option<ScalingOrder> {
        let minimum = input.limits.minimum();
        if observed < TAKEN_OUT_OBSERVATION || self.ordered(input) == minimum {
            return None;
        }
        Some(self.order(minimum, ScalingReason::TakenOut))
    }
}
