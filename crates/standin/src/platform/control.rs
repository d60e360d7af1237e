//! Orders with which tests make the store fail.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How the table service and the object store behave.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreMode {
    /// Answers.
    #[default]
    Up,
    /// Takes connections and answers 503, or leaves requests without an answer.
    Down,
    /// Answers after a delay.
    Slow,
    /// Carries requests out and loses the answers.
    LoseAnswers,
}

/// Body of `PUT /control/store`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct StoreBehaviour {
    /// Mode.
    pub mode: StoreMode,
    /// Delay in mode `slow`, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Share of the requests that the mode applies to.
    #[serde(default = "every_request")]
    pub probability: f64,
    /// Whether requests hang in place of an error or a closed connection.
    #[serde(default)]
    pub hang: bool,
}

fn every_request() -> f64 {
    1.0
}

impl Default for StoreBehaviour {
    fn default() -> Self {
        Self { mode: StoreMode::Up, delay_ms: 0, probability: every_request(), hang: false }
    }
}

/// Fate of one request to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StoreAction {
    Answer,
    AnswerAfter(Duration),
    Refuse,
    Hang,
    RunThenClose,
    RunThenHang,
}

impl StoreBehaviour {
    /// Decides about a request for which the number `sample` in `[0, 1)` was drawn.
    pub(super) fn action(&self, sample: f64) -> StoreAction {
        if sample >= self.probability {
            return StoreAction::Answer;
        }
        match (self.mode, self.hang) {
            (StoreMode::Up, _) => StoreAction::Answer,
            (StoreMode::Down, false) => StoreAction::Refuse,
            (StoreMode::Down, true) => StoreAction::Hang,
            (StoreMode::Slow, _) => StoreAction::AnswerAfter(Duration::from_millis(self.delay_ms)),
            (StoreMode::LoseAnswers, false) => StoreAction::RunThenClose,
            (StoreMode::LoseAnswers, true) => StoreAction::RunThenHang,
        }
    }
}

/// Body of `PUT /control/vm-list`.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub(super) struct VmListBehaviour {
    pub(super) lag_ms: u64,
}
