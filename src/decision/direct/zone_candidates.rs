//! Selects between the engines of the router's data centre and those of the others.

use std::sync::Arc;
use std::time::{Duration, Instant};

use indexmap::IndexMap;
use xxhash_rust::xxh3::xxh3_64;

use super::call::PendingCall;
use super::candidates::CandidateSet;
use super::dispatcher::DirectDispatcher;
use super::load::UpstreamLoad;
use super::zone_choice::{BYTES_MARGIN, LINK_TIME, ZoneShare, ZoneWaits};
use crate::ids::ServiceId;

/// Fraction of a call's objective; a call whose first event is expected within it inside does not
/// look outside.
const CALL_ROOM_FRACTION: f64 = 0.45;

/// Best engine of one side for a call.
#[derive(Clone, Copy, Debug)]
struct ZoneChoice {
    wait: Duration,
    uncached: u64,
}

impl ZoneChoice {
    /// Returns whether the call starts sooner at this engine outside than at one inside, by more than
    /// leaving costs.
    fn is_shorter(self, inside: Self) -> bool {
        self.wait + LINK_TIME + BYTES_MARGIN < inside.wait
    }
}

/// Sum of expected waits.
#[derive(Clone, Copy, Debug, Default)]
struct WaitSum {
    total: Duration,
    count: u32,
}

impl WaitSum {
    fn add(&mut self, wait: Duration) {
        self.total += wait;
        self.count += 1;
    }

    fn mean(self) -> Option<Duration> {
        (self.count > 0).then(|| self.total / self.count)
    }
}

/// Sums of a service inside and outside the router's data centre.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneSums {
    inside: WaitSum,
    outside: WaitSum,
}

impl DirectDispatcher {
    /// Returns the shares of calls that leave the data centre, of services where this choice is in
    /// effect.
    pub fn zone_shares(&self, now: Instant) -> impl Iterator<Item = (&ServiceId, &ZoneShare)> {
        self.services
            .iter()
            .filter(move |(_, state)| state.zone.is_active(now))
            .map(|(service, state)| (service, &state.zone))
    }

    /// Moves the share of calls that leave, of each service whose engines state a slowdown.
    pub(super) fn adjust_zone_shares(&mut self, now: Instant) {
        for load in self.upstreams.values().filter(|load| load.stated.has_slowdown(now)) {
            if let Some(state) = self.services.get_mut(&load.entry.service)
                && state.entry.memory_tokens.is_some()
            {
                state.zone.record_statement(now);
            }
        }
        if !self.services.values().any(|state| state.zone.is_active(now)) {
            return;
        }
        let mut sums: IndexMap<ServiceId, ZoneSums> = IndexMap::new();
        for load in self.upstreams.values().filter(|load| self.is_open(load, now)) {
            let Some(state) = self.services.get(&load.entry.service) else { continue };
            let wait = load.expected_wait(state.zone.average_uncached(), now);
            let sum = sums.entry(Arc::clone(&load.entry.service)).or_default();
            let is_inside = load.entry.data_centre == self.data_centre;
            if is_inside { sum.inside.add(wait) } else { sum.outside.add(wait) }
        }
        for (service, state) in &mut self.services {
            let sum = sums.get(service).copied().unwrap_or_default();
            let waits = ZoneWaits { inside: sum.inside.mean(), outside: sum.outside.mean() };
            if state.zone.is_active(now) {
                state.zone.adjust(waits, now);
            }
        }
    }

    /// Returns whether an engine takes as many calls as it has room for.
    fn is_open(&self, load: &UpstreamLoad, now: Instant) -> bool {
        !load.entry.leaving
            && !self.taken_out.contains(&load.entry.data_centre)
            && !load.is_backing_off(now)
            && !load.cold.is_cold(now)
    }

    /// Returns the candidates of a call among usable upstreams: those inside the data centre, unless
    /// the call is in the share that leaves, does not fit inside, or has its parts cached outside.
    pub(super) fn zone_candidates(
        &mut self,
        call: &PendingCall,
        usable: &[usize],
        queued_at: Instant,
        now: Instant,
    ) -> CandidateSet {
        let zone = self.services.get(&call.service).map(|state| state.zone);
        let Some(zone) = zone.filter(|zone| zone.is_active(now)) else {
            return CandidateSet::for_call(call, &self.upstreams, usable);
        };
        let (inside, outside): (Vec<usize>, Vec<usize>) = usable
            .iter()
            .partition(|index| self.upstreams[**index].entry.data_centre == self.data_centre);
        if inside.is_empty() || outside.is_empty() {
            return CandidateSet::for_call(call, &self.upstreams, usable);
        }
        let stays = CandidateSet::for_call_among_few(call, &self.upstreams, &inside);
        let leaves = CandidateSet::for_call_among_few(call, &self.upstreams, &outside);
        let is_leaving = zone.leaves(xxh3_64(&(call.fingerprint ^ call.id).to_le_bytes()));
        let (first, second) = if is_leaving { (leaves, stays) } else { (stays, leaves) };
        match self.selected_wait(call, &first, queued_at, now) {
            Some(_) if is_leaving => first,
            Some(choice) if choice.wait > call.objective.mul_f64(CALL_ROOM_FRACTION) => {
                let other = self.selected_wait(call, &second, queued_at, now);
                if other.is_some_and(|other| other.is_shorter(choice)) { second } else { first }
            }
            Some(choice) => {
                self.find_cached(call, choice, &outside, queued_at, now).unwrap_or(first)
            }
            None if self.selected_wait(call, &second, queued_at, now).is_some() => second,
            None => stays,
        }
    }

    /// Returns what the best of the candidates with capacity would take.
    fn selected_wait(
        &mut self,
        call: &PendingCall,
        candidates: &CandidateSet,
        queued_at: Instant,
        now: Instant,
    ) -> Option<ZoneChoice> {
        let (id, uncached) = self.select_upstream(call, candidates, queued_at, now)?;
        let wait = self.upstreams.get(&id)?.expected_wait(uncached, now);
        Some(ZoneChoice { wait, uncached })
    }

    /// Returns the engine outside that holds the call's shared parts, if the call starts there sooner
    /// than inside, where they have to be read again, by more than leaving costs.
    fn find_cached(
        &mut self,
        call: &PendingCall,
        inside: ZoneChoice,
        outside: &[usize],
        queued_at: Instant,
        now: Instant,
    ) -> Option<CandidateSet> {
        let prompt = call.prompt.as_ref()?;
        let last_part = prompt.parts.last().map_or(0, |part| u64::from(part.tokens));
        if inside.uncached <= last_part {
            return None;
        }
        let holds_all =
            |index: &&usize| self.upstreams[**index].cache.uncached_tokens(prompt) <= last_part;
        let index = *outside.iter().find(holds_all)?;
        let candidates = CandidateSet::for_call(call, &self.upstreams, &[index]);
        let other = self.selected_wait(call, &candidates, queued_at, now)?;
        other.is_shorter(inside).then_some(candidates)
    }
}
