//! Sweep that removes claim rows after their retention period.
//!
//! Any router may sweep: it acquires its turn by a compare-and-swap of one row, and each removal is
//! conditional on the version of the removed row, so that concurrent sweeps are harmless.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use super::RouterContext;
use crate::supervisor::StopSignal;

/// Interval between two sweeps in the fleet.
const SWEEP_INTERVAL: Duration = Duration::from_secs(600);

/// Interval at which a router checks whether a sweep is due.
const CHECK_INTERVAL: Duration = Duration::from_secs(60);

/// Pause between two pages of a sweep. A page is at most one write, so the sweep uses a small part
/// of the write rate that the table service allows.
const PAGE_PAUSE: Duration = Duration::from_millis(100);

/// Sweeps whenever it is this router's turn, until `stop` is cancelled.
pub async fn run(context: Arc<RouterContext>, stop: StopSignal) -> eyre::Result<()> {
    loop {
        if context.claims.try_begin_sweep(SystemTime::now(), SWEEP_INTERVAL).await {
            tokio::select! {
                () = stop.cancelled() => return Ok(()),
                () = sweep(&context) => {}
            }
        }
        // Jitter, so that routers that started together check at different times.
        let pause = CHECK_INTERVAL.mul_f64(0.5 + rand::random::<f64>());
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = tokio::time::sleep(pause) => {}
        }
    }
}

async fn sweep(context: &RouterContext) {
    let mut after = String::new();
    let mut removed = 0;
    while let Some(page) = context.claims.sweep_page(&after, SystemTime::now()).await {
        removed += page.removed;
        after = page.last_key;
        tokio::time::sleep(PAGE_PAUSE).await;
    }
    log::info!(removed; "removed expired claim rows");
}
