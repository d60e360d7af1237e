//! Membership: which nodes may be given work.
//!
//! The VM list of the platform is only the initial source, because it lags. What a node observes
//! directly, and what others announce about themselves, takes precedence.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::configuration::FleetConfiguration;
use crate::ids::{DataCentreId, Incarnation, NodeId};

/// Time after a failed contact after which a node that has not answered since counts as silent.
pub const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a node that is neither listed nor answers is removed.
pub const REMOVE_AFTER: Duration = Duration::from_secs(30);

/// State of a node in the VM list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// The VM is running.
    Live,
    /// The platform is about to stop the VM.
    Leaving,
}

/// Direct observation of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberEvent {
    /// The node answered.
    Answered(Incarnation),
    /// A call to the node failed or timed out.
    Failed,
    /// The node announced that it is shutting down.
    AnnouncedLeaving(Incarnation),
}

/// Reason why a node is given no new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum MemberExclusion {
    /// The node is not a known member.
    #[display("unknown")]
    Unknown,
    /// The node is shutting down, as announced by itself or by the VM list.
    #[display("leaving")]
    Leaving,
    /// The node does not answer.
    #[display("silent")]
    Silent,
    /// The node's data centre or upstream was taken out of service.
    #[display("taken out")]
    TakenOut,
}

#[derive(Clone, Debug)]
struct MemberRecord {
    data_centre: DataCentreId,
    listed: Option<ListedState>,
    incarnation: Option<Incarnation>,
    /// Incarnation that is shutting down. The inner `None` stands for the incarnation that was
    /// running when the VM list changed, if no incarnation was known.
    leaving: Option<Option<Incarnation>>,
    failing_since: Option<Instant>,
    last_seen: Instant,
}

/// Members of the fleet as observed by one node.
#[derive(Clone, Debug, Default)]
pub struct MembershipView {
    members: IndexMap<NodeId, MemberRecord>,
}

impl MemberRecord {
    fn new(data_centre: DataCentreId, now: Instant) -> Self {
        Self {
            data_centre,
            listed: None,
            incarnation: None,
            leaving: None,
            failing_since: None,
            last_seen: now,
        }
    }

    fn record_answer(&mut self, incarnation: Incarnation, now: Instant) {
        let restarted = self.incarnation.is_some_and(|known| incarnation > known);
        let left = self.leaving.flatten();
        // A new process of the same node is not the one that was shutting down.
        if restarted || left.is_some_and(|left| incarnation > left) {
            self.leaving = None;
        }
        self.incarnation = self.incarnation.max(Some(incarnation));
        self.failing_since = None;
        self.last_seen = now;
    }

    fn record_listing(&mut self, state: ListedState, now: Instant) {
        // Only the change to "leaving" counts, because the list still says so after a restart.
        if state == ListedState::Leaving && self.listed != Some(ListedState::Leaving) {
            self.leaving = Some(self.incarnation);
        }
        self.listed = Some(state);
        self.last_seen = now;
    }

    fn is_silent(&self, now: Instant) -> bool {
        self.failing_since
            .is_some_and(|since| now.saturating_duration_since(since) >= SILENCE_TIMEOUT)
    }
}

impl MembershipView {
    /// Applies a new VM list. Nodes that are no longer listed stay members while they answer.
    pub fn apply_vm_list(&mut self, vm_list: &[(NodeId, DataCentreId, ListedState)], now: Instant) {
        for (id, record) in &mut self.members {
            if !vm_list.iter().any(|(listed, _, _)| listed == id) {
                record.listed = None;
            }
        }
        for (id, centre, state) in vm_list {
            let record = self
                .members
                .entry(id.clone())
                .or_insert_with(|| MemberRecord::new(centre.clone(), now));
            record.record_listing(*state, now);
        }
        self.members.retain(|_, record| {
            let recent = now.saturating_duration_since(record.last_seen) < REMOVE_AFTER;
            record.listed.is_some() || recent
        });
    }

    /// Records a direct observation.
    pub fn observe(
        &mut self,
        id: &NodeId,
        centre: &DataCentreId,
        event: MemberEvent,
        now: Instant,
    ) {
        let record = self
            .members
            .entry(id.clone())
            .or_insert_with(|| MemberRecord::new(centre.clone(), now));
        match event {
            MemberEvent::Answered(incarnation) => record.record_answer(incarnation, now),
            MemberEvent::Failed => {
                record.failing_since.get_or_insert(now);
            }
            MemberEvent::AnnouncedLeaving(incarnation) => {
                if record.incarnation.is_none_or(|known| incarnation >= known) {
                    record.leaving = Some(Some(incarnation));
                }
            }
        }
    }

    /// Checks whether the agent `id` of `upstream` may be given new work.
    pub fn check(
        &self,
        id: &str,
        upstream: &str,
        configuration: &FleetConfiguration,
        now: Instant,
    ) -> Result<(), MemberExclusion> {
        let record = self.members.get(id).ok_or(MemberExclusion::Unknown)?;
        if !configuration.takes_work(upstream, &record.data_centre) {
            return Err(MemberExclusion::TakenOut);
        }
        if record.leaving.is_some() {
            return Err(MemberExclusion::Leaving);
        }
        if record.is_silent(now) {
            return Err(MemberExclusion::Silent);
        }
        Ok(())
    }

    /// Iterates over all members.
    pub fn nodes(&self) -> impl Iterator<Item = &NodeId> {
        self.members.keys()
    }

    /// Returns whether a node is a member.
    pub fn contains(&self, id: &str) -> bool {
        self.members.contains_key(id)
    }
}
