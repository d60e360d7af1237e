//! Reads the counters of upstreams periodically during an experiment.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use futures::future::join_all;
use serde_json::Value;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::service::{ServiceSample, ServiceSeries};
use crate::client::HttpClient;
use crate::fleet::RunningFleet;

/// Interval between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);

/// A task that takes samples until it is closed.
pub struct ServiceSampler {
    stop: CancellationToken,
    sampling: JoinHandle<ServiceSeries>,
}

impl ServiceSampler {
    /// Starts to sample the named upstreams of a fleet.
    pub fn start(fleet: &RunningFleet, upstreams: &[String]) -> eyre::Result<Self> {
        let addresses: eyre::Result<Vec<SocketAddr>> =
            upstreams.iter().map(|upstream| fleet.upstream_address(upstream)).collect();
        let stop = CancellationToken::new();
        let sampling = tokio::spawn(sample(addresses?, fleet.client().clone(), stop.clone()));
        Ok(Self { stop, sampling })
    }

    /// Takes a last sample and returns all samples.
    pub async fn close(self) -> eyre::Result<ServiceSeries> {
        self.stop.cancel();
        self.sampling.await.wrap_err("the sampling task failed")
    }
}

async fn sample(
    upstreams: Vec<SocketAddr>,
    client: HttpClient,
    stop: CancellationToken,
) -> ServiceSeries {
    let started = Instant::now();
    let mut series = ServiceSeries::default();
    let mut ticks = tokio::time::interval(SAMPLE_INTERVAL);
    loop {
        let last = tokio::select! {
            () = stop.cancelled() => true,
            _ = ticks.tick() => false,
        };
        let reads = upstreams.iter().map(|address| client.get_json(*address, "/control/counters"));
        let counters = join_all(reads).await;
        // The counters of an upstream that is restarting cannot be read. The whole sample is
        // skipped, because without that upstream the cumulative service would seem to fall.
        let read: Result<Vec<Value>, _> = counters.into_iter().collect();
        match read {
            Ok(read) => series.push(ServiceSample::from_counters(started.elapsed(), &read)),
            Err(error) => log::warn!("skipped a sample: {error:#}"),
        }
        if last {
            return series;
        }
    }
}
