//! List of VMs, which readers see with a lag.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use serde_json::Value;

use crate::ids::VmId;

type VmEntries = IndexMap<VmId, Value>;

/// Number of versions of the list that are kept. If the lag exceeds the age of the oldest one,
/// readers see that one.
const MAX_VERSIONS: usize = 1024;

/// The list and its earlier versions.
pub(super) struct VmList {
    lag: Duration,
    versions: VecDeque<(Instant, Arc<VmEntries>)>,
}

impl VmList {
    pub(super) fn new(lag: Duration, now: Instant) -> Self {
        Self { lag, versions: VecDeque::from([(now, Arc::default())]) }
    }

    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Returns the list as it was one lag ago.
    pub(super) fn visible(&self, now: Instant) -> Arc<VmEntries> {
        let known = |since: Instant| now.saturating_duration_since(since) >= self.lag;
        let version = self.versions.iter().rev().find(|(since, _)| known(*since));
        version.or(self.versions.front()).map(|(_, list)| Arc::clone(list)).unwrap_or_default()
    }

    /// Adds a version of the list with a change applied.
    pub(super) fn change(&mut self, now: Instant, change: impl FnOnce(&mut VmEntries)) {
        let mut entries =
            self.versions.back().map(|(_, list)| VmEntries::clone(list)).unwrap_or_default();
        change(&mut entries);
        self.versions.push_back((now, Arc::new(entries)));
        if self.versions.len() > MAX_VERSIONS {
            self.versions.pop_front();
        }
    }
}
