//! Applies changes of the fleet's view to the dispatcher.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::dispatcher::{DirectDispatcher, EndedMove, ServiceState};
use super::load::UpstreamLoad;
use super::version_trial::VersionTrial;
use super::waiting::ChangedUpstreams;
use crate::ids::{DataCentreId, UpstreamId};
use crate::routing::{MoveOrder, ORDER_HOLD, UpstreamEntry, ViewChange};

/// Time after an outage of the store during which upstreams are kept although their entries
/// disappear. Entries of live upstreams that expired during the outage are written again by then.
const EXPIRY_GRACE: Duration = Duration::from_millis(1200);

impl DirectDispatcher {
    /// Applies one change of the fleet's view.
    pub fn apply(&mut self, change: &ViewChange, now: Instant) {
        self.changed = ChangedUpstreams::All;
        match change {
            ViewChange::Configuration(configuration) => {
                let mut services = IndexMap::new();
                for entry in &configuration.services {
                    let state = match self.services.swap_remove(&entry.name) {
                        Some(state) => ServiceState { entry: entry.clone(), ..state },
                        None => ServiceState::new(entry.clone(), self.bounds.retry_window),
                    };
                    services.insert(Arc::clone(&entry.name), state);
                }
                self.services = services;
                self.demand.set_work_rate(configuration.work_rate);
                self.update_scaled_services(now);
            }
            ViewChange::TakenOut(data_centre) => {
                self.taken_out.insert(Arc::clone(data_centre));
            }
            ViewChange::TakenBack(data_centre) => {
                self.taken_out.shift_remove(data_centre);
                self.mark_data_centre_cold(data_centre, now);
            }
            ViewChange::MoveOrdered(order) => self.start_trial(order, now),
            ViewChange::MoveEnded(service) => {
                if let Some(trial) = self.trials.shift_remove(service) {
                    self.keep_ended_move(trial);
                }
            }
            ViewChange::Upstream(id, entry) => self.update_upstream(id, entry, now),
            ViewChange::UpstreamGone(id) => self.remove_upstream(id, now),
        }
    }

    /// Starts the move of an order, unless it is known. After a restore of the store, an order with
    /// the same target is the same one, although its revision is another.
    fn start_trial(&mut self, order: &MoveOrder, now: Instant) {
        let is_restored = self.is_restored_within(ORDER_HOLD, now);
        if let Some(trial) = self.trials.get_mut(&order.service) {
            let known = trial.order();
            if known == order {
                return;
            }
            let is_written_again = known.revision.era != order.revision.era || is_restored;
            if known.target == order.target && is_written_again {
                trial.renew_order(order.clone());
                return;
            }
        }
        let ended = self.ended_moves.get(&order.service).filter(|ended| {
            ended.order.target == order.target
                && ended.order.revision.era < order.revision.era
                && is_restored
        });
        let trial = match ended {
            Some(ended) => VersionTrial::recorded(order.clone(), ended.stage, now),
            None => VersionTrial::new(order.clone(), now),
        };
        if let Some(replaced) = self.trials.insert(Arc::clone(&order.service), trial) {
            self.keep_ended_move(replaced);
        }
    }

    /// Remembers the end of a move whose order is gone: a restored store may have the order again
    /// and not the record.
    fn keep_ended_move(&mut self, trial: VersionTrial) {
        if trial.is_recorded() {
            let ended = EndedMove { order: trial.order().clone(), stage: trial.stage() };
            self.ended_moves.insert(Arc::clone(&ended.order.service), ended);
        }
    }

    /// Treats a data centre's upstreams as cold: they may have restarted unnoticed while it was
    /// taken out.
    fn mark_data_centre_cold(&mut self, data_centre: &DataCentreId, now: Instant) {
        for load in self.upstreams.values_mut() {
            if load.entry.data_centre == *data_centre
                && let Some(service) = self.services.get(&load.entry.service)
            {
                load.cold.mark_cold_until(now + service.entry.cold_period);
            }
        }
    }

    fn update_upstream(&mut self, id: &UpstreamId, entry: &UpstreamEntry, now: Instant) {
        let cold_period = self
            .services
            .get(&entry.service)
            .map_or(Duration::ZERO, |state| state.entry.cold_period);
        let load = self
            .upstreams
            .entry(Arc::clone(id))
            .or_insert_with(|| UpstreamLoad::new(id, entry.clone()));
        if entry.started != load.entry.started {
            load.cache.clear();
            load.stated.clear();
            load.cold.mark_cold_until(now + cold_period.max(entry.cold_left));
        }
        if !entry.cold_left.is_zero() {
            load.cold.mark_cold_until(now + entry.cold_left);
        }
        load.entry = entry.clone();
        load.expired_at = None;
    }

    fn remove_upstream(&mut self, id: &UpstreamId, now: Instant) {
        let in_grace =
            self.store_recovered_at.is_some_and(|at| now.duration_since(at) < EXPIRY_GRACE);
        match self.upstreams.get_mut(id) {
            Some(load) if in_grace => load.expired_at = Some(now),
            _ => {
                self.upstreams.swap_remove(id);
            }
        }
    }

    /// Removes the upstreams whose entries were not written again after an outage of the store.
    pub fn remove_expired(&mut self, now: Instant) {
        self.upstreams.retain(|_, load| {
            load.expired_at.is_none_or(|at| now.duration_since(at) < EXPIRY_GRACE)
        });
    }
}
