//! Refuses calls with parts of prompts under which upstreams crash, whatever else the calls hold.
//!
//! Routers report the crashes that broke calls before or just as their answers began, and each of
//! them weighs the evidence of all. An upstream that goes on with calls from before a broken
//! connection has not crashed, and what was blamed on it is dropped. A single call is sent now and
//! then as a probe, so that a part that is refused by mistake is cleared: while few crashes speak
//! against the part, or if the call lacks a part that may be the cause instead.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};

use super::call::PromptShape;
use super::part_evidence::{CrashSighting, FleetEvidence, PartReport, PoisonPart, ReceivedPart};
use crate::decision::quarantine::CrashId;
use crate::ids::{GrantId, PromptPartId, UpstreamId};

/// Time after the first event of an answer during which its call may still be the cause of a crash.
const START_TIME: Duration = Duration::from_millis(250);

/// Time after a broken connection from which an answer to an earlier call shows that the upstream
/// lives. Answers that arrived before the crash may be handled a little after it.
const ALIVE_DELAY: Duration = Duration::from_millis(50);

/// Time for which a crash counts against parts that are not refused.
const CRASH_RETENTION: Duration = Duration::from_secs(60);

/// Time for which a part is refused after its last crash.
const REFUSAL_TIME: Duration = Duration::from_secs(600);

/// Longest delay after which callers of a refused part are asked to return; the part may be cleared
/// before its refusal ends.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Crashes from which a refused part without rivals is no longer probed.
const MAX_PROBED_CRASHES: usize = 5;

/// Time after a crash or a probe of a refused part at which the first router in line probes it.
const PROBE_DELAY: Duration = Duration::from_secs(5);

/// The same for a call that lacks one of the parts that may be the cause.
const RIVAL_PROBE_DELAY: Duration = Duration::from_secs(1);

/// Additional time for each router before this one in line.
const PROBE_STEP: Duration = Duration::from_millis(500);

/// Maximum number of crashes and of answered parts that are kept.
const MAX_CRASHES: usize = 64;
const MAX_ANSWERED_PARTS: usize = 8192;

/// Maximum number of parts in a report, and of the crashes of a refused part there.
const MAX_REPORTED_PARTS: usize = 48;
const MAX_REPORTED_CRASHES: usize = 16;

/// A call whose connection ended.
#[derive(Clone, Debug)]
pub struct BrokenCall<'a> {
    /// Upstream of the call.
    pub upstream: &'a UpstreamId,
    /// Identifies this crash of the upstream, should it be one.
    pub crash: CrashId,
    /// Shared parts of the prompt.
    pub parts: &'a [PromptPartId],
    /// Time since the first event of the answer, if there was one.
    pub answering_for: Option<Duration>,
}

/// A change of the set of refused parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PartVerdict {
    /// Calls with the part are refused from now on.
    Refused {
        /// The part.
        part: PromptPartId,
        /// Number of crashes that decided.
        crashes: usize,
    },
    /// Calls with the part are sent again.
    Cleared {
        /// The part.
        part: PromptPartId,
    },
}

/// A crash as this router saw it.
#[derive(Clone, Debug)]
struct SeenCrash {
    id: CrashId,
    upstream: UpstreamId,
    at: Instant,
    /// Grants below this one were given before the crash.
    next_grant: GrantId,
    parts: IndexSet<PromptPartId>,
}

/// A part whose calls are refused.
#[derive(Clone, Debug)]
struct RefusedPart {
    /// Crashes of all routers. They are reported to peers, so that a router that starts anew learns
    /// them from any other.
    crashes: IndexMap<CrashId, Instant>,
    last_crash: Instant,
    /// Parts that may be the cause instead.
    rivals: Vec<PromptPartId>,
    probed_at: Option<Instant>,
}

/// Parts that are suspected, and those whose calls are refused.
#[derive(Clone, Debug, Default)]
pub struct PartSuspects {
    crashes: Vec<SeenCrash>,
    answered: IndexMap<PromptPartId, Instant>,
    /// Crashes of each part that this router or a peer suspects.
    suspected: IndexMap<PromptPartId, usize>,
    refused: IndexMap<PromptPartId, RefusedPart>,
}

impl PartSuspects {
    /// Returns the delay after which a call may be tried again, if one of its parts is refused.
    /// `position` is the number of routers before this one in line to probe a part.
    pub fn refusal(
        &mut self,
        prompt: &PromptShape,
        position: u32,
        now: Instant,
    ) -> Option<Duration> {
        if self.refused.is_empty() {
            return None;
        }
        let parts: Vec<PromptPartId> = prompt.shared_parts().iter().map(|part| part.id).collect();
        let refused = |part| self.refused.get(part);
        let delay = parts
            .iter()
            .filter_map(refused)
            .filter(|refused| !refused.may_probe(&parts, position, now))
            .map(|refused| refused.retry_after(now))
            .max();
        if delay.is_none() {
            for part in &parts {
                if let Some(refused) = self.refused.get_mut(part) {
                    refused.probed_at = Some(now);
                }
            }
        }
        delay
    }

    /// Returns whether calls with the part are refused.
    pub fn is_refused(&self, part: PromptPartId) -> bool {
        self.refused.contains_key(&part)
    }

    /// Returns the number of parts whose calls are refused.
    pub fn refused_count(&self) -> usize {
        self.refused.len()
    }

    /// Records a call whose connection ended; `next_grant` is the grant that is given next.
    pub fn record_broken(&mut self, call: &BrokenCall<'_>, next_grant: GrantId, now: Instant) {
        let may_be_cause = call.answering_for.is_none_or(|time| time < START_TIME);
        if call.parts.is_empty() || !may_be_cause {
            return;
        }
        if let Some(known) = self.crashes.iter_mut().find(|known| known.id == call.crash) {
            known.parts.extend(call.parts);
            return;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.crashes.push(SeenCrash {
            id: call.crash,
            upstream: UpstreamId::clone(call.upstream),
            at: now,
            next_grant,
            parts: call.parts.iter().copied().collect(),
        });
    }

    /// Records that an upstream goes on with a call; it has not crashed since it got this call.
    pub fn record_alive(&mut self, upstream: &UpstreamId, grant: GrantId, now: Instant) {
        self.crashes.retain(|crash| {
            crash.upstream != *upstream
                || grant >= crash.next_grant
                || now.saturating_duration_since(crash.at) < ALIVE_DELAY
        });
    }

    /// Records a call that was answered in full. Parts without suspicion are recorded too, since a
    /// part that was answered before is less likely to be the cause of crashes.
    pub fn record_answered(&mut self, parts: &[PromptPartId], now: Instant) {
        for part in parts {
            if self.answered.len() >= MAX_ANSWERED_PARTS && !self.answered.contains_key(part) {
                self.answered.swap_remove_index(0);
            }
            self.answered.insert(*part, now);
        }
    }

    /// Weighs the evidence of this router and its peers anew; returns what it changes.
    pub fn evaluate<'a>(
        &mut self,
        peers: impl Iterator<Item = ReceivedPart<'a>>,
        now: Instant,
    ) -> Vec<PartVerdict> {
        self.crashes.retain(|crash| now.saturating_duration_since(crash.at) < CRASH_RETENTION);
        let evidence = self.collect_evidence(peers, now);
        self.suspected = evidence.crash_counts();
        self.forget_cleared(&evidence);
        let mut before = std::mem::take(&mut self.refused);
        let mut verdicts = Vec::new();
        for part in evidence.poison_parts() {
            let known = before.swap_remove(&part.id);
            if known.is_none() {
                let crashes = part.crashes.len();
                verdicts.push(PartVerdict::Refused { part: part.id, crashes });
            }
            let probed_at = known.and_then(|known| known.probed_at);
            self.refused.insert(part.id, RefusedPart::new(part, probed_at, now));
        }
        verdicts.extend(before.into_keys().map(|part| PartVerdict::Cleared { part }));
        verdicts
    }

    /// Drops the sightings that an answer cleared, so that they are no longer reported.
    fn forget_cleared(&mut self, evidence: &FleetEvidence) {
        for crash in &mut self.crashes {
            let at = crash.at;
            crash.parts.retain(|part| !evidence.is_cleared(*part, at));
        }
        self.crashes.retain(|crash| !crash.parts.is_empty());
    }

    /// Returns the parts with the most crashes, with the last answer of each.
    pub fn report(&self, now: Instant) -> Vec<PartReport> {
        let mut reports = self.own_reports(now);
        let crashes_of =
            |part: &PromptPartId| self.suspected.get(part).copied().unwrap_or_default();
        reports.sort_by_cached_key(|report| std::cmp::Reverse(crashes_of(&report.part)));
        reports.truncate(MAX_REPORTED_PARTS);
        reports
    }

    /// Returns what this router knows of the parts that it or a peer suspects.
    fn own_reports(&self, now: Instant) -> Vec<PartReport> {
        let mut crashes: IndexMap<PromptPartId, IndexMap<CrashId, Instant>> = IndexMap::new();
        for crash in &self.crashes {
            for part in &crash.parts {
                crashes.entry(*part).or_default().insert(crash.id, crash.at);
            }
        }
        for (part, refused) in &self.refused {
            let known = refused.crashes.iter().take(MAX_REPORTED_CRASHES);
            crashes.entry(*part).or_default().extend(known.map(|(id, at)| (*id, *at)));
        }
        for part in self.suspected.keys().filter(|part| self.answered.contains_key(*part)) {
            crashes.entry(*part).or_default();
        }
        let age_of = |at: Instant| now.saturating_duration_since(at);
        crashes
            .into_iter()
            .map(|(part, crashes)| PartReport {
                part,
                crashes: crashes
                    .into_iter()
                    .map(|(crash, at)| CrashSighting { crash, age: age_of(at) })
                    .collect(),
                answered: self.answered.get(&part).copied().map(age_of),
            })
            .collect()
    }

    fn collect_evidence<'a>(
        &self,
        peers: impl Iterator<Item = ReceivedPart<'a>>,
        now: Instant,
    ) -> FleetEvidence {
        let mut evidence = FleetEvidence::default();
        for report in &self.own_reports(now) {
            evidence.add(ReceivedPart { at: now, report }, REFUSAL_TIME, now);
        }
        for received in peers {
            evidence.add(received, REFUSAL_TIME, now);
        }
        evidence.add_answers(&self.answered);
        evidence
    }
}

impl RefusedPart {
    fn new(part: PoisonPart, probed_at: Option<Instant>, now: Instant) -> Self {
        let last_crash = part.crashes.values().max().copied().unwrap_or(now);
        Self { crashes: part.crashes, last_crash, rivals: part.rivals, probed_at }
    }

    /// Returns whether a call with the shared parts `parts` may be sent as a probe.
    fn may_probe(&self, parts: &[PromptPartId], position: u32, now: Instant) -> bool {
        let lacks_rival = self.rivals.iter().any(|rival| !parts.contains(rival));
        let delay = if lacks_rival {
            RIVAL_PROBE_DELAY
        } else if self.crashes.len() < MAX_PROBED_CRASHES {
            PROBE_DELAY
        } else {
            return false;
        };
        let since = self.probed_at.map_or(self.last_crash, |at| at.max(self.last_crash));
        now >= since + delay + PROBE_STEP * position
    }

    /// Returns the delay after which callers are asked to return.
    fn retry_after(&self, now: Instant) -> Duration {
        let until = self.last_crash + REFUSAL_TIME;
        until.saturating_duration_since(now).min(MAX_RETRY_AFTER)
    }
}
