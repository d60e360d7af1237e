//! What the teams asked of the services that are scaled, as one router sees it.

use std::time::{Duration, Instant};

use indexmap::{IndexMap, IndexSet};
use serde::{Deserialize, Serialize};

use super::call::{BudgetCharge, CallDecision, PendingCall, RefusalCause};
use super::dispatcher::DirectDispatcher;
use crate::ids::{CallFingerprint, DataCentreId, ServiceId, TeamId};

/// Time over which rates are measured.
const RATE_WINDOW: Duration = Duration::from_secs(2);

/// Number of buckets of the window.
const BUCKETS: usize = 10;

/// Time for which a refused call is remembered. Callers that retry come back within it, and their
/// retries are no further demand.
const REFUSAL_MEMORY: Duration = Duration::from_secs(3);

/// Team of calls without one.
const NO_TEAM: &str = "";

/// Work of one team's calls to a service, in tokens per second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamWorkRate {
    /// The team; empty for calls without one.
    pub team: TeamId,
    /// Calls that were sent to an upstream.
    pub admitted: u32,
    /// Calls that wait at the dispatcher.
    pub queued: u32,
    /// Calls that were refused for lack of capacity, without their retries.
    pub refused: u32,
}

impl TeamWorkRate {
    /// Returns the work of all calls.
    pub fn asked(&self) -> f64 {
        f64::from(self.admitted) + self.lacking()
    }

    /// Returns the work that no engine had capacity for.
    pub fn lacking(&self) -> f64 {
        f64::from(self.queued) + f64::from(self.refused)
    }
}

/// Demand for a service at one router, by team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceWork {
    /// The service.
    pub service: ServiceId,
    /// Data centre of the router.
    pub data_centre: DataCentreId,
    /// Demand of the teams.
    pub teams: Vec<TeamWorkRate>,
}

/// Work in one bucket of the window, in tokens.
#[derive(Clone, Copy, Debug, Default)]
struct WorkBucket {
    number: u64,
    admitted: f64,
    refused: f64,
}

/// Work of one team over [`RATE_WINDOW`].
#[derive(Clone, Debug, Default)]
struct WorkWindow {
    buckets: [WorkBucket; BUCKETS],
}

impl WorkWindow {
    fn bucket_mut(&mut self, number: u64) -> &mut WorkBucket {
        let bucket = &mut self.buckets[number as usize % BUCKETS];
        if bucket.number != number {
            *bucket = WorkBucket { number, ..WorkBucket::default() };
        }
        bucket
    }

    /// Returns the sums of the admitted and the refused work.
    fn sums(&self, number: u64) -> (f64, f64) {
        let recent = self.buckets.iter().filter(|bucket| bucket.number + BUCKETS as u64 > number);
        recent.fold((0.0, 0.0), |(admitted, refused), bucket| {
            (admitted + bucket.admitted, refused + bucket.refused)
        })
    }
}

/// Calls that were refused lately, in two generations.
#[derive(Debug)]
struct RefusedCalls {
    current: IndexSet<CallFingerprint>,
    previous: IndexSet<CallFingerprint>,
    current_since: Instant,
}

impl RefusedCalls {
    /// Adds a call; returns whether it was not refused before.
    fn insert(&mut self, call: CallFingerprint, now: Instant) -> bool {
        if now.saturating_duration_since(self.current_since) >= REFUSAL_MEMORY {
            self.previous = std::mem::take(&mut self.current);
            self.current_since = now;
        }
        !self.previous.contains(&call) && self.current.insert(call)
    }
}

/// Recent demand for one service at this router.
#[derive(Debug)]
pub(super) struct DemandRecorder {
    started: Instant,
    teams: IndexMap<TeamId, WorkWindow>,
    refused: RefusedCalls,
}

impl DemandRecorder {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            started: now,
            teams: IndexMap::new(),
            refused: RefusedCalls {
                current: IndexSet::new(),
                previous: IndexSet::new(),
                current_since: now,
            },
        }
    }

    /// Counts a call by the first decision about it.
    pub(super) fn record(&mut self, call: &PendingCall, decision: &CallDecision, now: Instant) {
        if call.charge != BudgetCharge::First {
            return;
        }
        let number = self.bucket_number(now);
        match decision {
            CallDecision::Send(_) => {
                self.window_mut(call).bucket_mut(number).admitted += call.work()
            }
            CallDecision::Refuse {
                cause: RefusalCause::NoCapacity | RefusalCause::NoUpstream,
                ..
            } => {
                if self.refused.insert(call.fingerprint, now) {
                    self.window_mut(call).bucket_mut(number).refused += call.work();
                }
            }
            CallDecision::Refuse { .. } => {}
        }
    }

    /// Returns the rates by team; `queued` is the work of the calls that wait.
    pub(super) fn rates(&self, queued: &IndexMap<TeamId, f64>, now: Instant) -> Vec<TeamWorkRate> {
        let number = self.bucket_number(now);
        let names: IndexSet<&TeamId> = self.teams.keys().chain(queued.keys()).collect();
        let rates = names.into_iter().map(|team| {
            let (admitted, refused) =
                self.teams.get(team).map_or((0.0, 0.0), |window| window.sums(number));
            let queued = queued.get(team).copied().unwrap_or_default();
            TeamWorkRate {
                team: TeamId::clone(team),
                admitted: per_second(admitted),
                queued: per_second(queued),
                refused: per_second(refused),
            }
        });
        rates.filter(|rate| rate.asked() > 0.0).collect()
    }

    /// Removes the teams without recent calls.
    pub(super) fn expire(&mut self, now: Instant) {
        let number = self.bucket_number(now);
        self.teams.retain(|_, window| window.sums(number) != (0.0, 0.0));
    }

    fn window_mut(&mut self, call: &PendingCall) -> &mut WorkWindow {
        self.teams.entry(team_of(call)).or_default()
    }

    fn bucket_number(&self, now: Instant) -> u64 {
        let passed = now.saturating_duration_since(self.started).as_secs_f64();
        // Numbers begin at the length of the window, so that empty buckets are old.
        (passed / RATE_WINDOW.as_secs_f64() * BUCKETS as f64) as u64 + BUCKETS as u64
    }
}

fn team_of(call: &PendingCall) -> TeamId {
    call.team.clone().unwrap_or_else(|| NO_TEAM.into())
}

fn per_second(work: f64) -> u32 {
    (work / RATE_WINDOW.as_secs_f64()).round() as u32
}

impl DirectDispatcher {
    /// Counts a decision about a call to a service that is scaled.
    pub(super) fn record_service_work(
        &mut self,
        call: &PendingCall,
        decision: &CallDecision,
        now: Instant,
    ) {
        if let Some(state) = self.scaling.services.get_mut(&call.service) {
            state.demand.record(call, decision, now);
        }
    }

    /// Returns this router's demand for the services that are scaled.
    pub(super) fn service_work(&self, now: Instant) -> Vec<ServiceWork> {
        let services = self.scaling.services.iter();
        services
            .map(|(service, state)| ServiceWork {
                service: ServiceId::clone(service),
                data_centre: DataCentreId::clone(&self.data_centre),
                teams: state.demand.rates(&self.queued_work(service), now),
            })
            .collect()
    }

    fn queued_work(&self, service: &ServiceId) -> IndexMap<TeamId, f64> {
        let mut work: IndexMap<TeamId, f64> = IndexMap::new();
        for call in self.pending_calls().filter(|call| call.service == *service) {
            *work.entry(team_of(call)).or_default() += call.work();
        }
        work
    }
}
