//! Maintains this router's entry in the store and reads the entries of the other routers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::sync::watch;

use super::GatewayContext;
use super::adapter::{FleetSource, GatewayAdapter, MemberEntry, SourceError};
use super::events::ControlEvent;
use crate::ids::StoreEra;
use crate::supervisor::StopSignal;

/// Time between two renewals of this router's entry.
const RENEW_INTERVAL: Duration = Duration::from_secs(8);

/// Time between two reads of the entries: during startup, and later.
const STARTUP_READ_INTERVAL: Duration = Duration::from_secs(2);
const READ_INTERVAL: Duration = Duration::from_secs(8);

/// Duration of startup. Entries are read more often then, since the other routers may be starting
/// too.
const STARTUP_TIME: Duration = Duration::from_secs(4);

/// Pause before a failed request is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Age at which an entry is removed, since its router is gone for good.
const MAX_MEMBER_AGE: Duration = Duration::from_secs(120);

/// Renews this router's entry and reads the others until `stop` is cancelled.
pub async fn maintain_membership<A: GatewayAdapter>(
    context: Arc<GatewayContext<A>>,
    stop: StopSignal,
) -> eyre::Result<()> {
    let source = context.adapter.source();
    let mut eras = source.eras();
    let mut started = Instant::now();
    let own = MemberEntry {
        node: Arc::clone(&context.settings.node),
        incarnation: context.incarnation,
        address: context.settings.peer,
        age: Duration::ZERO,
    };
    let mut renewed_at: Option<Instant> = None;
    let mut renewed_in: Option<StoreEra> = None;
    loop {
        let is_restored = renewed_in.is_some_and(|era| era < source.era());
        let due = is_restored || renewed_at.is_none_or(|at| at.elapsed() >= RENEW_INTERVAL);
        let round = async {
            if renewed_at.is_none() {
                // An entry's age is measured by the store's clock, which this router learns from
                // its first answer. An entry written before would look expired to the other
                // routers.
                source.list_members().await?;
            }
            let era = if due { Some(source.renew_member(&own).await?) } else { None };
            Ok((era, source.list_members().await?))
        };
        let outcome = tokio::select! {
            () = stop.cancelled() => break,
            outcome = round => outcome,
        };
        let mut written_in = None;
        let pause = match outcome {
            Ok((era, members)) => {
                if era.is_some() {
                    renewed_at = Some(Instant::now());
                    renewed_in = era;
                }
                written_in = renewed_in;
                if is_restored {
                    // The other routers write their entries again, too.
                    started = Instant::now();
                    context.control.send(ControlEvent::MemberRewritten).await?;
                }
                remove_expired_members(&context, &members).await;
                context.control.send(ControlEvent::Members(members)).await?;
                if started.elapsed() < STARTUP_TIME { STARTUP_READ_INTERVAL } else { READ_INTERVAL }
            }
            Err::<_, SourceError>(error) => {
                log::debug!("cannot maintain the membership: {error}");
                RETRY_PAUSE
            }
        };
        tokio::select! {
            () = stop.cancelled() => break,
            () = tokio::time::sleep(pause) => {}
            () = wait_for_restore(&mut eras, written_in) => {}
        }
    }
    if let Err(error) = context.adapter.source().remove_member(&own.node).await {
        log::warn!("cannot remove the entry of this router; it stays until it expires: {error}");
    }
    Ok(())
}

/// Waits until the store has stated a later era than the one in which this router's entry was
/// written; for ever without that one.
async fn wait_for_restore(eras: &mut watch::Receiver<StoreEra>, written_in: Option<StoreEra>) {
    let Some(written_in) = written_in else { return std::future::pending().await };
    if eras.wait_for(|era| *era > written_in).await.is_err() {
        std::future::pending().await
    }
}

async fn remove_expired_members<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    members: &[MemberEntry],
) {
    for member in members.iter().filter(|member| member.age > MAX_MEMBER_AGE) {
        if let Err(error) = context.adapter.source().remove_member(&member.node).await {
            log::debug!(peer = &*member.node; "cannot remove the expired entry of a router: {error}");
        }
    }
}
