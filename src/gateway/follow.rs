//! Follows one part of the fleet's view at the source.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::GatewayContext;
use super::adapter::{FleetSource, GatewayAdapter, SourceError};
use super::events::ControlEvent;
use crate::ids::StoreRevision;
use crate::routing::{ViewBatch, ViewPart};
use crate::supervisor::StopSignal;

/// Pauses between calls to a source that fails.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Pause after changes, so that changes in quick succession come in one answer.
const GATHER_PAUSE: Duration = Duration::from_millis(250);

/// Whether the source answers, as one follower sees it.
struct SourceHealth {
    part: ViewPart,
    lost: Option<Instant>,
    pause: Duration,
}

/// Reads a part and follows its changes until `stop` is cancelled.
pub async fn follow<A: GatewayAdapter>(
    context: Arc<GatewayContext<A>>,
    part: ViewPart,
    stop: StopSignal,
) -> eyre::Result<()> {
    let mut health = SourceHealth { part, lost: None, pause: FIRST_PAUSE };
    let mut revision: Option<StoreRevision> = None;
    loop {
        let source = context.adapter.source();
        let call = async {
            match revision {
                Some(revision) => source.follow(part, revision).await,
                None => source.read(part).await,
            }
        };
        let outcome = tokio::select! {
            () = stop.cancelled() => return Ok(()),
            outcome = call => outcome,
        };
        match outcome {
            Ok(batch) => {
                if health.regained() {
                    context.control.send(ControlEvent::SourceRegained).await?;
                }
                let changed = !batch.complete && !batch.changes.is_empty();
                revision = Some(batch.revision);
                send_batch(&context, batch).await?;
                if changed && pause_unless_stopped(GATHER_PAUSE, &stop).await {
                    return Ok(());
                }
            }
            Err(SourceError::HistoryLost) => {
                log::info!(part:% = part, revision:? = revision; "history lost; reading anew");
                revision = None;
            }
            Err(SourceError::Unavailable { cause }) => {
                if pause_unless_stopped(health.lose(&cause), &stop).await {
                    return Ok(());
                }
            }
        }
    }
}

/// Waits; returns whether the process stops.
async fn pause_unless_stopped(pause: Duration, stop: &StopSignal) -> bool {
    tokio::time::timeout(pause, stop.cancelled()).await.is_ok()
}

async fn send_batch<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    batch: ViewBatch,
) -> eyre::Result<()> {
    if batch.changes.is_empty() && !batch.complete {
        // The revision alone is news for peers, but they learn it with the next change.
        return Ok(());
    }
    context.control.send(ControlEvent::View(batch)).await?;
    Ok(())
}

impl SourceHealth {
    /// Notes an answer; returns whether the source had been lost.
    fn regained(&mut self) -> bool {
        self.pause = FIRST_PAUSE;
        let Some(lost) = self.lost.take() else { return false };
        log::info!(part:% = self.part, lost_for:? = lost.elapsed(); "store regained");
        true
    }

    /// Notes a failure and returns the pause before the next call.
    fn lose(&mut self, cause: &str) -> Duration {
        if self.lost.is_none() {
            self.lost = Some(Instant::now());
            log::warn!(part:% = self.part; "store lost: {cause}");
        }
        let pause = self.pause;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        pause
    }
}
