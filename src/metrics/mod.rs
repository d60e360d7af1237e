//! Metrics in the StatsD format over UDP.
//!
//! A metric is put into a bounded queue, which a dedicated thread sends, so that no request waits
//! for it. Without the setting `metrics.statsd`, nothing is sent.

pub mod catalogue;
mod client;
mod flush;

pub use catalogue::{METRIC_CATALOGUE, MetricDefinition, MetricKind, MetricLabel};
pub use client::{METRIC_PREFIX, MetricsClient};
pub use flush::{GaugeValues, run_flush_loop};
