//! Faults that tests inject into the table service and the object store.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Fault mode of the table service and the object store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoreMode {
    /// Requests are answered normally.
    #[default]
    Up,
    /// Requests are answered 503, or never answered if they hang.
    Down,
    /// Requests are answered after a delay.
    Slow,
    /// Requests are executed, but their answers are not sent.
    LoseAnswers,
}

/// Body of `PUT /control/store`.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct StoreBehaviour {
    /// Fault mode.
    pub mode: StoreMode,
    /// Delay in mode `slow`, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
    /// Share of the requests that the mode applies to, from 0 to 1.
    #[serde(default = "every_request")]
    pub probability: f64,
    /// Whether requests hang instead of getting an error or a closed connection.
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

/// How one request to the store is executed and answered.
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
    /// Decides about a request; `sample` is a random number in `[0, 1)`.
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
