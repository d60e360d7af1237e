//! Polls the health of the upstream.

use std::sync::Arc;
use std::time::Duration;

use super::AgentContext;
use super::events::{AgentEvent, UpstreamHealth};
use crate::supervisor::StopSignal;

/// Poll interval. The health of a model engine is also checked before each run.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Polls until `stop` is cancelled.
pub async fn poll(context: Arc<AgentContext>, stop: StopSignal) -> eyre::Result<()> {
    let mut ticker = tokio::time::interval(POLL_INTERVAL);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            _ = ticker.tick() => {}
        }
        let health = context.upstream_client.health().await;
        if health != UpstreamHealth::Unknown {
            let _ = context.control.send(AgentEvent::HealthObserved(health)).await;
        }
    }
}
