//! What upstreams state about themselves in their answers: that they leave, or that they want no
//! calls for a while.
//!
//! A statement holds for one incarnation of an upstream. It stays when the upstream's entry lapses
//! or still says otherwise, and ends with the incarnation.

use std::time::{Duration, Instant, SystemTime};

use indexmap::IndexMap;

use crate::ids::{GrantId, UpstreamId};

/// Longest pause that an upstream may ask for.
pub const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Maximum number of upstreams whose statements are kept; the oldest is dropped.
const MAX_KNOWN: usize = 4096;

/// A statement of an upstream about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, derive_more::Display)]
pub enum UpstreamNotice {
    /// It is about to stop.
    #[display("leaving")]
    Leaving,
    /// It wants no calls of this router for this time.
    #[display("pause")]
    Pause(Duration),
}

/// A statement that changes what a router sends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NoticedUpstream {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Time for which it gets no calls; `None` when it gets none any more.
    pub left_out_for: Option<Duration>,
}

/// Start of an upstream's process by the wall clock, which identifies its incarnation.
pub type UpstreamStart = Option<SystemTime>;

#[derive(Clone, Copy, Debug)]
struct KnownNotice {
    started: UpstreamStart,
    is_leaving: bool,
    paused_until: Option<Instant>,
    /// First call after the pause, while it has no answer.
    probe: Option<GrantId>,
}

/// Statements of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct UpstreamNotices {
    known: IndexMap<UpstreamId, KnownNotice>,
    resumed: Vec<UpstreamId>,
}

impl UpstreamNotices {
    /// Records a statement of the incarnation that started at `started`; returns whether it changes
    /// anything. A statement of an earlier incarnation than the known one is ignored.
    pub fn record(
        &mut self,
        upstream: &UpstreamId,
        started: UpstreamStart,
        notice: UpstreamNotice,
        now: Instant,
    ) -> bool {
        let known_start = self.known.get(upstream).map(|known| known.started);
        if known_start.is_some_and(|known_start| known_start > started) {
            return false;
        }
        if known_start != Some(started) {
            self.known.shift_remove(upstream);
            if self.known.len() >= MAX_KNOWN {
                self.known.shift_remove_index(0);
            }
        }
        let known = self.known.entry(UpstreamId::clone(upstream)).or_insert(KnownNotice {
            started,
            is_leaving: false,
            paused_until: None,
            probe: None,
        });
        match notice {
            UpstreamNotice::Leaving => !std::mem::replace(&mut known.is_leaving, true),
            UpstreamNotice::Pause(pause) => {
                let until = Some(now + pause.min(MAX_PAUSE));
                let is_longer = until > known.paused_until;
                known.paused_until = until.max(known.paused_until);
                known.probe = None;
                is_longer
            }
        }
    }

    /// Returns whether an upstream gets no calls now.
    pub fn is_left_out(&self, upstream: &str, started: UpstreamStart, now: Instant) -> bool {
        self.of(upstream, started).is_some_and(|known| known.is_leaving || known.is_paused(now))
    }

    /// Returns when an upstream that asked for a pause may get calls again; `None` for one that
    /// leaves or is not paused.
    pub fn paused_until(
        &self,
        upstream: &str,
        started: UpstreamStart,
        now: Instant,
    ) -> Option<Instant> {
        let known = self.of(upstream, started)?;
        known.paused_until.filter(|until| now < *until && !known.is_leaving)
    }

    /// Returns whether an upstream whose pause is over has not answered its first call yet.
    pub fn awaits_probe(&self, upstream: &str, started: UpstreamStart) -> bool {
        self.of(upstream, started).is_some_and(|known| known.probe.is_some())
    }

    /// Records a call that is sent; the first one after a pause is a probe.
    pub fn record_send(&mut self, upstream: &str, grant: GrantId) {
        if let Some(known) = self.known.get_mut(upstream)
            && known.paused_until.is_some()
        {
            known.probe.get_or_insert(grant);
        }
    }

    /// Records an answer; that of a probe ends the pause.
    pub fn record_answer(&mut self, upstream: &UpstreamId, grant: GrantId) {
        let Some(known) = self.known.get_mut(upstream) else { return };
        if known.probe != Some(grant) {
            return;
        }
        known.probe = None;
        known.paused_until = None;
        if !known.is_leaving {
            self.known.shift_remove(upstream);
            self.resumed.push(UpstreamId::clone(upstream));
        }
    }

    /// Removes and returns the upstreams whose pauses ended.
    pub fn take_resumed(&mut self) -> Vec<UpstreamId> {
        std::mem::take(&mut self.resumed)
    }

    /// Records a call that ended without an answer, so that another one may be the probe.
    pub fn record_unanswered(&mut self, upstream: &str, grant: GrantId) {
        if let Some(known) = self.known.get_mut(upstream)
            && known.probe == Some(grant)
        {
            known.probe = None;
        }
    }

    /// Returns the number of upstreams that leave or pause.
    pub fn left_out_count(&self, now: Instant) -> usize {
        self.known.values().filter(|known| known.is_leaving || known.is_paused(now)).count()
    }

    fn of(&self, upstream: &str, started: UpstreamStart) -> Option<&KnownNotice> {
        self.known.get(upstream).filter(|known| known.started == started)
    }
}

impl KnownNotice {
    fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }
}
