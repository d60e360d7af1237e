//! Reports the router's gauges and flushes its metrics.

use std::sync::Arc;

use super::RouterContext;
use crate::metrics::{GaugeValues, run_flush_loop};
use crate::supervisor::StopSignal;

/// Reports and flushes at a fixed interval until `stop` is cancelled.
pub async fn run(context: Arc<RouterContext>, stop: StopSignal) -> eyre::Result<()> {
    let metrics = context.metrics.clone();
    let read_gauges = || GaugeValues {
        in_flight: context.in_flight.count(),
        control_queue: context.control.max_capacity() - context.control.capacity(),
        configuration: context.versions.held(),
    };
    run_flush_loop(metrics, read_gauges, stop).await
}
