//! Faults that tests inject into the plain service.

use serde::{Deserialize, Serialize};

/// Body of `PUT /control/behaviour`; by default no fault is injected.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct PlainBehaviour {
    /// Time added to the run time of every request, in milliseconds.
    pub delay_ms: u64,
    /// Share of requests that are executed but answered 500, from 0 to 1.
    pub fail_share: f64,
    /// Path prefix of requests that are executed but answered 500.
    pub fail_route: Option<String>,
}

impl PlainBehaviour {
    /// Decides whether a request is answered 500; `sample` is a random number in `[0, 1)`.
    pub(super) fn fails(&self, path: &str, sample: f64) -> bool {
        sample < self.fail_share
            || self.fail_route.as_ref().is_some_and(|prefix| path.starts_with(prefix.as_str()))
    }
}
