//! Polls the quarantine rows for suspects that no agent has announced to this router.

use std::sync::Arc;
use std::time::Duration;

use super::RouterContext;
use super::events::RouterEvent;
use crate::supervisor::StopSignal;

/// Poll interval. Agents announce suspects immediately; the rows cover routers that were cut off
/// or have just started.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Polls until `stop` is cancelled.
pub async fn poll(context: Arc<RouterContext>, stop: StopSignal) -> eyre::Result<()> {
    let mut ticker = tokio::time::interval(POLL_INTERVAL);
    loop {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            _ = ticker.tick() => {}
        }
        match context.quarantine.scan().await {
            Ok(records) if records.is_empty() => {}
            Ok(records) => {
                let _ = context.control.send(RouterEvent::SuspectsReported(records)).await;
            }
            Err(error) => log::debug!("cannot read the quarantine rows: {error}"),
        }
    }
}
