//! Driving version moves: evidence from all routers, the next step, the record of it.

use std::time::{Duration, SystemTime};

use futures::future::join_all;
use indexmap::IndexMap;

use crate::configuration::{FleetConfiguration, MoveEntry, MoveProgress, RawConfiguration};
use crate::decision::version_move::{
    CallCounts, MoveEvidence, MoveFault, MoveSchedule, upstreams_needed,
};
use crate::fleet::{FleetContext, FleetMember, MemberList};
use crate::ids::{Incarnation, MoveId, NodeId, RouteId};
use crate::lifecycle::version_move::MoveState;
use crate::protocol::{EvidenceReply, EvidenceRequest, RouteEvidence};
use crate::store::VmRole;

/// Time limit of a question to a router.
const EVIDENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Counts of one router that are part of the evidence already.
type CountsSeen = IndexMap<(NodeId, Incarnation, MoveId, RouteId), RouteEvidence>;

/// Evidence that the lease holder has gathered.
#[derive(Default)]
pub struct MoveDriver {
    evidence: IndexMap<MoveId, MoveEvidence>,
    faults: IndexMap<MoveId, MoveFault>,
    seen: CountsSeen,
}

/// A step of a move that must be recorded.
#[derive(Clone, Debug)]
pub struct MoveUpdate {
    id: MoveId,
    service: String,
    to: String,
    progress: MoveProgress,
    share: f64,
    reason: Option<String>,
    at: SystemTime,
}

/// Asks all routers for their evidence; one that does not answer is asked again next time.
pub async fn ask_routers(context: &FleetContext) -> Vec<(NodeId, EvidenceReply)> {
    let members = context.members.borrow().clone();
    let own = context.card();
    let routers = members.values().filter(|member| member.card.role == VmRole::Router);
    let mut targets: Vec<_> =
        routers.map(|member| (member.card.node.clone(), member.card.address)).collect();
    targets.push((own.node, own.address));
    let questions = targets.into_iter().map(|(node, address)| async move {
        let call = context.peers.call(address, &EvidenceRequest {});
        let answer = tokio::time::timeout(EVIDENCE_TIMEOUT, call).await.ok()?.ok()?;
        Some((node, answer))
    });
    join_all(questions).await.into_iter().flatten().collect()
}

impl MoveDriver {
    /// Adds what routers counted since the last time.
    pub fn take_evidence(
        &mut self,
        configuration: &FleetConfiguration,
        replies: Vec<(NodeId, EvidenceReply)>,
    ) {
        let is_running = |id: &MoveId| {
            configuration.moves.get(id).is_some_and(|entry| !entry.progress.has_ended())
        };
        self.evidence.retain(|id, _| is_running(id));
        self.faults.retain(|id, _| is_running(id));
        self.seen.retain(|(_, _, id, _), _| is_running(id));
        for (node, reply) in replies {
            for notice in reply.faults.into_iter().filter(|notice| is_running(&notice.id)) {
                let fault = if notice.is_slow {
                    MoveFault::Latency(notice.route)
                } else {
                    MoveFault::Errors(notice.route)
                };
                self.faults.entry(notice.id).or_insert(fault);
            }
            for counts in reply.routes.into_iter().filter(|counts| is_running(&counts.id)) {
                self.add_counts((node.clone(), reply.incarnation), counts);
            }
        }
        self.evidence.values_mut().for_each(MoveEvidence::decay);
    }

    fn add_counts(&mut self, (node, incarnation): (NodeId, Incarnation), counts: RouteEvidence) {
        let key = (node, incarnation, counts.id.clone(), counts.route.clone());
        let (old, new) = (counts.old, counts.new);
        let before = self.seen.insert(key, counts.clone());
        let (old_before, new_before) =
            before.map_or(((0, 0), (0, 0, 0)), |before| (before.old, before.new));
        let comparison = self.evidence.entry(counts.id.clone()).or_default().route(&counts.route);
        comparison.record_old(CallCounts {
            calls: old.0.saturating_sub(old_before.0),
            errors: old.1.saturating_sub(old_before.1),
            slow: 0,
        });
        let news = CallCounts {
            calls: new.0.saturating_sub(new_before.0),
            errors: new.1.saturating_sub(new_before.1),
            slow: new.2.saturating_sub(new_before.2),
        };
        if let Some(fault) = comparison.record_new(&counts.route, news) {
            self.faults.entry(counts.id).or_insert(fault);
        }
    }

    /// Returns the steps that are due.
    pub fn decide(
        &self,
        configuration: &FleetConfiguration,
        members: &MemberList,
        now: SystemTime,
    ) -> Vec<MoveUpdate> {
        let running = configuration.moves.iter().filter(|(_, entry)| !entry.progress.has_ended());
        running
            .filter_map(|(id, entry)| {
                let state = self.next_state(id, entry, members, now);
                MoveUpdate::between(id, entry, &state, now)
            })
            .collect()
    }

    fn next_state(
        &self,
        id: &MoveId,
        entry: &MoveEntry,
        members: &MemberList,
        now: SystemTime,
    ) -> MoveState {
        let schedule = MoveSchedule::new(entry.planned, entry.deadline);
        let state = MoveState::resume(schedule, entry.share);
        if let Some(fault) = self.faults.get(id) {
            return state.revert(fault.clone(), now);
        }
        let next = state.clone().advance(now);
        let (old, new) = count_loaded(entry, members);
        if new >= upstreams_needed(next.share(), old, count_assigned(entry, members)) {
            return next;
        }
        // Traffic that cannot have moved by the deadline goes back to the old version.
        if now >= entry.deadline { state.revert(MoveFault::NotLoaded, now) } else { state }
    }
}

/// Counts the upstreams that have loaded the old and the new version and take work.
fn count_loaded(entry: &MoveEntry, members: &MemberList) -> (usize, usize) {
    let serves = |member: &&FleetMember| {
        member.card.labels.service.as_ref() == Some(&entry.service) && member.exclusion.is_none()
    };
    let loaded = |version| {
        let serving = members.values().filter(serves);
        serving.filter(|member| member.loaded.as_ref() == Some(version)).count()
    };
    (loaded(&entry.from), loaded(&entry.to))
}

/// Counts the upstreams that the platform started for the new version.
fn count_assigned(entry: &MoveEntry, members: &MemberList) -> usize {
    let assigned = members.values().filter(|member| {
        let labels = &member.card.labels;
        labels.service.as_ref() == Some(&entry.service)
            && labels.version.as_ref() == Some(&entry.to)
    });
    assigned.count()
}

impl MoveUpdate {
    fn between(id: &MoveId, entry: &MoveEntry, state: &MoveState, now: SystemTime) -> Option<Self> {
        let (progress, reason) = match state {
            MoveState::Planned(_) => (MoveProgress::Planned, None),
            MoveState::Canary(_) => (MoveProgress::Canary, None),
            MoveState::Ramping(_) => (MoveProgress::Ramping, None),
            MoveState::Done(_) => (MoveProgress::Done, None),
            MoveState::Reverted(reverted) => {
                (MoveProgress::TakenBack, Some(reverted.fault().to_string()))
            }
        };
        let share = state.share();
        let unchanged = progress == entry.progress && share.to_bits() == entry.share.to_bits();
        (!unchanged).then(|| Self {
            id: id.clone(),
            service: entry.service.to_string(),
            to: entry.to.to_string(),
            progress,
            share,
            reason,
            at: now,
        })
    }

    /// Records the step in a document; a move that has ended or was removed stays as it is.
    pub fn apply(&self, document: &mut RawConfiguration) {
        let ended = |state: &str| state == "done" || state == "taken back";
        let mut moves = document.moves.iter_mut();
        let found = moves.find(|planned| *planned.id == *self.id && !ended(&planned.state));
        let Some(planned) = found else { return };
        planned.state = self.progress.to_string();
        planned.share = self.share;
        planned.reason.clone_from(&self.reason);
        planned.changed = Some(humantime::format_rfc3339_millis(self.at).to_string());
        if self.progress == MoveProgress::Done {
            let mut services = document.services.iter_mut();
            if let Some(service) = services.find(|service| service.id == self.service) {
                service.version.clone_from(&self.to);
            }
        }
    }

    /// Writes the step to the log.
    pub fn log(&self) {
        let (id, service, version) = (&self.id, &self.service, &self.to);
        match &self.reason {
            Some(reason) => log::warn!(
                move_id:% = id, service, version; "version move taken back: {reason}"
            ),
            None => log::info!(
                move_id:% = id, service, version, state:% = self.progress, share = self.share;
                "version move goes on"
            ),
        }
    }
}
