//! Watches whether the process keeps up with its callers.
//!
//! A router that is late at its own timers, or that has nearly used up its connections, tells the
//! balancer that it is not ready and lets callers go after each answer, so that others take over.

use std::sync::Arc;
use std::sync::PoisonError;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use super::GatewayContext;
use super::edge::GatewayEdge;
use crate::decision::direct::{PressureLook, PressureRule};
use crate::supervisor::StopSignal;

/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);

impl<E: GatewayEdge> GatewayContext<E> {
    /// Counts a call and returns whether the processor has time for it.
    pub(super) fn try_take_call(&self, now: Instant) -> bool {
        self.arrivals.fetch_add(1, Ordering::Relaxed);
        let in_pace = self.pace.lock().unwrap_or_else(PoisonError::into_inner).try_take(now);
        in_pace || !self.strained.load(Ordering::Relaxed)
    }

    /// Returns whether the processor has time for the calls of another connection.
    pub(super) fn has_time_for_connection(&self, now: Instant) -> bool {
        !self.strained.load(Ordering::Relaxed)
            || self.pace.lock().unwrap_or_else(PoisonError::into_inner).has_room(now)
    }

    fn look(&self, interval: Duration, lateness: Duration) -> PressureLook {
        PressureLook {
            lateness,
            connections_used: self.connections.count() as f64 / self.connection_limit.max(1) as f64,
            calls: self.arrivals.swap(0, Ordering::Relaxed),
            interval,
        }
    }
}

/// Looks at timers, connections and calls until `stop` is cancelled.
pub async fn watch_pressure<E: GatewayEdge>(
    context: Arc<GatewayContext<E>>,
    stop: StopSignal,
) -> eyre::Result<()> {
    let mut rule = PressureRule::new(context.settings.processor_share, Instant::now());
    let mut last = Instant::now();
    loop {
        let due = Instant::now() + LOOK_INTERVAL;
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = tokio::time::sleep_until(due.into()) => {}
        }
        let now = Instant::now();
        let look = context.look(now.duration_since(last), now.duration_since(due));
        last = now;
        let change = rule.look(look, now);
        context.strained.store(rule.is_strained(), Ordering::Relaxed);
        let Some(pressed) = change else { continue };
        log::warn!(
            lateness_ms = rule.lateness().as_millis() as u64,
            connections_used = look.connections_used, demand = rule.demand();
            "{}", if pressed { "overloaded; sending callers away" } else { "load eased" }
        );
        context.pressed.send_replace(pressed);
    }
}
