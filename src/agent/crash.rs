//! Distinguishes a crash of the upstream from a broken connection, and publishes suspects.

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

/// Time within which an upstream has to answer after a broken connection. Restarting a process
/// takes longer than reconnecting to it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Pause between two probes.
const PROBE_PAUSE: Duration = Duration::from_millis(100);

/// Time limit for publishing suspects to the table service and the routers. The caller's answer
/// waits for it, because a resent request must find the record.
const PUBLISH_TIMEOUT: Duration = Duration::from_secs(1);

/// Asks the control thread whether the upstream crashed during a run that lost its connection.
pub async fn upstream_crashed(context: &AgentContext, fingerprint: RequestFingerprint) -> bool {
    let (reply, answer) = oneshot::channel();
    let _ = context.control.send(AgentEvent::ConnectionLost { fingerprint, reply }).await;
    answer.await.unwrap_or(false)
}

/// Probes the upstream after a broken connection and reports the result to the control thread.
pub async fn probe_upstream(context: Arc<AgentContext>) {
    let deadline = Instant::now() + PROBE_TIMEOUT;
    let health = loop {
        // Other runs interrupted by the same crash are reported during the first pause.
        tokio::time::sleep(PROBE_PAUSE).await;
        let health = context.upstream_client.health().await;
        let has_answered =
            matches!(health, UpstreamHealth::Reported(_) | UpstreamHealth::Responding);
        if has_answered || Instant::now() >= deadline {
            break health;
        }
    };
    let _ = context.control.send(AgentEvent::UpstreamProbed(health)).await;
}

/// Publishes suspects to the table service and the routers, then answers the waiting runs.
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

/// Sends the records of suspects to the routers.
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
