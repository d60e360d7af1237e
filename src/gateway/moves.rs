//! Reads and writes the records of version moves. The store writes a record only at its expected
//! revision and while its order is in force, so of several routers one succeeds, and a late one
//! cannot replace the record of a newer order.

use std::sync::Arc;

use tokio::sync::{Mutex, mpsc};

use super::GatewayContext;
use super::adapter::{FleetSource, GatewayAdapter, MoveRecord, SourceError, StoredMove};
use super::events::ControlEvent;
use crate::decision::direct::TrialStage;
use crate::supervisor::StopSignal;

/// Maximum number of times that a record is read and written because other routers write it, too.
const MAX_CONFLICTS: u32 = 3;

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

/// Writes a record unless the move has one already. The control thread requests it again until it
/// learns of a record.
async fn write_record<A: GatewayAdapter>(context: &GatewayContext<A>, record: MoveRecord) {
    for _ in 0..MAX_CONFLICTS {
        match try_write(context, &record).await {
            Ok(true) => return,
            Ok(false) => {}
            Err(error) => {
                log::info!(
                    service = &*record.service, target = &*record.target, stage:% = record.stage;
                    "version move not recorded yet: {error}"
                );
                return;
            }
        }
    }
    log::info!(
        service = &*record.service, target = &*record.target, stage:% = record.stage;
        "version move not recorded: its record or its order has changed"
    );
}

/// Returns whether the move has a record that is final or as far as this one.
async fn try_write<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    record: &MoveRecord,
) -> Result<bool, SourceError> {
    let source = context.adapter.source();
    let stored = source.read_move(&record.service).await?;
    if let Some(stage) = stage_of(record, &stored)
        && (stage.is_final() || !record.stage.is_final())
    {
        context.send_event(ControlEvent::MoveRecorded(MoveRecord { stage, ..record.clone() }));
        return Ok(true);
    }
    let written = source.record_move(record, stored.revision).await?;
    if written {
        log::info!(
            service = &*record.service, target = &*record.target, stage:% = record.stage,
            order:% = record.order, replaced:% = stored.revision; "version move recorded"
        );
        context.send_event(ControlEvent::MoveRecorded(record.clone()));
    }
    Ok(written)
}

/// Returns the stored stage if it belongs to the order of `record`: one that was written before
/// the order belongs to an earlier order. Revisions of different eras tell nothing about that.
fn stage_of(record: &MoveRecord, stored: &StoredMove) -> Option<TrialStage> {
    let (target, stage) = stored.state.as_ref()?;
    let is_same_order = *target == record.target
        && stored.revision.era == record.order.era
        && stored.revision > record.order;
    is_same_order.then_some(*stage)
}
