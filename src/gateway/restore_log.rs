//! Log line about a restore of the store from an older copy.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use crate::decision::direct::TrialStage;
use crate::ids::{ServiceId, StoreEra};
use crate::routing::{RestoreCounts, ViewPart};

/// Time from a restore to its log line. The rows are read, and this router's rows are written again,
/// well before.
const LOG_DELAY: Duration = Duration::from_secs(2);

/// What this router did about a restore.
#[derive(Debug)]
pub(super) struct RestoreLog {
    old_era: StoreEra,
    new_era: StoreEra,
    restored_at: Instant,
    rows: IndexMap<ViewPart, usize>,
    is_member_written: bool,
    moves: IndexMap<ServiceId, TrialStage>,
}

impl RestoreLog {
    /// Begins the record of a restore.
    pub(super) fn new(old_era: StoreEra, new_era: StoreEra, now: Instant) -> Self {
        Self {
            old_era,
            new_era,
            restored_at: now,
            rows: IndexMap::new(),
            is_member_written: false,
            moves: IndexMap::new(),
        }
    }

    /// Records that a part was read whole.
    pub(super) fn record_read(&mut self, part: ViewPart, rows: usize) {
        self.rows.insert(part, rows);
    }

    /// Records that this router's entry was written again.
    pub(super) fn record_member(&mut self) {
        self.is_member_written = true;
    }

    /// Records that the store has the record of a version move.
    pub(super) fn record_move(&mut self, service: &ServiceId, stage: TrialStage) {
        if stage.is_final() {
            self.moves.insert(ServiceId::clone(service), stage);
        }
    }

    /// Returns whether the restore can be logged.
    pub(super) fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.restored_at) >= LOG_DELAY
    }

    /// Logs the restore, with what the view kept or did not take over.
    pub(super) fn log(self, counts: RestoreCounts) {
        let rows = |part| self.rows.get(&part).copied().unwrap_or_default();
        log::warn!(
            old_era = self.old_era, new_era = self.new_era,
            operator_rows = rows(ViewPart::Operators), upstream_rows = rows(ViewPart::Upstreams),
            held_upstreams = counts.held_upstreams, stale_upstreams = counts.stale_upstreams,
            held_data_centres = counts.held_data_centres, held_moves = counts.held_moves,
            member_written = self.is_member_written, moves_recorded = self.moves.len();
            "store restored from an older copy"
        );
    }
}
