//! Measures how long engines leave a slot idle.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use futures::future::join_all;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::setup::FairnessSetup;
use crate::client::HttpClient;
use crate::fleet::RunningFleet;

/// Interval between two reads of an engine's state.
const LOOK_INTERVAL: Duration = Duration::from_millis(30);

/// Tasks that poll one engine each until the sampler is closed.
pub(super) struct IdleSampler {
    stop: CancellationToken,
    engines: Vec<JoinHandle<Duration>>,
}

impl IdleSampler {
    pub(super) fn start(fleet: &RunningFleet, setup: &FairnessSetup) -> eyre::Result<Self> {
        let stop = CancellationToken::new();
        let mut engines = Vec::new();
        for engine in setup.engines() {
            let address = fleet.upstream_address(&engine)?;
            engines.push(tokio::spawn(sample(fleet.client().clone(), address, stop.clone())));
        }
        Ok(Self { stop, engines })
    }

    /// Returns the longest time for which all samples of one engine showed an idle slot.
    pub(super) async fn close(self) -> eyre::Result<Duration> {
        self.stop.cancel();
        let mut longest = Duration::ZERO;
        for idle in join_all(self.engines).await {
            longest = longest.max(idle.wrap_err("the idle sampling task failed")?);
        }
        Ok(longest)
    }
}

async fn sample(client: HttpClient, engine: SocketAddr, stop: CancellationToken) -> Duration {
    let mut longest = Duration::ZERO;
    let mut idle_since: Option<Instant> = None;
    let mut ticks = tokio::time::interval(LOOK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => return longest,
            _ = ticks.tick() => {}
        }
        let asked = Instant::now();
        // Free slots of a cold engine are not idle, because the fleet must not fill them yet. An
        // engine that is restarting does not answer and has no slots.
        let idle = client.get_json(engine, "/health").await.is_ok_and(|health| {
            health["cold"] == false && health["running"].as_u64() < health["slots"].as_u64()
        });
        if !idle {
            idle_since = None;
            continue;
        }
        let since = *idle_since.get_or_insert(asked);
        longest = longest.max(asked.duration_since(since));
    }
}
