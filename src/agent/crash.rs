//! Tells a crash of the upstream from a broken connection, and makes suspects known.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::{join, join_all};
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::AgentContext;
use super::events::{AgentEvent, UpstreamHealth};
use crate::decision::quarantine::{RequestFingerprint, SuspectRecord};
use crate::protocol::{SuspectEntry, SuspectNotice};

/// Time for an upstream to show itself after a broken connection. A process that restarts takes
/// longer than a connection that is set up again.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pause between two probes.
const PROBE_PAUSE: Duration = Duration::from_millis(100);

/// Time for the table service and the routers to take a suspect. The caller's answer waits for
/// it, because a re-send must find the record.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks the control thread whether the upstream crashed during a run that broke off.
pub async fn upstream_crashed(context: &AgentContext, fingerprint: RequestFingerprint) -> bool {
    let (reply, answer) = oneshot::channel();
    let _ = context.control.send(AgentEvent::ConnectionLost { fingerprint, reply }).await;
    answer.await.unwrap_or(false)
}

/// Looks for the upstream after a broken connection and reports what it shows.
pub async fn probe_upstream(context: Arc<AgentContext>) {
    let limit = Instant::now() + PROBE_TIMEOUT;
    let health = loop {
        // The other runs that the same crash broke off report themselves during the first pause.
        tokio::time::sleep(PROBE_PAUSE).await;
        let health = context.upstream_client.health().await;
        let has_answered =
            matches!(health, UpstreamHealth::Reported(_) | UpstreamHealth::Responding);
        if has_answered || Instant::now() >= limit {
            break health;
        }
    };
    let _ = context.control.send(AgentEvent::UpstreamProbed(health)).await;
}

/// Writes suspects to the table service and sends them to the routers, then answers the runs that
/// wait for it.
pub async fn publish_suspects(
    context: Arc<AgentContext>,
    records: Vec<(RequestFingerprint, SuspectRecord)>,
    routers: Vec<SocketAddr>,
    waiting: Vec<oneshot::Sender<bool>>,
) {
    let writes = records.iter().map(|(fingerprint, record)| {
        let context = &context;
        async move {
            if let Err(error) = context.quarantine.publish(*fingerprint, record).await {
                log::warn!("cannot record a suspect: {error}");
            }
        }
    });
    if records.is_empty() {
        return;
    }
    let publish = join(announce_suspects(&context, &records, &routers), join_all(writes));
    let _ = tokio::time::timeout(PUBLISH_TIMEOUT, publish).await;
    for reply in waiting {
        let _ = reply.send(true);
    }
}

/// Sends what is known of suspects to the routers.
pub async fn announce_suspects(
    context: &AgentContext,
    records: &[(RequestFingerprint, SuspectRecord)],
    routers: &[SocketAddr],
) {
    let entries = records.iter().map(|(fingerprint, record)| suspect_entry(*fingerprint, record));
    let notice = SuspectNotice { entries: entries.collect() };
    let sends = routers.iter().map(|router| {
        let notice = &notice;
        async move {
            if let Err(error) = context.peers.call(*router, notice).await {
                log::warn!(router:% = router; "cannot announce suspects: {error}");
            }
        }
    });
    join_all(sends).await;
}

fn suspect_entry(fingerprint: RequestFingerprint, record: &SuspectRecord) -> SuspectEntry {
    let crashes = record.crashes.iter().map(|(crash, at)| (*crash, *at)).collect();
    SuspectEntry { fingerprint, crashes, excused: record.excused.iter().copied().collect() }
}
