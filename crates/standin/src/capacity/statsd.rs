//! Receives the metrics that the fleet's processes send over UDP.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use eyre::WrapErr;
use indexmap::IndexMap;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;

/// Sums of counters by node and message since the previous `MetricReceiver::take`.
#[derive(Clone, Debug, Default)]
pub struct MetricTotals {
    /// Number of calls by (node, message).
    pub calls: IndexMap<(String, String), u64>,
    /// Bytes of the calls by (node, message).
    pub bytes: IndexMap<(String, String), u64>,
}

/// Parses a line `name:value|kind|#key:value,...` into its name, value and tags.
pub fn parse_metric_line(line: &str) -> Option<(&str, &str, IndexMap<&str, &str>)> {
    let (name, rest) = line.split_once(':')?;
    let mut fields = rest.split('|');
    let value = fields.next()?;
    let tags = fields.find_map(|field| field.strip_prefix('#')).unwrap_or_default();
    let tags = tags.split(',').filter_map(|tag| tag.split_once(':')).collect();
    Some((name, value, tags))
}

impl MetricTotals {
    fn add(&mut self, line: &str) {
        let Some((name, value, tags)) = parse_metric_line(line) else { return };
        let sums = match name {
            "godwitcrank.peer.calls" => &mut self.calls,
            "godwitcrank.peer.bytes" => &mut self.bytes,
            _ => return,
        };
        let tag = |key: &str| tags.get(key).copied().unwrap_or_default().to_owned();
        let value: u64 = value.parse().unwrap_or_default();
        *sums.entry((tag("node"), tag("message"))).or_default() += value;
    }
}

/// UDP server that sums up the counters it receives.
pub(super) struct MetricReceiver {
    address: SocketAddr,
    totals: Arc<Mutex<MetricTotals>>,
    receiving: JoinHandle<()>,
}

impl MetricReceiver {
    pub(super) async fn start() -> eyre::Result<Self> {
        let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
        let socket = UdpSocket::bind(any_port).await.wrap_err("cannot receive metrics")?;
        let address = socket.local_addr()?;
        let totals = Arc::new(Mutex::new(MetricTotals::default()));
        let shared = Arc::clone(&totals);
        let receiving = tokio::spawn(async move {
            let mut datagram = vec![0; 64 << 10];
            while let Ok(length) = socket.recv(&mut datagram).await {
                let text = String::from_utf8_lossy(&datagram[..length]);
                let mut totals = shared.lock().unwrap_or_else(PoisonError::into_inner);
                text.lines().for_each(|line| totals.add(line));
            }
        });
        Ok(Self { address, totals, receiving })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the sums and resets them to zero.
    pub(super) fn take(&self) -> MetricTotals {
        std::mem::take(&mut *self.totals.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Drop for MetricReceiver {
    fn drop(&mut self) {
        self.receiving.abort();
    }
}
