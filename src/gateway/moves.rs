//! Writes the records of version moves. The store writes a record only at its expected revision, so
//! of several routers one succeeds.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Mutex, mpsc};

use super::GatewayContext;
use super::adapter::{FleetSource, GatewayAdapter, MoveRecord, SourceError};
use super::events::ControlEvent;
use crate::decision::direct::TrialStage;
use crate::supervisor::StopSignal;

/// Pause after a failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Maximum number of attempts to write one record.
const MAX_WRITES: u32 = 50;

/// Queue of records; it outlives a restart of the writer.
pub type MoveQueue = Arc<Mutex<mpsc::Receiver<MoveRecord>>>;

/// Writes records until `stop` is cancelled.
pub async fn write_moves<A: GatewayAdapter>(
    context: Arc<GatewayContext<A>>,
    queue: MoveQueue,
    stop: StopSignal,
) -> eyre::Result<()> {
    let mut queue = queue.lock().await;
    loop {
        let record = tokio::select! {
            () = stop.cancelled() => return Ok(()),
            record = queue.recv() => record,
        };
        let Some(record) = record else { return Ok(()) };
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = write_record(&context, record) => {}
        }
    }
}

async fn write_record<A: GatewayAdapter>(context: &GatewayContext<A>, record: MoveRecord) {
    for _ in 0..MAX_WRITES {
        match try_write(context, &record).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => {
                log::debug!(service = &*record.service; "move not recorded yet: {error}");
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
    log::error!(service = &*record.service, stage:% = record.stage; "move could not be recorded");
}

/// Returns whether the record is written or no longer needed.
async fn try_write<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    record: &MoveRecord,
) -> Result<bool, SourceError> {
    let source = context.adapter.source();
    let held = source.read_move(&record.service).await?;
    if let Some((held, _)) = &held
        && held.target == record.target
        && (held.stage == record.stage || is_final(held.stage))
    {
        context.send_event(ControlEvent::MoveRecorded(held.clone()));
        return Ok(true);
    }
    let revision = held.map_or(0, |(_, revision)| revision);
    let written = source.record_move(record, revision).await?;
    if written {
        log::info!(
            service = &*record.service, target = &*record.target, stage:% = record.stage,
            revision; "version move recorded"
        );
    }
    Ok(written)
}

fn is_final(stage: TrialStage) -> bool {
    matches!(stage, TrialStage::Done | TrialStage::TakenBack)
}
