//! Counts observations by team, service and route.

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use indexmap::IndexMap;

use super::document::{
    BurnEntry, BurnReport, LatencyCounts, ObjectiveKind, ObjectiveReport, RouterCoverage,
};
use super::observation::{AnswerOutcome, ServiceObservation};
use crate::configuration::ServiceObjectives;
use crate::decision::burn_rate::{BurnWindows, EventCount};
use crate::ids::{NodeId, RouteId, ServiceId, TeamId};

/// Maximum number of entries. An entry takes up to about 7 KB when its windows are full, so the
/// recorder takes less than 14 MB of the 64 MB that a node may use for control.
pub const MAX_ENTRIES: usize = 2048;

/// Upper bound of the histograms in milliseconds; longer times are recorded as this.
const MAX_LATENCY_MS: u64 = 60_000;

/// Significant digits of the histograms, which makes quantiles exact within about 6%.
const SIGNIFICANT_DIGITS: u8 = 1;

/// Period of the latency histograms. The current and the previous period are kept.
const HISTOGRAM_PERIOD: Duration = Duration::from_secs(3600);

/// Team, service and route that an entry is about.
type EntryKey = (TeamId, ServiceId, RouteId);

/// Latency distribution over the last one to two periods.
#[derive(Clone, Debug)]
struct LatencyHistogram {
    current: Histogram<u32>,
    previous: Option<Histogram<u32>>,
}

/// Events counted against one objective.
#[derive(Clone, Debug)]
struct ObjectiveCounter {
    windows: BurnWindows,
    target: f64,
    limit: Option<Duration>,
}

/// Counts of one entry.
#[derive(Clone, Debug)]
struct EntryState {
    last_seen: Instant,
    last_rotation: Instant,
    objectives: IndexMap<ObjectiveKind, ObjectiveCounter>,
    first_token: Option<LatencyHistogram>,
    between_tokens: Option<LatencyHistogram>,
}

/// Counts of one router by team, service and route, in bounded memory.
#[derive(Debug)]
pub struct BurnRecorder {
    origin: Instant,
    capacity: usize,
    entries: IndexMap<EntryKey, EntryState>,
    evicted: u64,
}

impl BurnRecorder {
    /// Creates a recorder that starts at `now` and keeps at most `capacity` entries. When it is
    /// full, the entry that was not updated for the longest time is evicted.
    pub fn new(capacity: usize, now: Instant) -> Self {
        Self { origin: now, capacity, entries: IndexMap::new(), evicted: 0 }
    }

    /// Counts a request against the objectives in force.
    pub fn record(
        &mut self,
        observation: &ServiceObservation,
        objectives: ServiceObjectives,
        now: Instant,
    ) {
        let origin = self.origin;
        let entry = self.entry(observation, now);
        entry.rotate(now);
        let mut count =
            |kind, target, limit, good: u64, total: u64| {
                if total > 0 {
                    let counter = entry.objectives.entry(kind).or_insert_with(|| {
                        ObjectiveCounter { windows: BurnWindows::new(origin), target, limit }
                    });
                    (counter.target, counter.limit) = (target, limit);
                    counter.windows.add(EventCount { good, total }, now);
                }
            };
        if let Some(answered) = observation.outcome.counts_as_answered() {
            let target = objectives.answered_share;
            count(ObjectiveKind::Answered, target, None, u64::from(answered), 1);
        }
        let in_time = objectives.in_time_share;
        if let Some(limit) = objectives.first_token {
            // A caller that left after the limit without a byte counts as a late first token.
            let left = observation.outcome == AnswerOutcome::CallerLeft
                && observation.first_token.is_none()
                && observation.total > limit;
            let good = observation.first_token.is_some_and(|time| time <= limit);
            let total = u64::from(observation.first_token.is_some() || left);
            count(ObjectiveKind::FirstToken, in_time, Some(limit), u64::from(good), total);
        }
        if let Some(limit) = objectives.between_tokens {
            let in_limit = |length: u64| u128::from(length) <= limit.as_millis();
            let total = observation.gaps.iter().map(|(_, gaps)| gaps).sum();
            let good = observation.gaps.iter().filter(|(length, _)| in_limit(*length));
            let good = good.map(|(_, gaps)| gaps).sum();
            count(ObjectiveKind::BetweenTokens, in_time, Some(limit), good, total);
        }
        if let Some(time) = observation.first_token {
            let length = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
            LatencyHistogram::record(&mut entry.first_token, length, 1);
        }
        for (length, gaps) in observation.gaps.iter() {
            LatencyHistogram::record(&mut entry.between_tokens, length, gaps);
        }
    }

    /// Returns the report as of `now`, with the `max_entries` worst entries.
    pub fn report(&self, node: &NodeId, max_entries: usize, now: Instant) -> BurnReport {
        let router = RouterCoverage {
            node: node.to_string(),
            watched_s: now.saturating_duration_since(self.origin).as_secs(),
        };
        let entries = self.entries.iter().map(|(key, state)| state.report(key, now)).collect();
        let mut report =
            BurnReport { routers: vec![router], evicted: self.evicted, left_out: 0, entries };
        report.sort_worst_first();
        report.truncate(max_entries);
        report
    }

    /// Returns the entry of an observation; evicts another one if there is no room for a new one.
    fn entry(&mut self, observation: &ServiceObservation, now: Instant) -> &mut EntryState {
        let key =
            (observation.team.clone(), observation.service.clone(), observation.route.clone());
        if !self.entries.contains_key(&key) && self.entries.len() >= self.capacity {
            let states = self.entries.iter().enumerate();
            let oldest = states.min_by_key(|(_, (_, state))| state.last_seen);
            if let Some(index) = oldest.map(|(index, _)| index) {
                self.entries.swap_remove_index(index);
                self.evicted += 1;
            }
        }
        let state = self.entries.entry(key).or_insert_with(|| EntryState {
            last_seen: now,
            last_rotation: now,
            objectives: IndexMap::new(),
            first_token: None,
            between_tokens: None,
        });
        state.last_seen = now;
        state
    }
}

impl EntryState {
    /// Starts a new period of the histograms when the current one is over.
    fn rotate(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_rotation) < HISTOGRAM_PERIOD {
            return;
        }
        self.last_rotation = now;
        for histogram in [&mut self.first_token, &mut self.between_tokens].into_iter().flatten() {
            let empty = Histogram::new_from(&histogram.current);
            histogram.previous = Some(std::mem::replace(&mut histogram.current, empty));
        }
    }

    fn report(&self, key: &EntryKey, now: Instant) -> BurnEntry {
        let objectives = self.objectives.iter().map(|(kind, counter)| {
            let limit_ms = counter.limit.map(|limit| limit.as_secs_f64() * 1000.0);
            let windows = counter.windows.windows(now);
            let history = counter.windows.history(now);
            ObjectiveReport::new(*kind, counter.target, limit_ms, windows, history)
        });
        BurnEntry {
            team: key.0.to_string(),
            service: key.1.to_string(),
            route: key.2.to_string(),
            objectives: objectives.collect(),
            first_token: LatencyHistogram::counts(self.first_token.as_ref()),
            between_tokens: LatencyHistogram::counts(self.between_tokens.as_ref()),
        }
    }
}

impl LatencyHistogram {
    fn record(slot: &mut Option<Self>, length: u64, count: u64) {
        if slot.is_none() {
            // Fails only for invalid bounds, and these are valid constants.
            *slot = Histogram::new_with_bounds(1, MAX_LATENCY_MS, SIGNIFICANT_DIGITS)
                .ok()
                .map(|current| Self { current, previous: None });
        }
        if let Some(histogram) = slot {
            let count = u32::try_from(count).unwrap_or(u32::MAX);
            histogram.current.saturating_record_n(length.clamp(1, MAX_LATENCY_MS), count);
        }
    }

    fn counts(slot: Option<&Self>) -> LatencyCounts {
        let Some(histogram) = slot else { return LatencyCounts::default() };
        let mut sum = histogram.current.clone();
        if let Some(previous) = &histogram.previous {
            // Adding cannot fail, because both histograms have the same bounds.
            let _ = sum.add(previous);
        }
        let recorded = sum.iter_recorded();
        let counts = recorded
            .map(|step| (step.value_iterated_to(), u64::from(step.count_at_value())))
            .collect();
        LatencyCounts { counts }
    }
}
