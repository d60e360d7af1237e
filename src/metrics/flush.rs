//! Supervised child that sends the gauges and flushes buffered metrics at a fixed interval.

use std::time::Duration;

use super::catalogue::{CONFIGURATION_VERSION, CONTROL_QUEUE, IN_FLIGHT};
use super::client::MetricsClient;
use crate::ids::ConfigurationVersion;
use crate::supervisor::StopSignal;

/// Interval between two flushes.
const FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// Values of the gauges, which are the same for both daemons.
#[derive(Clone, Copy, Debug)]
pub struct GaugeValues {
    /// Requests or runs in progress.
    pub in_flight: usize,
    /// Events that wait for the control thread.
    pub control_queue: usize,
    /// Configuration version in force.
    pub configuration: ConfigurationVersion,
}

/// Reads the gauges and flushes the metrics until `stop` is cancelled, then once more. Without a
/// server, only waits for `stop`.
pub async fn run_flush_loop(
    metrics: MetricsClient,
    read_gauges: impl Fn() -> GaugeValues,
    stop: StopSignal,
) -> eyre::Result<()> {
    let mut ticker = tokio::time::interval(FLUSH_INTERVAL);
    ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    while metrics.is_enabled() && !stop.is_cancelled() {
        tokio::select! {
            () = stop.cancelled() => {}
            _ = ticker.tick() => {}
        }
        let values = read_gauges();
        metrics.gauge(&IN_FLIGHT, values.in_flight as u64);
        metrics.gauge(&CONTROL_QUEUE, values.control_queue as u64);
        metrics.gauge(&CONFIGURATION_VERSION, values.configuration);
        metrics.flush();
    }
    stop.cancelled().await;
    Ok(())
}
