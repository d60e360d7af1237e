//! Removes claim rows after their retention period.
//!
//! Any router may do it: a turn is taken by compare-and-swap of one row, and each removal is
//! conditional on its row's version, so that two routers at work do no harm.

use std::sync::Arc;
use std::time::{Duration, SystemTime};

use super::RouterContext;
use crate::supervisor::StopSignal;

/// Time between two turns in the fleet.
const TURN_INTERVAL: Duration = Duration::from_secs(600);

/// Time between a router's looks at the turn.
const LOOK_INTERVAL: Duration = Duration::from_secs(60);

/// Time between two pages of a turn. A page is at most one write, so that removals take a small
/// part of the writes that the table service grants.
const PAGE_PAUSE: Duration = Duration::from_millis(100);

/// Looks for a turn until `stop` is cancelled.
pub async fn run(context: Arc<RouterContext>, stop: StopSignal) -> eyre::Result<()> {
    loop {
        if context.claims.take_sweep_turn(SystemTime::now(), TURN_INTERVAL).await {
            tokio::select! {
                () = stop.cancelled() => return Ok(()),
                () = sweep(&context) => {}
            }
        }
        // Routers that started together look at different times.
        let pause = LOOK_INTERVAL.mul_f64(0.5 + rand::random::<f64>());
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
    log::info!(removed; "claim rows were removed after their retention period");
}
