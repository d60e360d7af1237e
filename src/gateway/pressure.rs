//! Detects overload of the process.
//!
//! A router whose timers are late, or that has nearly used up its connections, reports itself as
//! not ready to the balancer and closes callers' connections after each answer, so that other
//! routers take over.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::GatewayContext;
use super::adapter::GatewayAdapter;
use crate::decision::direct::{LoadSample, OverloadDetector};
use crate::supervisor::StopSignal;

/// Time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

impl<A: GatewayAdapter> GatewayContext<A> {
    /// Counts a call and returns whether it is admitted; the rate is limited only under overload.
    pub(super) fn try_admit_call(&self, now: Instant) -> bool {
        self.arrivals.fetch_add(1, Ordering::Relaxed);
        let admitted = self.limiter.lock().unwrap_or_else(PoisonError::into_inner).try_admit(now);
        admitted || !self.limiting.load(Ordering::Relaxed)
    }

    /// Returns whether a new connection may be served; only limited under overload.
    pub(super) fn can_accept_connection(&self, now: Instant) -> bool {
        !self.limiting.load(Ordering::Relaxed)
            || self.limiter.lock().unwrap_or_else(PoisonError::into_inner).has_budget(now)
    }

    fn sample_load(&self, interval: Duration, lateness: Duration) -> LoadSample {
        LoadSample {
            lateness,
            connections_used: self.connections.count() as f64 / self.connection_limit.max(1) as f64,
            calls: self.arrivals.swap(0, Ordering::Relaxed),
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
        context.limiting.store(detector.limits_calls(), Ordering::Relaxed);
        let Some(overloaded) = change else { continue };
        log::warn!(
            lateness_ms = detector.lateness().as_millis() as u64,
            connections_used = sample.connections_used, demand = detector.demand();
            "{}", if overloaded { "overloaded; sending callers away" } else { "overload ended" }
        );
        context.overloaded.send_replace(overloaded);
    }
}
