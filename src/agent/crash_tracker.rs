//! The control thread's record of the upstream's crashes and of the requests that were in flight.

use std::time::{Duration, SystemTime};

use tokio::sync::oneshot;

use super::events::UpstreamHealth;
use crate::decision::quarantine::{
    QuarantineRegister, RequestFingerprint, SuspectRecord, crash_id,
};
use crate::ids::{BootId, UpstreamId};

/// Time within which a broken run is put down to a boot that was already replaced.
const LATE_REPORT_WINDOW: Duration = Duration::from_secs(1);

/// Suspects with what is known of them.
pub type SuspectList = Vec<(RequestFingerprint, SuspectRecord)>;

/// Replies to the runs that wait to hear whether the upstream crashed.
pub type CrashReplies = Vec<oneshot::Sender<bool>>;

/// Crashes of one upstream.
#[derive(Debug)]
pub struct CrashTracker {
    upstream: UpstreamId,
    boot: Option<BootId>,
    /// The boot before, with the time at which its successor was seen.
    ended: Option<(BootId, SystemTime)>,
    /// Runs that broke off since the last probe: the requests that were in flight.
    waiting: Vec<(RequestFingerprint, oneshot::Sender<bool>)>,
    register: QuarantineRegister,
    /// Crashes of boots whose id was never read.
    unidentified_boots: u64,
}

impl CrashTracker {
    /// Creates a watch that knows of no crash.
    pub fn new(upstream: &UpstreamId) -> Self {
        Self {
            upstream: upstream.clone(),
            boot: None,
            ended: None,
            waiting: Vec::new(),
            register: QuarantineRegister::default(),
            unidentified_boots: 0,
        }
    }

    /// Notes the boot id, unless a probe is about to compare it.
    pub fn record_boot(&mut self, boot: &BootId, now: SystemTime) {
        if !self.waiting.is_empty() || self.boot.as_ref() == Some(boot) {
            return;
        }
        let ended = self.boot.replace(boot.clone());
        self.ended = ended.map(|ended| (ended, now));
    }

    /// Notes a run that broke off; returns whether the upstream must be probed.
    pub fn record_broken_run(
        &mut self,
        fingerprint: RequestFingerprint,
        reply: oneshot::Sender<bool>,
    ) -> bool {
        self.waiting.push((fingerprint, reply));
        self.waiting.len() == 1
    }

    /// Takes the result of a probe. An upstream that refuses connections has crashed too: the
    /// agent is beside it, so that a lasting loss of the connection between them is unlikely.
    pub fn handle_probe(
        &mut self,
        health: &UpstreamHealth,
        now: SystemTime,
    ) -> (SuspectList, CrashReplies) {
        let (in_flight, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.waiting).into_iter().unzip();
        let Some(ended) = self.replaced_boot(health, now) else {
            for reply in waiting {
                // A run that was dropped meanwhile needs no answer.
                let _ = reply.send(false);
            }
            return (Vec::new(), Vec::new());
        };
        let crash = crash_id(&self.upstream, &ended);
        log::warn!(upstream:% = self.upstream, in_flight = in_flight.len(); "the upstream crashed");
        (self.register.record_crash(crash, &in_flight, now), waiting)
    }

    /// The boot that a probe shows to have ended.
    fn replaced_boot(&mut self, health: &UpstreamHealth, now: SystemTime) -> Option<BootId> {
        let boot = match health {
            UpstreamHealth::Reported(report) => Some(report.boot.clone()),
            UpstreamHealth::ConnectionRefused => None,
            UpstreamHealth::Responding | UpstreamHealth::Unknown => return None,
        };
        if boot.is_some() && (boot == self.boot || self.boot.is_none()) {
            self.boot = boot;
            // The new boot may have been seen before the runs that its start broke off.
            let (ended, seen) = self.ended.clone()?;
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
