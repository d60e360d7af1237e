//! Counter of work in progress, with which a draining daemon waits until all work has ended.

use tokio::sync::watch;

/// Counter of work in progress.
#[derive(Clone, Debug)]
pub struct InFlightCounter {
    count: watch::Sender<usize>,
}

/// Guard of one unit of work, which ends when the guard is dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    count: watch::Sender<usize>,
}

impl Default for InFlightCounter {
    fn default() -> Self {
        Self { count: watch::Sender::new(0) }
    }
}

impl InFlightCounter {
    /// Starts a unit of work.
    pub fn enter(&self) -> InFlightGuard {
        self.count.send_modify(|count| *count += 1);
        InFlightGuard { count: self.count.clone() }
    }

    /// Number of units in progress.
    pub fn count(&self) -> usize {
        *self.count.borrow()
    }

    /// Waits until no unit is in progress.
    pub async fn wait_idle(&self) {
        // The sender lives in `self`, so the channel cannot close while this waits.
        let _ = self.count.subscribe().wait_for(|count| *count == 0).await;
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
