//! The report as JSON, with what is needed to merge reports of several routers.

use std::cmp::Reverse;

use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::decision::burn_rate::{BurnState, EventCount, WindowCounts, judge_burn};

/// What an objective is about.
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
    /// Share of requests that are answered.
    #[display("answered")]
    Answered,
    /// Share of answers whose first token is in time.
    #[display("first-token")]
    FirstToken,
    /// Share of tokens that follow the one before in time.
    #[display("between-tokens")]
    BetweenTokens,
}

/// A router that contributed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RouterCoverage {
    /// Name of the process.
    pub node: String,
    /// Seconds that its counts reach back at most.
    pub watched_s: u64,
}

/// Numbers of events by latency in milliseconds, ascending.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LatencyCounts {
    /// (latency, events).
    pub counts: Vec<(u64, u64)>,
}

/// One objective of one team and route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(from = "ObjectiveDocument", into = "ObjectiveDocument")]
pub struct ObjectiveReport {
    /// What it is about.
    pub objective: ObjectiveKind,
    /// Share of events that must be good.
    pub target: f64,
    /// Time limit of a good event, in milliseconds.
    pub limit_ms: Option<f64>,
    /// Verdict.
    pub state: BurnState,
    /// Burn rate over the last hour.
    pub burn_rate_hour: f64,
    /// Burn rate over the last 6 hours.
    pub burn_rate_six_hours: f64,
    /// Share of the error budget of the last 6 hours that is left; negative when overspent.
    pub budget_left: f64,
    /// Events by window.
    pub windows: WindowCounts,
    /// Events by 5 minutes, newest first.
    pub history: Vec<EventCount>,
}

/// [`EventCount`] as JSON; the rules know no encoding.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct CountDocument {
    good: u64,
    total: u64,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct WindowDocument {
    five_minutes: CountDocument,
    half_hour: CountDocument,
    hour: CountDocument,
    six_hours: CountDocument,
}

/// [`ObjectiveReport`] as JSON. Verdict and rates are for readers and are worked out anew from the
/// counts when a report is read.
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

/// A team's use of a route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct BurnEntry {
    /// Team.
    pub team: String,
    /// Service.
    pub service: String,
    /// Route; empty when no route is declared for the path.
    pub route: String,
    /// Objectives.
    pub objectives: Vec<ObjectiveReport>,
    /// Times to the first token in the last one to two hours.
    pub first_token: LatencyCounts,
    /// Times between tokens in the last one to two hours.
    pub between_tokens: LatencyCounts,
}

/// Report of one router, or of several after merging.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct BurnReport {
    /// Routers that contributed.
    pub routers: Vec<RouterCoverage>,
    /// Entries that routers forgot because there were too many.
    pub evicted: u64,
    /// Entries that are not listed because more were there than asked for.
    pub left_out: u64,
    /// Entries, worst first.
    pub entries: Vec<BurnEntry>,
}

impl ObjectiveReport {
    /// Judges counted events.
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
            state: judge_burn(&windows, target),
            burn_rate_hour: windows.hour.burn_rate(target),
            burn_rate_six_hours: windows.six_hours.burn_rate(target),
            budget_left: windows.six_hours.budget_left(target),
            windows,
            history,
        }
    }

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
    /// Smallest latency that the share `quantile` of events does not exceed.
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
    /// The objective that burns most.
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
    /// Adds the counts of other reports and judges the sums.
    ///
    /// A router that is listed twice is counted once.
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

    /// Sorts by verdict, then by burn rate over the last hour, then by team, service and route.
    pub fn sort_worst_first(&mut self) {
        let severity = |entry: &BurnEntry| {
            entry
                .worst_objective()
                .map_or((BurnState::Quiet, 0.0), |worst| (worst.state, worst.burn_rate_hour))
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
