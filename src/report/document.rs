//! The report and its JSON form, which holds the counts that merging several reports needs.

use std::cmp::Reverse;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::decision::burn_rate::{BurnState, EventCount, WindowCounts, classify_burn};

/// Indicator that an objective is about.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    derive_more::Display,
)]
#[serde(rename_all = "kebab-case")]
pub enum ObjectiveKind {
    /// Share of requests that were answered.
    #[display("answered")]
    Answered,
    /// Share of answers whose first token came within the limit.
    #[display("first-token")]
    FirstToken,
    /// Share of tokens that followed the previous one within the limit.
    #[display("between-tokens")]
    BetweenTokens,
}

/// A router whose counts are part of a report, and the time that they cover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RouterCoverage {
    /// Name of the process.
    pub node: String,
    /// Seconds since the router started to count; its counts reach back no further.
    pub watched_s: u64,
}

/// Numbers of events by latency in milliseconds, ascending.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LatencyCounts {
    /// Pairs of latency and number of events.
    pub counts: Vec<(u64, u64)>,
}

/// State of one objective of one team and route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "ObjectiveDocument", into = "ObjectiveDocument")]
pub struct ObjectiveReport {
    /// Indicator.
    pub objective: ObjectiveKind,
    /// Share of events that must meet the objective.
    pub target: f64,
    /// Time limit in milliseconds, for objectives about latency.
    pub limit_ms: Option<f64>,
    /// Alert state.
    pub state: BurnState,
    /// Burn rate over the last hour.
    pub burn_rate_hour: f64,
    /// Burn rate over the last 6 hours.
    pub burn_rate_six_hours: f64,
    /// Remaining share of the error budget of the last 6 hours; negative if it is overspent.
    pub budget_left: f64,
    /// Events in each window.
    pub windows: WindowCounts,
    /// Events in intervals of 5 minutes, newest first.
    pub history: Vec<EventCount>,
}

/// JSON form of [`EventCount`], which itself is independent of encodings.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct CountDocument {
    good: u64,
    total: u64,
}

/// JSON form of [`WindowCounts`].
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WindowDocument {
    five_minutes: CountDocument,
    half_hour: CountDocument,
    hour: CountDocument,
    six_hours: CountDocument,
}

/// JSON form of [`ObjectiveReport`]. State, rates and budget are for readers; they are recomputed
/// from the counts when a report is decoded.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ObjectiveDocument {
    objective: ObjectiveKind,
    target: f64,
    #[serde(skip_serializing_if = "Option::is_none", default)]
    limit_ms: Option<f64>,
    state: String,
    burn_rate_hour: f64,
    burn_rate_six_hours: f64,
    budget_left: f64,
    windows: WindowDocument,
    history: Vec<CountDocument>,
}

impl From<EventCount> for CountDocument {
    fn from(count: EventCount) -> Self {
        Self { good: count.good, total: count.total }
    }
}

impl From<CountDocument> for EventCount {
    fn from(count: CountDocument) -> Self {
        Self { good: count.good, total: count.total }
    }
}

impl From<ObjectiveReport> for ObjectiveDocument {
    fn from(report: ObjectiveReport) -> Self {
        Self {
            objective: report.objective,
            target: report.target,
            limit_ms: report.limit_ms,
            state: report.state.to_string(),
            burn_rate_hour: report.burn_rate_hour,
            burn_rate_six_hours: report.burn_rate_six_hours,
            budget_left: report.budget_left,
            windows: WindowDocument {
                five_minutes: report.windows.five_minutes.into(),
                half_hour: report.windows.half_hour.into(),
                hour: report.windows.hour.into(),
                six_hours: report.windows.six_hours.into(),
            },
            history: report.history.into_iter().map(CountDocument::from).collect(),
        }
    }
}

impl From<ObjectiveDocument> for ObjectiveReport {
    fn from(document: ObjectiveDocument) -> Self {
        let windows = WindowCounts {
            five_minutes: document.windows.five_minutes.into(),
            half_hour: document.windows.half_hour.into(),
            hour: document.windows.hour.into(),
            six_hours: document.windows.six_hours.into(),
        };
        let history = document.history.into_iter().map(EventCount::from).collect();
        Self::new(document.objective, document.target, document.limit_ms, windows, history)
    }
}

/// Objectives and latencies of one team on one route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct BurnEntry {
    /// Team.
    pub team: String,
    /// Service.
    pub service: String,
    /// Route; empty if no route is declared for the path.
    pub route: String,
    /// Objectives.
    pub objectives: Vec<ObjectiveReport>,
    /// Times to the first token, over the last one to two hours.
    pub first_token: LatencyCounts,
    /// Times between tokens, over the last one to two hours.
    pub between_tokens: LatencyCounts,
}

/// Report of one router, or merged report of several routers.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct BurnReport {
    /// Routers whose counts are included.
    pub routers: Vec<RouterCoverage>,
    /// Number of entries that routers evicted because they reached their capacity.
    pub evicted: u64,
    /// Number of entries that are not listed because they exceed the requested number.
    pub left_out: u64,
    /// Entries, worst first.
    pub entries: Vec<BurnEntry>,
}

impl ObjectiveReport {
    /// Computes the state, the rates and the remaining budget from the counts.
    pub fn new(
        objective: ObjectiveKind,
        target: f64,
        limit_ms: Option<f64>,
        windows: WindowCounts,
        history: Vec<EventCount>,
    ) -> Self {
        Self {
            objective,
            target,
            limit_ms,
            state: classify_burn(&windows, target),
            burn_rate_hour: windows.hour.burn_rate(target),
            burn_rate_six_hours: windows.six_hours.burn_rate(target),
            budget_left: windows.six_hours.budget_left(target),
            windows,
            history,
        }
    }

    /// Adds the counts of another router's report on the same objective.
    fn merge(self, other: Self) -> Self {
        let (mut history, shorter) = if self.history.len() >= other.history.len() {
            (self.history, other.history)
        } else {
            (other.history, self.history)
        };
        for (cell, count) in history.iter_mut().zip(shorter) {
            *cell = cell.merge(count);
        }
        let windows = self.windows.merge(other.windows);
        Self::new(self.objective, self.target, self.limit_ms, windows, history)
    }
}

impl LatencyCounts {
    /// Returns the smallest latency that at least the share `quantile` of the events does not
    /// exceed.
    pub fn quantile(&self, quantile: f64) -> Option<u64> {
        let total: u64 = self.counts.iter().map(|(_, count)| count).sum();
        let threshold = (total as f64 * quantile).ceil().max(1.0);
        let mut cumulative = 0;
        self.counts
            .iter()
            .find(|(_, count)| {
                cumulative += count;
                cumulative as f64 >= threshold
            })
            .map(|(latency, _)| *latency)
    }

    fn merge(self, other: Self) -> Self {
        let mut counts = self.counts;
        for (latency, count) in other.counts {
            match counts.binary_search_by_key(&latency, |(latency, _)| *latency) {
                Ok(index) => counts[index].1 += count,
                Err(index) => counts.insert(index, (latency, count)),
            }
        }
        Self { counts }
    }
}

impl BurnEntry {
    /// Returns the objective with the worst state, and of these the one with the highest burn rate
    /// over the last hour.
    pub fn worst_objective(&self) -> Option<&ObjectiveReport> {
        let by_rate = |one: &&ObjectiveReport, other: &&ObjectiveReport| {
            let rates = one.burn_rate_hour.total_cmp(&other.burn_rate_hour);
            one.state.cmp(&other.state).then(rates)
        };
        self.objectives.iter().max_by(by_rate)
    }

    fn merge(mut self, other: Self) -> Self {
        for objective in other.objectives {
            let kind = objective.objective;
            match self.objectives.iter().position(|existing| existing.objective == kind) {
                Some(index) => {
                    let existing = self.objectives.swap_remove(index);
                    self.objectives.push(existing.merge(objective));
                }
                None => self.objectives.push(objective),
            }
        }
        self.objectives.sort_by_key(|objective| objective.objective);
        self.first_token = self.first_token.merge(other.first_token);
        self.between_tokens = self.between_tokens.merge(other.between_tokens);
        self
    }
}

impl BurnReport {
    /// Merges reports by adding their counts.
    ///
    /// A report is skipped if one of its routers is already included.
    pub fn merge(reports: impl IntoIterator<Item = Self>) -> Self {
        let mut merged = Self::default();
        let mut entries: IndexMap<(String, String, String), BurnEntry> = IndexMap::new();
        for report in reports {
            let is_merged =
                |router: &RouterCoverage| merged.routers.iter().any(|r| r.node == router.node);
            if report.routers.iter().any(is_merged) {
                continue;
            }
            merged.routers.extend(report.routers);
            merged.evicted += report.evicted;
            merged.left_out += report.left_out;
            for entry in report.entries {
                let key = (entry.team.clone(), entry.service.clone(), entry.route.clone());
                let sum = match entries.swap_remove(&key) {
                    Some(existing) => existing.merge(entry),
                    None => entry,
                };
                entries.insert(key, sum);
            }
        }
        merged.entries = entries.into_values().collect();
        merged.sort_worst_first();
        merged
    }

    /// Sorts entries by state and burn rate over the last hour of their worst objective, then by
    /// team, service and route.
    pub fn sort_worst_first(&mut self) {
        let severity = |entry: &BurnEntry| {
            entry
                .worst_objective()
                .map_or((BurnState::Normal, 0.0), |worst| (worst.state, worst.burn_rate_hour))
        };
        self.entries.sort_by(|one, other| {
            let ((state, rate), (other_state, other_rate)) = (severity(one), severity(other));
            let names = |entry: &BurnEntry| {
                (entry.team.clone(), entry.service.clone(), entry.route.clone())
            };
            Reverse(state)
                .cmp(&Reverse(other_state))
                .then(other_rate.total_cmp(&rate))
                .then_with(|| names(one).cmp(&names(other)))
        });
    }

    /// Keeps the first `max_entries` entries and counts the others.
    pub fn truncate(&mut self, max_entries: usize) {
        let excess = self.entries.len().saturating_sub(max_entries);
        self.left_out += excess as u64;
        self.entries.truncate(max_entries);
    }
}
