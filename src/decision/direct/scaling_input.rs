//! Builds the input of scaling decisions from what a router knows.

use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::dispatcher::DirectDispatcher;
use super::engine_rate::{EngineRate, EngineSample};
use super::fair_cap::FairCap;
use super::scaling::{EngineCounts, ScalingInput, ScalingSubject, TeamDemandRate};
use super::service_demand::{DemandRecorder, ServiceWork};
use super::upstream_notices::UpstreamStart;
use crate::ids::{DataCentreId, ServiceId, TeamId, UpstreamId};
use crate::routing::ScalingLimits;

/// Age from which on a peer's report of demand does not count.
const MAX_REPORT_AGE: Duration = Duration::from_secs(3);

/// Time after its last engine of a service for which a data centre counts as one that has engines.
/// It covers a crash of all of them and their boot. Entries of unknown data centres, which other
/// programs may write, don't count for ever.
const HOST_TTL: Duration = Duration::from_secs(600);

/// What a router knows of a service that is scaled.
#[derive(Debug)]
pub(super) struct ScaledService {
    limits: ScalingLimits,
    pub(super) demand: DemandRecorder,
    rate: EngineRate,
    /// Data centres that had an engine of the service lately, and when they last had.
    hosts: IndexMap<DataCentreId, Instant>,
}

/// The services that are scaled.
#[derive(Debug, Default)]
pub(super) struct ScaledServices {
    pub(super) services: IndexMap<ServiceId, ScaledService>,
}

/// Demand of the teams at all routers, by data centre of the router.
#[derive(Debug, Default)]
struct GatheredDemand {
    by_data_centre: IndexMap<DataCentreId, IndexMap<TeamId, f64>>,
    totals: IndexMap<TeamId, f64>,
    admitted: f64,
    lacking: IndexMap<TeamId, f64>,
    age: Duration,
    is_complete: bool,
}

impl GatheredDemand {
    fn add(&mut self, work: &ServiceWork) {
        let here = self.by_data_centre.entry(DataCentreId::clone(&work.data_centre)).or_default();
        for rate in &work.teams {
            *here.entry(TeamId::clone(&rate.team)).or_default() += rate.asked();
            *self.totals.entry(TeamId::clone(&rate.team)).or_default() += rate.asked();
            *self.lacking.entry(TeamId::clone(&rate.team)).or_default() += rate.lacking();
            self.admitted += f64::from(rate.admitted);
        }
    }

    /// Returns the work without capacity of the teams that are within their fair share.
    fn owed_lacking(&self, work_rate: Option<f64>) -> f64 {
        let totals: Vec<f64> = self.totals.values().copied().collect();
        let cap = FairCap::new(&totals, work_rate, None);
        let owed =
            self.lacking.iter().filter(|(team, _)| cap.owed_fraction(self.totals[*team]) >= 1.0);
        owed.map(|(_, lacking)| lacking).sum()
    }

    /// Returns the demand that the engines of a data centre serve: that of its routers, and an equal
    /// part of that of the routers where no engines serve.
    fn demand_at(
        &self,
        data_centre: &DataCentreId,
        hosts: &[&DataCentreId],
    ) -> Vec<TeamDemandRate> {
        let mut here: IndexMap<&TeamId, f64> = IndexMap::new();
        for (origin, teams) in &self.by_data_centre {
            let part = if origin == data_centre {
                1.0
            } else if hosts.contains(&origin) {
                continue;
            } else {
                1.0 / hosts.len() as f64
            };
            for (team, rate) in teams {
                *here.entry(team).or_default() += rate * part;
            }
        }
        here.into_iter()
            .map(|(team, here)| TeamDemandRate {
                team: TeamId::clone(team),
                here,
                everywhere: self.totals[team],
            })
            .collect()
    }
}

impl DirectDispatcher {
    /// Returns the inputs of the scaling decisions for all services with limits, by data centre.
    pub fn scaling_inputs(&self, now: Instant) -> Vec<(ScalingSubject, ScalingInput)> {
        let services = self.scaling.services.iter();
        services.flat_map(|(service, state)| self.service_inputs(service, state, now)).collect()
    }

    fn service_inputs(
        &self,
        service: &ServiceId,
        state: &ScaledService,
        now: Instant,
    ) -> Vec<(ScalingSubject, ScalingInput)> {
        let demand = self.gather_demand(service, now);
        let hosts: Vec<&DataCentreId> =
            state.hosts.keys().filter(|host| !self.taken_out.contains(*host)).collect();
        let inputs = state.hosts.keys().map(|data_centre| {
            let is_taken_out = self.taken_out.contains(data_centre);
            let demand_here =
                if is_taken_out { Vec::new() } else { demand.demand_at(data_centre, &hosts) };
            let subject = ScalingSubject {
                service: ServiceId::clone(service),
                data_centre: DataCentreId::clone(data_centre),
            };
            let input = ScalingInput {
                limits: state.limits,
                engines: self.count_engines(service, data_centre, now),
                demand: demand_here,
                engine_rate: state.rate.get(),
                work_rate: self.demand.work_rate(),
                data_centres: u32::try_from(hosts.len()).unwrap_or(u32::MAX),
                age: demand.age,
                is_complete: demand.is_complete,
                is_taken_out,
            };
            (subject, input)
        });
        inputs.collect()
    }

    /// Sums up the demand for a service at this router and those that reported lately.
    fn gather_demand(&self, service: &ServiceId, now: Instant) -> GatheredDemand {
        let mut demand = GatheredDemand::default();
        let own = self.service_work(now);
        own.iter().filter(|work| work.service == *service).for_each(|work| demand.add(work));
        let mut heard = 1_u32;
        for (report, received_at) in self.peers.recent_reports(MAX_REPORT_AGE, now) {
            heard = heard.saturating_add(1);
            demand.age = demand.age.max(now.saturating_duration_since(received_at));
            let work = report.work.iter().filter(|work| work.service == *service);
            work.for_each(|work| demand.add(work));
        }
        demand.is_complete = heard >= self.peers.router_count(now);
        demand
    }

    fn count_engines(
        &self,
        service: &ServiceId,
        data_centre: &DataCentreId,
        now: Instant,
    ) -> EngineCounts {
        let mut counts = EngineCounts::default();
        let engines = self.upstreams.iter().filter(|(_, load)| {
            load.entry.service == *service && load.entry.data_centre == *data_centre
        });
        for (id, load) in engines {
            if load.entry.leaving || self.states_leaving(id, load.entry.started, now) {
                counts.leaving += 1;
            } else if load.cold.is_cold(now) {
                counts.cold += 1;
            } else {
                counts.ready += 1;
            }
        }
        counts
    }

    /// Returns whether an engine has stated that it leaves; one that pauses is back after a time.
    fn states_leaving(&self, id: &UpstreamId, started: UpstreamStart, now: Instant) -> bool {
        self.notices.is_left_out(id, started, now)
            && self.notices.paused_until(id, started, now).is_none()
    }

    /// Follows the configured limits.
    pub(super) fn update_scaled_services(&mut self, now: Instant) {
        let limits = self
            .services
            .iter()
            .filter_map(|(service, state)| Some((ServiceId::clone(service), state.entry.scaling?)));
        let mut scaled = IndexMap::new();
        for (service, limits) in limits {
            let state = self.scaling.services.swap_remove(&service);
            let state = state.unwrap_or_else(|| ScaledService {
                limits,
                demand: DemandRecorder::new(now),
                rate: EngineRate::default(),
                hosts: IndexMap::new(),
            });
            scaled.insert(service, ScaledService { limits, ..state });
        }
        self.scaling.services = scaled;
    }

    /// Measures the engines of the services that are scaled, and forgets old demand.
    pub(super) fn refresh_scaled_services(&mut self, now: Instant) {
        let names: Vec<ServiceId> = self.scaling.services.keys().cloned().collect();
        for service in &names {
            let sample = self.sample_engines(service, now);
            let hosts: Vec<DataCentreId> = self
                .upstreams
                .values()
                .filter(|load| load.entry.service == *service)
                .map(|load| DataCentreId::clone(&load.entry.data_centre))
                .collect();
            if let Some(state) = self.scaling.services.get_mut(service) {
                state.rate.record(&sample, now);
                state.hosts.extend(hosts.into_iter().map(|host| (host, now)));
                state.hosts.retain(|_, seen_at| now.duration_since(*seen_at) < HOST_TTL);
                state.demand.expire(now);
            }
        }
    }

    fn sample_engines(&self, service: &ServiceId, now: Instant) -> EngineSample {
        let demand = self.gather_demand(service, now);
        let slot_fraction =
            self.services.get(service).map_or(1.0, |state| state.pace.slot_fraction());
        let (mut ready, mut running, mut usable, mut running_cold) = (0, 0.0, 0.0, 0.0);
        let serving = self.upstreams.values().filter(|load| {
            load.entry.service == *service
                && !load.entry.leaving
                && !self.taken_out.contains(&load.entry.data_centre)
        });
        for load in serving {
            let calls = f64::from(load.running(now));
            if load.cold.is_cold(now) {
                running_cold += calls;
            } else {
                ready += 1;
                running += calls;
                usable += f64::from(load.entry.slots) * slot_fraction;
            }
        }
        let ready_part = running / (running + running_cold).max(f64::EPSILON);
        EngineSample {
            ready,
            admitted: demand.admitted * ready_part,
            lacking: demand.owed_lacking(self.demand.work_rate()),
            utilisation: running / f64::max(usable, f64::EPSILON),
        }
    }
}
