//! Follows the changes of one part of the view at the source.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::GatewayContext;
use super::adapter::{FleetSource, GatewayAdapter, SourceError};
use super::events::ControlEvent;
use crate::ids::StoreRevision;
use crate::routing::{ViewBatch, ViewPart};
use crate::supervisor::StopSignal;

/// Shortest and longest pause between requests to a source that fails.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(100);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Pause after changes, so that quick successive changes arrive in one batch.
const BATCH_PAUSE: Duration = Duration::from_millis(250);

/// Availability of the source, as seen by one follower.
struct SourceHealth {
    part: ViewPart,
    lost_at: Option<Instant>,
    pause: Duration,
}

/// Reads a part, then follows its changes until `stop` is cancelled.
pub async fn follow<A: GatewayAdapter>(
    context: Arc<GatewayContext<A>>,
    part: ViewPart,
    stop: StopSignal,
) -> eyre::Result<()> {
    let mut health = SourceHealth { part, lost_at: None, pause: MIN_RETRY_PAUSE };
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
                if health.record_success() {
                    context.control.send(ControlEvent::SourceRecovered).await?;
                }
                let changed = !batch.complete && !batch.changes.is_empty();
                revision = Some(batch.revision);
                send_batch(&context, batch).await?;
                if changed && pause_unless_stopped(BATCH_PAUSE, &stop).await {
                    return Ok(());
                }
            }
            Err(SourceError::HistoryLost) => {
                log::info!(
                    part:% = part, revision:? = revision;
                    "history lost; reading the whole part"
                );
                revision = None;
            }
            Err(SourceError::Unavailable { cause }) => {
                if pause_unless_stopped(health.record_failure(&cause), &stop).await {
                    return Ok(());
                }
            }
        }
    }
}

/// Waits for `pause`; returns true early if the process is shutting down.
async fn pause_unless_stopped(pause: Duration, stop: &StopSignal) -> bool {
    tokio::time::timeout(pause, stop.cancelled()).await.is_ok()
}

async fn send_batch<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    batch: ViewBatch,
) -> eyre::Result<()> {
    let confirmed_at = Instant::now();
    let event = if batch.changes.is_empty() && !batch.complete {
        // The view keeps its revision; peers learn the new one with the next change.
        ControlEvent::Unchanged { part: batch.part, revision: batch.revision, confirmed_at }
    } else {
        ControlEvent::View { batch, confirmed_at }
    };
    context.control.send(event).await?;
    Ok(())
}

impl SourceHealth {
    /// Records a success; returns whether the source had failed before.
    fn record_success(&mut self) -> bool {
        self.pause = MIN_RETRY_PAUSE;
        let Some(lost) = self.lost_at.take() else { return false };
        log::info!(part:% = self.part, lost_for:? = lost.elapsed(); "store regained");
        true
    }

    /// Records a failure; returns the pause before the next request.
    fn record_failure(&mut self, cause: &str) -> Duration {
        if self.lost_at.is_none() {
            self.lost_at = Some(Instant::now());
            log::warn!(part:% = self.part; "store lost: {cause}");
        }
        let pause = self.pause;
        self.pause = (self.pause * 2).min(MAX_RETRY_PAUSE);
        pause
    }
}
