//! Maintains this router's entry in the store and reads the entries of the other routers.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::GatewayContext;
use super::adapter::{FleetSource, GatewayAdapter, MemberEntry};
use super::events::ControlEvent;
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
    let started = Instant::now();
    let own = MemberEntry {
        node: Arc::clone(&context.settings.node),
        incarnation: context.incarnation,
        address: context.settings.peer,
        age: Duration::ZERO,
    };
    let mut renewed_at: Option<Instant> = None;
    loop {
        let due = renewed_at.is_none_or(|at| at.elapsed() >= RENEW_INTERVAL);
        let round = async {
            let source = context.adapter.source();
            if renewed_at.is_none() {
                // An entry's age is measured by the store's clock, which this router learns from
                // its first answer. An entry written before would look expired to the other
                // routers.
                source.list_members().await?;
            }
            if due {
                source.renew_member(&own).await?;
            }
            source.list_members().await
        };
        let outcome = tokio::select! {
            () = stop.cancelled() => break,
            outcome = round => outcome,
        };
        let pause = match outcome {
            Ok(members) => {
                if due {
                    renewed_at = Some(Instant::now());
                }
                remove_expired_members(&context, &members).await;
                context.control.send(ControlEvent::Members(members)).await?;
                if started.elapsed() < STARTUP_TIME { STARTUP_READ_INTERVAL } else { READ_INTERVAL }
            }
            Err(error) => {
                log::debug!("members not read: {error}");
                RETRY_PAUSE
            }
        };
        tokio::select! {
            () = stop.cancelled() => break,
            () = tokio::time::sleep(pause) => {}
        }
    }
    if let Err(error) = context.adapter.source().remove_member(&own.node).await {
        log::warn!("the entry of this router stays in the store until it is too old: {error}");
    }
    Ok(())
}

async fn remove_expired_members<A: GatewayAdapter>(
    context: &GatewayContext<A>,
    members: &[MemberEntry],
) {
    for member in members.iter().filter(|member| member.age > MAX_MEMBER_AGE) {
        if let Err(error) = context.adapter.source().remove_member(&member.node).await {
            log::debug!(peer = &*member.node; "entry of a dead router not removed: {error}");
        }
    }
}
