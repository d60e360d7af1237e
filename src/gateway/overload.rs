//! Detects overload of the process.
//!
//! A router whose timers are late, or that has nearly used up its connections, reports itself as
//! not ready to the balancer and closes callers' connections after each answer, so that other
//! routers take over.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use indexmap::IndexMap;

use super::GatewayContext;
use super::adapter::GatewayAdapter;
use super::events::ControlEvent;
use crate::decision::direct::{CallLimiter, LoadSample, OverloadDetector};
use crate::ids::TeamId;
use crate::supervisor::StopSignal;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Admission of calls by the processor time that they need, and the calls that it refused.
#[derive(Debug)]
pub(super) struct CallAdmission {
    limiter: Mutex<CallLimiter>,
    limiting: AtomicBool,
    arrivals: AtomicU64,
    shed: Mutex<IndexMap<TeamId, f64>>,
}

impl CallAdmission {
    /// Creates the admission of a router with a fraction of a processor core.
    pub(super) fn new(processor_share: f64, now: Instant) -> Self {
        Self {
            limiter: Mutex::new(CallLimiter::new(processor_share, now)),
            limiting: AtomicBool::new(false),
            arrivals: AtomicU64::new(0),
            shed: Mutex::default(),
        }
    }

    /// Counts a call and returns whether it is admitted; the rate is limited only under overload.
    pub(super) fn try_admit(&self, now: Instant) -> bool {
        self.arrivals.fetch_add(1, Ordering::Relaxed);
        let admitted = self.limiter().try_admit(now);
        admitted || !self.limiting.load(Ordering::Relaxed)
    }

    /// Returns whether a new connection may be served; only limited under overload.
    pub(super) fn can_accept_connection(&self, now: Instant) -> bool {
        !self.limiting.load(Ordering::Relaxed) || self.limiter().has_budget(now)
    }

    /// Counts the work of a call that was refused because of overload.
    pub(super) fn record_shed(&self, team: &TeamId, work: f64) {
        let mut shed = self.shed.lock().unwrap_or_else(PoisonError::into_inner);
        *shed.entry(TeamId::clone(team)).or_default() += work;
    }

    fn limiter(&self) -> MutexGuard<'_, CallLimiter> {
        self.limiter.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn take_shed(&self) -> IndexMap<TeamId, f64> {
        std::mem::take(&mut self.shed.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl<A: GatewayAdapter> GatewayContext<A> {
    fn sample_load(&self, interval: Duration, lateness: Duration) -> LoadSample {
        LoadSample {
            lateness,
            connections_used: self.connections.count() as f64 / self.connection_limit.max(1) as f64,
            calls: self.admission.arrivals.swap(0, Ordering::Relaxed),
            interval,
        }
    }
}

/// Samples timers, connections and calls until `stop` is cancelled.
pub async fn monitor_overload<A: GatewayAdapter>(
    context: Arc<GatewayContext<A>>,
    stop: StopSignal,
) -> eyre::Result<()> {
    let mut detector = OverloadDetector::new(context.settings.processor_share, Instant::now());
    let mut last = Instant::now();
    loop {
        let due = Instant::now() + SAMPLE_INTERVAL;
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = tokio::time::sleep_until(due.into()) => {}
        }
        let now = Instant::now();
        let sample = context.sample_load(now.duration_since(last), now.duration_since(due));
        last = now;
        let change = detector.record(sample, now);
        context.admission.limiting.store(detector.limits_calls(), Ordering::Relaxed);
        let shed = context.admission.take_shed();
        if !shed.is_empty() {
            context.send_event(ControlEvent::Shed(shed));
        }
        let Some(overloaded) = change else { continue };
        log::warn!(
            lateness_ms = detector.lateness().as_millis() as u64,
            connections_used = sample.connections_used, demand = detector.demand();
            "{}", if overloaded { "overloaded; shedding callers" } else { "overload ended" }
        );
        context.overloaded.send_replace(overloaded);
    }
}
