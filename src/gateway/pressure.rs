//! Watches whether the process keeps up with its callers.
//!
//! A router that is late at its own timers, or that has nearly used up its connections, tells the
//! balancer that it is not ready and lets callers go after each answer, so that others take over.

use std::sync::Arc;
use std::time::{Duration, Instant};

use super::GatewayContext;
use super::edge::GatewayEdge;
use crate::supervisor::StopSignal;

/// Time between two looks.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);

/// Lateness of the process's own timers, averaged, at which it no longer keeps up. A processor
/// quota alone makes single timers up to a tenth of a second late.
const LATE_LIMIT: Duration = Duration::from_millis(120);

/// Lateness at which it keeps up again.
const PROMPT_LIMIT: Duration = Duration::from_millis(30);

/// Weight of a new look in the average.
const LATENESS_WEIGHT: f64 = 0.3;

/// Part of the connections in use at which the router sends callers away, and at which it takes
/// them again.
const FULL_PART: f64 = 0.75;
const ROOMY_PART: f64 = 0.5;

/// Shortest time in which callers are sent away.
const SHORTEST_RELIEF: Duration = Duration::from_secs(2);

/// Looks at timers and connections until `stop` is cancelled.
pub async fn watch_pressure<E: GatewayEdge>(
    context: Arc<GatewayContext<E>>,
    stop: StopSignal,
) -> eyre::Result<()> {
    let mut lateness = 0.0;
    let mut since = Instant::now();
    loop {
        let due = Instant::now() + LOOK_INTERVAL;
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = tokio::time::sleep_until(due.into()) => {}
        }
        let late = due.elapsed().as_secs_f64();
        lateness += LATENESS_WEIGHT * (late - lateness);
        let used = context.connections.count() as f64 / context.connection_limit.max(1) as f64;
        let pressed = *context.pressed.borrow();
        let next = if pressed {
            let eased = lateness < PROMPT_LIMIT.as_secs_f64() && used < ROOMY_PART;
            !(eased && since.elapsed() >= SHORTEST_RELIEF)
        } else {
            lateness > LATE_LIMIT.as_secs_f64() || used > FULL_PART
        };
        if next != pressed {
            since = Instant::now();
            log::warn!(
                lateness_ms = (lateness * 1000.0) as u64, connections_used = used;
                "{}", if next { "overloaded; sending callers away" } else { "load eased" }
            );
            context.pressed.send_replace(next);
        }
    }
}
