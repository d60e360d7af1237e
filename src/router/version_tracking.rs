//! This router's state of the running version moves: the assignment of versions to requests, the
//! comparison of both versions by route, and the local stop after a fault. Owned by the control
//! thread.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use tokio::sync::watch;

use crate::configuration::{FleetConfiguration, MoveEntry};
use crate::decision::version_move::{CallCounts, MoveEvidence, MoveFault, VersionSplit};
use crate::ids::{Incarnation, MoveId, RouteId, ServiceId, VersionId};
use crate::protocol::{EvidenceReply, FaultNotice, RouteEvidence};

/// Interval at which recorded outcomes decay.
const DECAY_INTERVAL: Duration = Duration::from_secs(1);

/// Version split by service, used on admission; a service without moves has no entry.
pub type SplitMap = IndexMap<ServiceId, VersionSplit>;

/// A finished call to a service with a version move.
#[derive(Clone, Debug)]
pub struct VersionCall {
    /// Service.
    pub service: ServiceId,
    /// Route.
    pub route: RouteId,
    /// Version that served the call.
    pub version: VersionId,
    /// Whether the call failed through a fault of the upstream.
    pub failed: bool,
    /// Time between the grant and the end of the answer.
    pub latency: Duration,
}

struct TrackedMove {
    entry: MoveEntry,
    evidence: MoveEvidence,
    counts: IndexMap<RouteId, (CallCounts, CallCounts)>,
    fault: Option<FaultNotice>,
}

/// Tracks the running version moves.
pub struct VersionTracker {
    incarnation: Incarnation,
    moves: IndexMap<MoveId, TrackedMove>,
    /// Services whose moves have all ended, with the version in force.
    completed: IndexMap<ServiceId, VersionId>,
    splits: watch::Sender<Arc<SplitMap>>,
    next_decay: Instant,
}

impl VersionTracker {
    /// Creates a tracker without moves, which publishes the version splits to `splits`.
    pub fn new(
        incarnation: Incarnation,
        splits: watch::Sender<Arc<SplitMap>>,
        now: Instant,
    ) -> Self {
        let (moves, completed) = (IndexMap::new(), IndexMap::new());
        Self { incarnation, moves, completed, splits, next_decay: now + DECAY_INTERVAL }
    }

    /// Applies the moves of a configuration and keeps the evidence of moves that continue.
    pub fn configure(&mut self, configuration: &FleetConfiguration) {
        let mut previous = std::mem::take(&mut self.moves);
        self.completed.clear();
        for (id, entry) in &configuration.moves {
            if entry.progress.has_ended() {
                if let Some(service) = configuration.services.get(&entry.service) {
                    self.completed.insert(entry.service.clone(), service.version.clone());
                }
                continue;
            }
            let tracked = previous.swap_remove(id);
            let tracked = tracked.map(|known| TrackedMove { entry: entry.clone(), ..known });
            let tracked = tracked.unwrap_or_else(|| TrackedMove {
                entry: entry.clone(),
                evidence: MoveEvidence::default(),
                counts: IndexMap::new(),
                fault: None,
            });
            self.moves.insert(id.clone(), tracked);
        }
        self.publish();
    }

    /// Records a call; returns the fault if the call is the first to reveal one.
    pub fn record(&mut self, call: &VersionCall) -> Option<FaultNotice> {
        let found = self.moves.iter_mut().find(|(_, tracked)| {
            tracked.entry.service == call.service
                && [&tracked.entry.from, &tracked.entry.to].contains(&&call.version)
        });
        let (id, tracked) = found?;
        let is_new = tracked.entry.to == call.version;
        let evidence = &mut tracked.evidence;
        let (counts, fault) = evidence.record_call(&call.route, is_new, call.failed, call.latency);
        let (old, new) = tracked.counts.entry(call.route.clone()).or_default();
        let sum = if is_new { new } else { old };
        sum.calls += counts.calls;
        sum.errors += counts.errors;
        sum.slow += counts.slow;
        let fault = fault.filter(|_| tracked.fault.is_none())?;
        let is_slow = matches!(fault, MoveFault::Latency(_));
        let notice = FaultNotice { id: id.clone(), route: call.route.clone(), is_slow };
        log::warn!(
            move_id:% = id, service:% = call.service, version:% = call.version;
            "the new version is faulty; sending nothing more to it: {fault}"
        );
        self.record_fault(&notice);
        Some(notice)
    }

    /// Stops the traffic to a new version after a fault that this or another router found.
    pub fn record_fault(&mut self, notice: &FaultNotice) {
        if let Some(tracked) = self.moves.get_mut(&notice.id) {
            tracked.fault.get_or_insert_with(|| notice.clone());
            self.publish();
        }
    }

    /// Returns the counts and faults to report to the lease holder.
    pub fn evidence(&self) -> EvidenceReply {
        let routes = self.moves.iter().flat_map(|(id, tracked)| {
            tracked.counts.iter().map(|(route, (old, new))| RouteEvidence {
                id: id.clone(),
                route: route.clone(),
                old: (old.calls, old.errors),
                new: (new.calls, new.errors, new.slow),
            })
        });
        let faults = self.moves.values().filter_map(|tracked| tracked.fault.clone());
        EvidenceReply {
            incarnation: self.incarnation,
            routes: routes.collect(),
            faults: faults.collect(),
        }
    }

    /// Iterates over the running moves whose new version receives traffic.
    pub fn moves_with_traffic(&self) -> impl Iterator<Item = (&MoveId, &MoveEntry)> {
        let sending = self.moves.iter().filter(|(_, tracked)| tracked.fault.is_none());
        sending.map(|(id, tracked)| (id, &tracked.entry)).filter(|(_, entry)| entry.share > 0.0)
    }

    /// Returns the version to assign instead if `version` no longer receives traffic.
    pub fn replacement(&self, service: &str, version: &str) -> Option<VersionId> {
        let splits = self.splits.borrow();
        let split = splits.get(service)?;
        let in_use = *split.from == *version || (split.share > 0.0 && *split.to == *version);
        (!in_use).then(|| split.from.clone())
    }

    /// Returns the old version of a running move, on which failed requests are retried.
    pub fn old_version(&self, service: &str) -> Option<VersionId> {
        self.splits.borrow().get(service).map(|split| split.from.clone())
    }

    /// Decays the recorded outcomes once per [`DECAY_INTERVAL`].
    pub fn tick(&mut self, now: Instant) {
        if now >= self.next_decay {
            self.next_decay = now + DECAY_INTERVAL;
            self.moves.values_mut().for_each(|tracked| tracked.evidence.decay());
        }
    }

    /// Publishes the version splits for the admission of requests.
    fn publish(&self) {
        let completed = self.completed.iter().map(|(service, version)| {
            let split = VersionSplit { from: version.clone(), to: version.clone(), share: 0.0 };
            (service.clone(), split)
        });
        let mut splits: SplitMap = completed.collect();
        for tracked in self.moves.values() {
            let entry = &tracked.entry;
            let share = if tracked.fault.is_none() { entry.share } else { 0.0 };
            let split = VersionSplit { from: entry.from.clone(), to: entry.to.clone(), share };
            splits.insert(entry.service.clone(), split);
        }
        self.splits.send_replace(Arc::new(splits));
    }
}
