//! Keeps this router's entry in the store fresh and reads the entries of the others.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::GatewayContext;
use super::edge::{FleetSource, GatewayEdge, MemberEntry};
use super::events::ControlEvent;
use crate::supervisor::StopSignal;

/// Time between two signs of life in the store.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(8);

/// Time between two reads of the members, soon after the start and later.
const EARLY_READ_INTERVAL: Duration = Duration::from_secs(2);
const READ_INTERVAL: Duration = Duration::from_secs(8);

/// Time after the start in which members are read more often: the others start too.
const EARLY_TIME: Duration = Duration::from_secs(4);

/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Age of an entry whose router is gone for good; its row is removed.
const DEAD_AGE: Duration = Duration::from_secs(120);

/// Announces this router and reads the others until `stop` is cancelled.
pub async fn keep_members<E: GatewayEdge>(
    context: Arc<GatewayContext<E>>,
    stop: StopSignal,
) -> eyre::Result<()> {
    let started = Instant::now();
    let own = MemberEntry {
        node: Arc::clone(&context.settings.node),
        incarnation: context.incarnation,
        address: context.settings.peer,
        age: Duration::ZERO,
    };
    let mut announced: Option<Instant> = None;
    loop {
        let due = announced.is_none_or(|at| at.elapsed() >= ANNOUNCE_INTERVAL);
        let round = async {
            let source = context.edge.source();
            if announced.is_none() {
                // The age of an entry is measured by the store's clock, which the first answer
                // tells; an entry written before it would look dead to the other routers.
                source.members().await?;
            }
            if due {
                source.announce(&own).await?;
            }
            source.members().await
        };
        let outcome = tokio::select! {
            () = stop.cancelled() => break,
            outcome = round => outcome,
        };
        let pause = match outcome {
            Ok(members) => {
                if due {
                    announced = Some(Instant::now());
                }
                remove_dead(&context, &members).await;
                context.control.send(ControlEvent::Members(members)).await?;
                if started.elapsed() < EARLY_TIME { EARLY_READ_INTERVAL } else { READ_INTERVAL }
            }
            Err(error) => {
                log::debug!("members not read: {error}");
                FAILURE_PAUSE
            }
        };
        tokio::select! {
            () = stop.cancelled() => break,
            () = tokio::time::sleep(pause) => {}
        }
    }
    if let Err(error) = context.edge.source().retire(&own.node).await {
        log::warn!("the entry of this router stays in the store until it is too old: {error}");
    }
    Ok(())
}

async fn remove_dead<E: GatewayEdge>(context: &GatewayContext<E>, members: &[MemberEntry]) {
    for member in members.iter().filter(|member| member.age > DEAD_AGE) {
        if let Err(error) = context.edge.source().retire(&member.node).await {
            log::debug!(peer = &*member.node; "entry of a dead router not removed: {error}");
        }
    }
}
