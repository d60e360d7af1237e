//! Records the progress and the end of calls that were sent to upstreams.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::call::CallOutcome;
use super::dispatcher::{DirectDispatcher, GrantedCall};
use super::part_suspects::BrokenCall;
use super::stated_load::ReceivedLoad;
use super::stream_pace::EndedStream;
use super::upstream_notices::{NoticedUpstream, UpstreamNotice};
use super::version_evidence::AnswerQuality;
use super::waiting::ChangedUpstreams;
use crate::decision::quarantine::crash_id;
use crate::ids::{GrantId, UpstreamId};

impl DirectDispatcher {
    /// Records a statement in the answer to a call; returns what it changes.
    pub fn record_notice(
        &mut self,
        grant: GrantId,
        notice: UpstreamNotice,
        now: Instant,
    ) -> Option<NoticedUpstream> {
        let call = self.grants.get(&grant)?;
        if !self.notices.record(&call.upstream, call.started, notice, now) {
            return None;
        }
        // Pending calls with this candidate need other ones.
        self.changed = ChangedUpstreams::All;
        let until = self.notices.paused_until(&call.upstream, call.started, now);
        Some(NoticedUpstream {
            upstream: Arc::clone(&call.upstream),
            left_out_for: until.map(|until| until.duration_since(now)),
        })
    }

    /// Records the load that an upstream stated in the head of a call's answer.
    pub fn record_stated_load(&mut self, grant: GrantId, received: ReceivedLoad) {
        let Some(call) = self.grants.get(&grant) else { return };
        if let Some(load) = self.upstreams.get_mut(&call.upstream)
            && load.entry.started == call.started
        {
            load.stated.record(received, load.own.running);
        }
    }

    /// Records the first event of a call's answer, `waited` after the call was sent. The event was
    /// read about `own_delay` after it arrived at the router.
    pub fn record_first_event(
        &mut self,
        grant: GrantId,
        waited: Duration,
        own_delay: Duration,
        now: Instant,
    ) {
        let Some(call) = self.grants.get_mut(&grant) else { return };
        if call.first_event_at.replace(now).is_some() {
            return;
        }
        self.own_delay = own_delay;
        self.notices.record_answer(&call.upstream, grant);
        self.part_suspects.record_alive(&call.upstream, grant, now);
        self.changed.insert(&call.upstream);
        if let Some(load) = self.upstreams.get_mut(&call.upstream) {
            load.end_wait(call.uncached_tokens, std::mem::take(&mut call.is_unread));
            load.record_first_event(call.queued_tokens, waited.saturating_sub(own_delay), now);
        }
    }

    /// Records that a stream ended, after so many writes, and whether it was complete.
    pub fn record_stream(&mut self, grant: GrantId, writes: u32, is_complete: bool, now: Instant) {
        let Some(call) = self.grants.get(&grant) else { return };
        let Some(load) = self.upstreams.get(&call.upstream) else { return };
        if let (Some(service), Some(first_event_at)) =
            (self.services.get_mut(&load.entry.service), call.first_event_at)
        {
            let stream = EndedStream {
                route: Arc::clone(&call.route),
                writes,
                time: now.saturating_duration_since(first_event_at),
                allowed_time: call.deadline.saturating_duration_since(first_event_at),
                is_complete,
            };
            service.pace.record_stream(&stream, now);
        }
    }

    /// Records the end of a call; returns the upstream when it probably went down.
    pub fn record_end(
        &mut self,
        grant: GrantId,
        outcome: CallOutcome,
        late: bool,
        now: Instant,
    ) -> Option<UpstreamId> {
        let call = self.grants.swap_remove(&grant)?;
        self.changed.insert(&call.upstream);
        if matches!(outcome, CallOutcome::Completed | CallOutcome::Failed) {
            self.notices.record_answer(&call.upstream, grant);
        } else {
            self.notices.record_unanswered(&call.upstream, grant);
        }
        match outcome {
            CallOutcome::Broken => {
                self.suspects.record(call.fingerprint, now);
                self.suspect_parts(&call, now);
            }
            CallOutcome::Completed => {
                if self.crash_count(call.fingerprint) > 0 {
                    self.suspects.clear(call.fingerprint, now);
                }
                self.part_suspects.record_alive(&call.upstream, grant, now);
                self.part_suspects.record_answered(&call.shared_parts, now);
            }
            _ => {}
        }
        if matches!(outcome, CallOutcome::Declined | CallOutcome::Unreachable)
            && let Some(team) = &call.team
        {
            // The call did not run, so its work is not charged to the team.
            self.demand.record_sent(team, -call.work, now);
        }
        let load = self.upstreams.get_mut(&call.upstream)?;
        load.own.running = load.own.running.saturating_sub(1);
        load.own.held_tokens = load.own.held_tokens.saturating_sub(call.held_tokens);
        if call.first_event_at.is_none() {
            load.end_wait(call.uncached_tokens, call.is_unread);
        }
        if let Some(trial) = self.trials.get_mut(&load.entry.service) {
            let counted = !matches!(
                outcome,
                CallOutcome::Abandoned
                    | CallOutcome::Unsent
                    | CallOutcome::Declined
                    | CallOutcome::Misdirected
            );
            if counted {
                let quality = match outcome {
                    CallOutcome::Completed if late => AnswerQuality::Late,
                    CallOutcome::Completed => AnswerQuality::Good,
                    _ => AnswerQuality::Failed,
                };
                let of_target = load.entry.version == trial.order().target;
                trial.record(&call.route, of_target, quality, now);
            }
        }
        let down = load.record_outcome(outcome, now);
        if load.is_backing_off(now) {
            // Pending calls with this candidate need other ones.
            self.changed = ChangedUpstreams::All;
        }
        if !down {
            return None;
        }
        // The upstream has probably restarted, and is cold when it returns.
        if let Some(service) = self.services.get(&load.entry.service) {
            load.cold.mark_cold_until(now + service.entry.cold_period);
        }
        Some(call.upstream)
    }

    /// Blames the crash of an upstream, if it is one, on the parts of a call that it broke.
    fn suspect_parts(&mut self, call: &GrantedCall, now: Instant) {
        let started = self.upstreams.get(&call.upstream).and_then(|load| load.entry.started);
        let broken = BrokenCall {
            upstream: &call.upstream,
            crash: crash_id(&call.upstream, &format!("{started:?}")),
            parts: &call.shared_parts,
            answering_for: call.first_event_at.map(|at| now.saturating_duration_since(at)),
        };
        self.part_suspects.record_broken(&broken, self.next_grant, now);
    }
}
