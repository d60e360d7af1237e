//! What a router keeps of its view when the store was restored from an older copy.
//!
//! The copy may lack what operators and upstreams have written since, and it may hold rows that
//! were replaced or removed since. They write their rows again within seconds. Until then, the
//! router keeps what it knew and distrusts rows that are older than that.

use std::time::{Duration, Instant, SystemTime};

use indexmap::{IndexMap, IndexSet};

use super::entry::{MoveOrder, UpstreamEntry};
use crate::ids::{DataCentreId, RowVersion, ServiceId, StoreEra, StoreRevision, UpstreamId};

/// Time after a restore for which ready upstreams without a row are used. Upstreams write their
/// rows again within about two seconds.
pub(super) const UPSTREAM_HOLD: Duration = Duration::from_millis(2500);

/// Time after a restore for which orders of operators without a row stay in force. Operators write
/// their rows again within seconds; an order that was removed while this router could not reach the
/// store must not stay for good.
pub const ORDER_HOLD: Duration = Duration::from_secs(30);

/// Maximum number of withdrawn upstreams that are remembered; the oldest is dropped.
const MAX_WITHDRAWN: usize = 4096;

/// An upstream that announced its shutdown, or whose row was removed.
#[derive(Clone, Copy, Debug)]
struct Withdrawal {
    /// Revision at which this was learned.
    revision: StoreRevision,
    /// Start of the upstream's process.
    started: Option<SystemTime>,
}

/// Number of things that a router kept, or did not take over, at a restore.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RestoreCounts {
    /// Upstreams that are used without a row.
    pub held_upstreams: usize,
    /// Upstreams whose rows are older than what is known of them.
    pub stale_upstreams: usize,
    /// Data centres that stay out of service without a row.
    pub held_data_centres: usize,
    /// Orders of version moves that stay in force without a row.
    pub held_moves: usize,
}

/// State of a view that concerns restores of the store.
#[derive(Debug, Default)]
pub(super) struct RestoreState {
    /// When the view first took over something of the newest era; `None` before the first restore.
    restored_at: Option<Instant>,
    /// Revision of the operators' part before the restore.
    operators: StoreRevision,
    /// Revision of the upstreams' part before the restore.
    upstreams: StoreRevision,
    withdrawn: IndexMap<UpstreamId, Withdrawal>,
    /// Versions of the rows that are older than what is known of their upstreams.
    stale: IndexMap<UpstreamId, RowVersion>,
    held_upstreams: IndexSet<UpstreamId>,
    held_data_centres: IndexSet<DataCentreId>,
    /// Services whose orders stay in force, with the older order that the store has.
    held_moves: IndexMap<ServiceId, Option<MoveOrder>>,
}

impl RestoreState {
    /// Records that the operators' part is about to enter a new era.
    pub(super) fn begin_operators(&mut self, known: StoreRevision, is_first: bool, now: Instant) {
        self.operators = known;
        self.held_data_centres.clear();
        self.held_moves.clear();
        self.begin(is_first, now);
    }

    /// Records that the upstreams' part is about to enter a new era.
    pub(super) fn begin_upstreams(&mut self, known: StoreRevision, is_first: bool, now: Instant) {
        self.upstreams = known;
        self.stale.clear();
        self.held_upstreams.clear();
        self.begin(is_first, now);
    }

    /// `is_first` is whether no other part has entered the era yet.
    fn begin(&mut self, is_first: bool, now: Instant) {
        if is_first || self.restored_at.is_none() {
            self.restored_at = Some(now);
        }
    }

    /// Returns when the view first took over something of the newest era.
    pub(super) fn began_at(&self) -> Option<Instant> {
        self.restored_at
    }

    /// Returns the number of things that were kept or not taken over.
    pub(super) fn counts(&self) -> RestoreCounts {
        RestoreCounts {
            held_upstreams: self.held_upstreams.len(),
            stale_upstreams: self.stale.len(),
            held_data_centres: self.held_data_centres.len(),
            held_moves: self.held_moves.len(),
        }
    }

    /// Records that an upstream announced its shutdown, or that its row was removed. If that is
    /// known of the same process already, the earlier revision stays.
    pub(super) fn record_withdrawal(
        &mut self,
        id: &UpstreamId,
        started: Option<SystemTime>,
        revision: StoreRevision,
    ) {
        if self.withdrawn.get(id).is_some_and(|known| known.started == started) {
            return;
        }
        if self.withdrawn.len() >= MAX_WITHDRAWN {
            self.withdrawn.shift_remove_index(0);
        }
        self.withdrawn.insert(UpstreamId::clone(id), Withdrawal { revision, started });
    }

    /// Records that an upstream accepts calls.
    pub(super) fn record_ready(&mut self, id: &UpstreamId) {
        self.withdrawn.shift_remove(id);
    }

    /// Records that a row of an upstream was written after the restore.
    pub(super) fn release_upstream(&mut self, id: &UpstreamId) {
        self.held_upstreams.shift_remove(id);
        self.stale.shift_remove(id);
    }

    /// Records that a row about a data centre was written after the restore.
    pub(super) fn release_data_centre(&mut self, id: &DataCentreId) {
        self.held_data_centres.shift_remove(id);
    }

    /// Records that the order of a service's version move was written after the restore.
    pub(super) fn release_move(&mut self, service: &ServiceId) {
        self.held_moves.shift_remove(service);
    }

    /// Returns whether a row of the whole part is older than what is known of its upstream, and
    /// remembers it as such.
    ///
    /// A row with a higher version than that at which the withdrawal was learned is newer than the
    /// withdrawal. The versions up to there were given out again, so a row with one of them may have
    /// been written before or after the restore.
    pub(super) fn check_stale(
        &mut self,
        id: &UpstreamId,
        entry: &UpstreamEntry,
        known: Option<&UpstreamEntry>,
        version: RowVersion,
        era: StoreEra,
    ) -> bool {
        if self.stale.get(id) == Some(&version) {
            return true;
        }
        let is_withdrawn = !entry.leaving
            && self.withdrawn.get(id).is_some_and(|withdrawal| {
                withdrawal.revision.era < era
                    && version <= withdrawal.revision.version
                    && entry.started <= withdrawal.started
            });
        let is_earlier_start = self.upstreams.era < era
            && version <= self.upstreams.version
            && known.is_some_and(|known| entry.started < known.started);
        // A stale row whose version is another one now was written after the restore.
        let is_written_again = self.stale.contains_key(id);
        let is_stale = (is_withdrawn || is_earlier_start) && !is_written_again;
        if is_stale {
            self.stale.insert(UpstreamId::clone(id), version);
        } else {
            self.release_upstream(id);
        }
        is_stale
    }

    /// Returns whether an upstream without a row is still used, and remembers it as such.
    pub(super) fn hold_upstream(
        &mut self,
        id: &UpstreamId,
        known: &UpstreamEntry,
        now: Instant,
    ) -> bool {
        let is_held = !known.leaving && self.is_within(UPSTREAM_HOLD, now);
        if is_held {
            self.held_upstreams.insert(UpstreamId::clone(id));
        }
        is_held
    }

    /// Returns whether an upstream is used without a row.
    pub(super) fn holds_upstream(&self, id: &UpstreamId) -> bool {
        self.held_upstreams.contains(id)
    }

    /// Returns whether a data centre without a row stays out of service, and remembers it as such.
    pub(super) fn hold_data_centre(&mut self, id: &DataCentreId, now: Instant) -> bool {
        let is_held = self.is_within(ORDER_HOLD, now);
        if is_held {
            self.held_data_centres.insert(DataCentreId::clone(id));
        }
        is_held
    }

    /// Returns whether the order of a version move without a row stays in force, and remembers it as
    /// such.
    pub(super) fn hold_move(&mut self, service: &ServiceId, now: Instant) -> bool {
        let is_held = self.is_within(ORDER_HOLD, now);
        if is_held {
            self.held_moves.insert(ServiceId::clone(service), None);
        }
        is_held
    }

    /// Returns whether the known order stays in force although the store has another one, which is
    /// older; remembers the older one.
    pub(super) fn hold_replaced_move(
        &mut self,
        stored: &MoveOrder,
        known: &MoveOrder,
        now: Instant,
    ) -> bool {
        let is_older = known.revision.era < stored.revision.era
            && stored.revision.version <= self.operators.version
            && stored.target != known.target;
        let is_held = is_older && self.is_within(ORDER_HOLD, now);
        if is_held {
            self.held_moves.insert(ServiceId::clone(&stored.service), Some(stored.clone()));
        } else {
            self.release_move(&stored.service);
        }
        is_held
    }

    /// Removes and returns the upstreams that are no longer used without a row.
    pub(super) fn take_expired_upstreams(&mut self, now: Instant) -> IndexSet<UpstreamId> {
        if self.is_within(UPSTREAM_HOLD, now) {
            return IndexSet::new();
        }
        std::mem::take(&mut self.held_upstreams)
    }

    /// Removes and returns the data centres that no longer stay out of service without a row.
    pub(super) fn take_expired_data_centres(&mut self, now: Instant) -> IndexSet<DataCentreId> {
        if self.is_within(ORDER_HOLD, now) {
            return IndexSet::new();
        }
        std::mem::take(&mut self.held_data_centres)
    }

    /// Removes and returns the services whose orders no longer stay in force, with the orders that
    /// the store has.
    pub(super) fn take_expired_moves(
        &mut self,
        now: Instant,
    ) -> IndexMap<ServiceId, Option<MoveOrder>> {
        if self.is_within(ORDER_HOLD, now) {
            return IndexMap::new();
        }
        std::mem::take(&mut self.held_moves)
    }

    fn is_within(&self, hold: Duration, now: Instant) -> bool {
        self.restored_at.is_some_and(|at| now.saturating_duration_since(at) < hold)
    }
}
