//! Client that queues metrics and sends them to a StatsD server.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use cadence::prelude::*;
use cadence::{BufferedUdpMetricSink, QueuingMetricSink, StatsdClient};
use eyre::WrapErr;

use super::catalogue::{METRICS_DROPPED, MetricDefinition, MetricLabel};
use crate::settings::ProcessSettings;

/// Prefix of every metric's name.
pub const METRIC_PREFIX: &str = "godwitcrank";

/// Capacity of the queue of the sending thread. Metrics that exceed it are dropped and counted.
const QUEUE_CAPACITY: usize = 4096;

/// Maximum size of a datagram in bytes, which fits into one Ethernet frame.
const MAX_DATAGRAM_BYTES: usize = 1400;

/// Sends metrics, or does nothing if no server is configured. Cheap to clone.
#[derive(Clone, Debug, Default)]
pub struct MetricsClient {
    sender: Option<MetricsSender>,
}

#[derive(Clone, Debug)]
struct MetricsSender {
    client: Arc<StatsdClient>,
    dropped_count: Arc<AtomicU64>,
}

impl MetricsClient {
    /// Opens a socket for the StatsD server of the settings. Without a server, the client does
    /// nothing.
    pub fn open(settings: &ProcessSettings) -> eyre::Result<Self> {
        match settings.metrics.statsd {
            None => Ok(Self::default()),
            Some(server) => Self::connect(server, &settings.node.id)
                .wrap_err_with(|| format!("cannot send metrics to {server} (metrics.statsd)")),
        }
    }

    fn connect(server: SocketAddr, node: &str) -> eyre::Result<Self> {
        let any_port = match server {
            SocketAddr::V4(_) => SocketAddr::from(([0, 0, 0, 0], 0)),
            SocketAddr::V6(_) => SocketAddr::from(([0_u16; 8], 0)),
        };
        let socket = UdpSocket::bind(any_port)?;
        // In nonblocking mode, a send that would block fails and the datagram is dropped.
        socket.set_nonblocking(true)?;
        let datagrams = BufferedUdpMetricSink::with_capacity(server, socket, MAX_DATAGRAM_BYTES)?;
        let queue = QueuingMetricSink::with_capacity(datagrams, QUEUE_CAPACITY);
        let dropped_count = Arc::new(AtomicU64::new(0));
        let counter = Arc::clone(&dropped_count);
        let client = StatsdClient::builder(METRIC_PREFIX, queue)
            .with_tag(MetricLabel::Node.to_string(), sanitize_label_value(node))
            .with_error_handler(move |_| {
                counter.fetch_add(1, Ordering::Relaxed);
            })
            .build();
        Ok(Self { sender: Some(MetricsSender { client: Arc::new(client), dropped_count }) })
    }

    /// Adds to a counter.
    pub fn count(&self, definition: &MetricDefinition, count: u64, labels: &[(MetricLabel, &str)]) {
        let Some(sender) = &self.sender else { return };
        let labels = encode_labels(definition, labels);
        let builder = sender.client.count_with_tags(definition.name, count);
        labels.iter().fold(builder, |builder, (key, value)| builder.with_tag(key, value)).send();
    }

    /// Records a duration.
    pub fn time(
        &self,
        definition: &MetricDefinition,
        time: Duration,
        labels: &[(MetricLabel, &str)],
    ) {
        let Some(sender) = &self.sender else { return };
        let labels = encode_labels(definition, labels);
        let builder = sender.client.time_with_tags(definition.name, time);
        labels.iter().fold(builder, |builder, (key, value)| builder.with_tag(key, value)).send();
    }

    /// Sets a gauge.
    pub fn gauge(&self, definition: &MetricDefinition, value: u64) {
        if let Some(sender) = &self.sender {
            sender.client.gauge_with_tags(definition.name, value).send();
        }
    }

    /// Sends the buffered metrics and the number of metrics dropped since the last flush.
    pub fn flush(&self) {
        let Some(sender) = &self.sender else { return };
        let dropped_count = sender.dropped_count.swap(0, Ordering::Relaxed);
        if dropped_count > 0 {
            self.count(&METRICS_DROPPED, dropped_count, &[]);
        }
        if sender.client.flush().is_err() {
            sender.dropped_count.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns whether a server is configured.
    pub fn is_enabled(&self) -> bool {
        self.sender.is_some()
    }
}

/// Returns the labels as text, with sanitized values.
fn encode_labels(
    definition: &MetricDefinition,
    labels: &[(MetricLabel, &str)],
) -> Vec<(String, String)> {
    debug_assert!(
        labels.iter().map(|(label, _)| label).eq(definition.labels.iter()),
        "{}: labels differ from the catalogue",
        definition.name
    );
    labels.iter().map(|(label, value)| (label.to_string(), sanitize_label_value(value))).collect()
}

/// Replaces the characters that separate fields in a StatsD line.
fn sanitize_label_value(value: &str) -> String {
    value.replace([':', '|', ',', '#', '@', '\n'], "_")
}
