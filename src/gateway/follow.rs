//! Follows the changes of one part of the view at the source.
//!
//! The source holds a request until there is a change. Since such a request may never be answered,
//! the control thread has the follower ask anew when the part has not been confirmed for a while.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use super::GatewayContext;
use super::adapter::{FleetSource, GatewayAdapter, SourceError};
use super::events::ControlEvent;
use super::view_log::ViewOrigin;
use crate::ids::StoreRevision;
use crate::routing::{ViewBatch, ViewPart};
use crate::supervisor::StopSignal;

/// Time for which the source may hold a request when nothing changes (long polling).
const FEED_WAIT: Duration = Duration::from_secs(20);

/// Shortest and longest pause between requests to a source that fails.
const MIN_RETRY_PAUSE: Duration = Duration::from_millis(100);
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(800);

/// Pause after changes, so that quick successive changes arrive in one batch.
const BATCH_PAUSE: Duration = Duration::from_millis(250);

/// Requests of the control thread to ask the source for the changes of a part at once.
#[derive(Debug, Default)]
pub struct CheckSignals {
    operators: Notify,
    upstreams: Notify,
}

impl CheckSignals {
    /// Returns the signal for the follower of a part.
    pub fn of(&self, part: ViewPart) -> &Notify {
        match part {
            ViewPart::Operators => &self.operators,
            ViewPart::Upstreams => &self.upstreams,
        }
    }
}

/// What the source answered.
struct SourceAnswer {
    batch: ViewBatch,
    origin: ViewOrigin,
    /// When the source still had no further changes.
    confirmed_at: Instant,
}

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
        let outcome = tokio::select! {
            () = stop.cancelled() => return Ok(()),
            outcome = next_answer(&context, part, revision) => outcome,
        };
        match outcome {
            Ok(answer) => {
                if health.record_success() {
                    context.control.send(ControlEvent::SourceRecovered).await?;
                }
                let batch = &answer.batch;
                let changed = !batch.complete && !batch.changes.is_empty();
                revision = Some(batch.revision);
                send_answer(&context, answer).await;
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
            Err(SourceError::Restored) => revision = None,
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

/// Reads the part, or waits for its changes after `revision`.
async fn next_answer<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    part: ViewPart,
    revision: Option<StoreRevision>,
) -> Result<SourceAnswer, SourceError> {
    let source = context.adapter.source();
    let Some(revision) = revision else {
        let confirmed_at = Instant::now();
        let batch = source.read(part).await?;
        return Ok(SourceAnswer { batch, origin: ViewOrigin::Read, confirmed_at });
    };
    let feed = source.follow(part, revision, FEED_WAIT);
    tokio::pin!(feed);
    // Another request may learn of a restore first.
    let mut eras = source.eras();
    let restored = async { eras.wait_for(|era| *era > revision.era).await.is_ok() };
    tokio::pin!(restored);
    loop {
        tokio::select! {
            fed = &mut feed => {
                let confirmed_at = Instant::now();
                return fed.map(|batch| SourceAnswer {
                    batch, origin: ViewOrigin::Feed, confirmed_at
                });
            }
            true = &mut restored => return Err(SourceError::Restored),
            checked = check(context, part, revision) => {
                let answer = checked?;
                if !answer.batch.changes.is_empty() {
                    return Ok(answer);
                }
                send_answer(context, answer).await;
            }
        }
    }
}

/// Waits for a request of the control thread, and asks the source for changes that it has now.
async fn check<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    part: ViewPart,
    revision: StoreRevision,
) -> Result<SourceAnswer, SourceError> {
    context.checks.of(part).notified().await;
    let confirmed_at = Instant::now();
    let batch = context.adapter.source().follow(part, revision, Duration::ZERO).await?;
    Ok(SourceAnswer { batch, origin: ViewOrigin::Check, confirmed_at })
}

/// Passes an answer to the control thread.
async fn send_answer<A: GatewayAdapter>(context: &GatewayContext<A>, answer: SourceAnswer) {
    let SourceAnswer { batch, origin, confirmed_at } = answer;
    let event = if batch.changes.is_empty() && !batch.complete {
        // The view keeps its revision; peers learn the new one with the next change.
        ControlEvent::Unchanged { part: batch.part, revision: batch.revision, confirmed_at }
    } else {
        ControlEvent::View { batch, origin, confirmed_at }
    };
    if context.control.send(event).await.is_err() {
        log::warn!("the control thread has ended; an answer of the source is dropped");
    }
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
