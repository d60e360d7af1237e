//! Drives version moves: collects evidence from the routers, decides the next state of each move
//! and records it in the configuration.

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

/// Timeout of a request for evidence to one router.
const EVIDENCE_TIMEOUT: Duration = Duration::from_millis(400);

/// Last cumulative counts of each router process, move and route. Only the increments are added
/// to the evidence.
type ReportedCounts = IndexMap<(NodeId, Incarnation, MoveId, RouteId), RouteEvidence>;

/// Evidence that the lease holder has collected about the moves in progress.
#[derive(Default)]
pub struct MoveDriver {
    evidence: IndexMap<MoveId, MoveEvidence>,
    faults: IndexMap<MoveId, MoveFault>,
    reported: ReportedCounts,
}

/// New state of a move, to be recorded in the configuration.
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

/// Fetches the evidence of all routers, including this one. Routers that do not answer are left
/// out; their counts are cumulative, so the next round includes them.
pub async fn fetch_evidence(context: &FleetContext) -> Vec<(NodeId, EvidenceReply)> {
    let members = context.members.borrow().clone();
    let own = context.card();
    let routers = members.values().filter(|member| member.card.role == VmRole::Router);
    let mut targets: Vec<_> =
        routers.map(|member| (member.card.node.clone(), member.card.address)).collect();
    targets.push((own.node, own.address));
    let requests = targets.into_iter().map(|(node, address)| async move {
        let call = context.peers.call(address, &EvidenceRequest {});
        let answer = tokio::time::timeout(EVIDENCE_TIMEOUT, call).await.ok()?.ok()?;
        Some((node, answer))
    });
    join_all(requests).await.into_iter().flatten().collect()
}

impl MoveDriver {
    /// Adds the faults and the increments of the counts in the routers' replies.
    pub fn add_evidence(
        &mut self,
        configuration: &FleetConfiguration,
        replies: Vec<(NodeId, EvidenceReply)>,
    ) {
        let is_running = |id: &MoveId| {
            configuration.moves.get(id).is_some_and(|entry| !entry.progress.has_ended())
        };
        self.evidence.retain(|id, _| is_running(id));
        self.faults.retain(|id, _| is_running(id));
        self.reported.retain(|(_, _, id, _), _| is_running(id));
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

    /// Adds the increments of one router's counts for one route.
    fn add_counts(&mut self, (node, incarnation): (NodeId, Incarnation), counts: RouteEvidence) {
        let key = (node, incarnation, counts.id.clone(), counts.route.clone());
        let (old, new) = (counts.old, counts.new);
        let before = self.reported.insert(key, counts.clone());
        let (old_before, new_before) =
            before.map_or(((0, 0), (0, 0, 0)), |before| (before.old, before.new));
        let comparison = self.evidence.entry(counts.id.clone()).or_default().route(&counts.route);
        comparison.record_old(CallCounts {
            calls: old.0.saturating_sub(old_before.0),
            errors: old.1.saturating_sub(old_before.1),
            slow: 0,
        });
        let new_counts = CallCounts {
            calls: new.0.saturating_sub(new_before.0),
            errors: new.1.saturating_sub(new_before.1),
            slow: new.2.saturating_sub(new_before.2),
        };
        if let Some(fault) = comparison.record_new(&counts.route, new_counts) {
            self.faults.entry(counts.id).or_insert(fault);
        }
    }

    /// Returns the state changes that are due at `now`.
    pub fn due_updates(
        &self,
        configuration: &FleetConfiguration,
        members: &MemberList,
        now: SystemTime,
    ) -> Vec<MoveUpdate> {
        let running = configuration.moves.iter().filter(|(_, entry)| !entry.progress.has_ended());
        running
            .filter_map(|(id, entry)| {
                let state = self.next_state(id, entry, members, now);
                MoveUpdate::from_state(id, entry, &state, now)
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
        // Too few upstreams have loaded the new version: wait, or revert after the deadline.
        if now >= entry.deadline { state.revert(MoveFault::NotLoaded, now) } else { state }
    }
}

/// Counts the available upstreams that have loaded the old and the new version.
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

/// Counts the upstreams that the platform has started for the new version.
fn count_assigned(entry: &MoveEntry, members: &MemberList) -> usize {
    let assigned = members.values().filter(|member| {
        let labels = &member.card.labels;
        labels.service.as_ref() == Some(&entry.service)
            && labels.version.as_ref() == Some(&entry.to)
    });
    assigned.count()
}

impl MoveUpdate {
    /// Returns the update that changes `entry` to `state`; `None` if they agree.
    fn from_state(
        id: &MoveId,
        entry: &MoveEntry,
        state: &MoveState,
        now: SystemTime,
    ) -> Option<Self> {
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

    /// Applies the update to a document, unless the move has ended or was removed there.
    pub fn apply(&self, document: &mut RawConfiguration) {
        let ended = |state: &str| state == "done" || state == "taken back";
        let mut moves = document.moves.iter_mut();
        let found = moves.find(|entry| *entry.id == *self.id && !ended(&entry.state));
        let Some(entry) = found else { return };
        entry.state = self.progress.to_string();
        entry.share = self.share;
        entry.reason.clone_from(&self.reason);
        entry.changed = Some(humantime::format_rfc3339_millis(self.at).to_string());
        if self.progress == MoveProgress::Done {
            let mut services = document.services.iter_mut();
            if let Some(service) = services.find(|service| service.id == self.service) {
                service.version.clone_from(&self.to);
            }
        }
    }

    /// Logs the update.
    pub fn log(&self) {
        let (id, service, version) = (&self.id, &self.service, &self.to);
        match &self.reason {
            Some(reason) => log::warn!(
                move_id:% = id, service, version; "version move taken back: {reason}"
            ),
            None => log::info!(
                move_id:% = id, service, version, state:% = self.progress, share = self.share;
                "version move advanced"
            ),
        }
    }
}
