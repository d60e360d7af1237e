//! Windows that were closed, as the store keeps them.
//!
//! The record is written before a window is sent, so that a new holder sends the same counts or a
//! window that was never sent.

use serde::{Deserialize, Serialize};

use super::usage_ledger::ClosedWindow;
use crate::ids::{StoreEra, UsageWindow};

/// Closed windows that the record keeps, for the case that the holder ends before it has sent them.
const KEPT_WINDOWS: usize = 4;

/// The last windows that were closed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    /// Era of the store in which the record was written.
    #[serde(default)]
    pub era: StoreEra,
    /// The windows, oldest first.
    pub closed: Vec<ClosedWindow>,
}

impl UsageRecord {
    /// Returns the record after a window was closed in an era.
    pub fn with_closed(&self, window: ClosedWindow, era: StoreEra) -> Self {
        let mut closed = self.closed.clone();
        closed.push(window);
        closed.drain(..closed.len().saturating_sub(KEPT_WINDOWS));
        Self { era, closed }
    }

    /// Returns the last closed window.
    pub fn closed_through(&self) -> Option<UsageWindow> {
        self.closed.iter().map(|closed| closed.window).max()
    }

    /// Returns the window after which a new holder may close windows.
    ///
    /// `heard` is the last window that a holder is known to have closed, and `current` the window
    /// of the time at which the lease was acquired. A record of an earlier era may lack windows
    /// that were closed and sent, and so may an absent one. No earlier holder can have closed a
    /// window that has not ended, so only these are safe then.
    pub fn resume_after(
        stored: Option<&Self>,
        era: StoreEra,
        heard: Option<UsageWindow>,
        current: UsageWindow,
    ) -> UsageWindow {
        let recorded = stored.filter(|record| record.era == era).and_then(Self::closed_through);
        let known = recorded.unwrap_or_else(|| current.saturating_sub(1));
        known.max(heard.unwrap_or_default())
    }
}
