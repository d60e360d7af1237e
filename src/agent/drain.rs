//! Graceful shutdown of the agent.

use std::sync::Arc;
use std::time::Instant;

use super::AgentContext;
use super::events::AgentEvent;
use crate::lifecycle::daemon::{StartingDaemon, StartingSlot};
use crate::supervisor::StopSignal;

/// Marks the agent as serving once it has a configuration. On a stop it refuses new work and waits
/// until the last run has ended and its answer was read.
pub async fn run(
    context: Arc<AgentContext>,
    starting: StartingSlot,
    stop: StopSignal,
) -> eyre::Result<()> {
    let starting = starting.lock().await.take();
    let mut configuration = context.configuration.subscribe();
    tokio::select! {
        _ = configuration.wait_for(Option::is_some) => {}
        () = stop.cancelled() => {}
    }
    let serving = starting.map(StartingDaemon::serve);
    stop.cancelled().await;
    let draining = serving.map(|serving| serving.drain(Instant::now()));
    let _ = context.control.send(AgentEvent::Drain).await;
    context.in_flight.wait_idle().await;
    context.answers.wait_empty().await;
    if let Some(draining) = draining {
        let stopped = draining.close(Instant::now());
        log::info!(drained_in:? = stopped.drained_in(); "all runs have ended");
    }
    Ok(())
}
