//! Tracks crashes of the upstream and the requests that were in flight at each. Owned by the
//! control thread.

use std::time::{Duration, SystemTime};

use tokio::sync::oneshot;

use super::events::UpstreamHealth;
use crate::decision::quarantine::{
    QuarantineRegister, RequestFingerprint, SuspectRecord, crash_id,
};
use crate::ids::{BootId, UpstreamId};

/// Time after a new boot was seen within which a broken run is attributed to the previous boot.
const LATE_REPORT_WINDOW: Duration = Duration::from_secs(1);

/// Suspects with their records.
pub type SuspectRecords = Vec<(RequestFingerprint, SuspectRecord)>;

/// Channels to the runs that wait to learn whether the upstream crashed.
pub type CrashReplies = Vec<oneshot::Sender<bool>>;

/// Tracks the crashes of one upstream.
#[derive(Debug)]
pub struct CrashTracker {
    upstream: UpstreamId,
    boot: Option<BootId>,
    /// The previous boot, with the time at which its successor was first seen.
    previous_boot: Option<(BootId, SystemTime)>,
    /// Runs that lost their connection since the last probe; if the upstream crashed, these were
    /// in flight.
    waiting: Vec<(RequestFingerprint, oneshot::Sender<bool>)>,
    register: QuarantineRegister,
    /// Number of crashed boots whose id was never read.
    unidentified_boots: u64,
}

impl CrashTracker {
    /// Creates a tracker without crashes.
    pub fn new(upstream: &UpstreamId) -> Self {
        Self {
            upstream: upstream.clone(),
            boot: None,
            previous_boot: None,
            waiting: Vec::new(),
            register: QuarantineRegister::default(),
            unidentified_boots: 0,
        }
    }

    /// Records the boot id, unless a pending probe is about to compare it.
    pub fn record_boot(&mut self, boot: &BootId, now: SystemTime) {
        if !self.waiting.is_empty() || self.boot.as_ref() == Some(boot) {
            return;
        }
        let ended = self.boot.replace(boot.clone());
        self.previous_boot = ended.map(|ended| (ended, now));
    }

    /// Records a run that lost its connection; returns whether a probe must be started.
    pub fn record_broken_run(
        &mut self,
        fingerprint: RequestFingerprint,
        reply: oneshot::Sender<bool>,
    ) -> bool {
        self.waiting.push((fingerprint, reply));
        self.waiting.len() == 1
    }

    /// Handles the result of a probe; returns the suspects of a crash and the runs to answer. An
    /// upstream that refuses connections counts as crashed: the agent runs beside it, so a
    /// lasting network failure between them is unlikely.
    pub fn handle_probe(
        &mut self,
        health: &UpstreamHealth,
        now: SystemTime,
    ) -> (SuspectRecords, CrashReplies) {
        let (in_flight, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waiting).into_iter().unzip();
        let Some(ended) = self.replaced_boot(health, now) else {
            for reply in waiting {
                // Fails only if the run was dropped in the meantime.
                let _ = reply.send(false);
            }
            return (Vec::new(), Vec::new());
        };
        let crash = crash_id(&self.upstream, &ended);
        log::warn!(upstream:% = self.upstream, in_flight = in_flight.len(); "the upstream crashed");
        (self.register.record_crash(crash, &in_flight, now), waiting)
    }

    /// Returns the boot that has ended according to a probe.
    fn replaced_boot(&mut self, health: &UpstreamHealth, now: SystemTime) -> Option<BootId> {
        let boot = match health {
            UpstreamHealth::Reported(report) => Some(report.boot.clone()),
            UpstreamHealth::ConnectionRefused => None,
            UpstreamHealth::Responding | UpstreamHealth::Unknown => return None,
        };
        if boot.is_some() && (boot == self.boot || self.boot.is_none()) {
            self.boot = boot;
            // A health check may have seen the new boot before the interrupted runs were reported.
            let (ended, seen) = self.previous_boot.clone()?;
            let recent = now.duration_since(seen).unwrap_or_default() < LATE_REPORT_WINDOW;
            return recent.then_some(ended);
        }
        let ended = std::mem::replace(&mut self.boot, boot);
        Some(ended.unwrap_or_else(|| {
            self.unidentified_boots += 1;
            format!("unnamed-{}", self.unidentified_boots).into()
        }))
    }
}
