//! Watches for engines with an idle slot.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use eyre::WrapErr;
use futures::future::join_all;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::layout::FleetLayout;
use crate::client::HttpClient;
use crate::fleet::RunningFleet;

/// Interval between two looks at an engine.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(30);

/// Looks at all engines until it is closed.
pub(super) struct IdleWatch {
    stop: CancellationToken,
    engines: Vec<JoinHandle<Duration>>,
}

impl IdleWatch {
    pub(super) fn start(fleet: &RunningFleet, layout: &FleetLayout) -> eyre::Result<Self> {
        let stop = CancellationToken::new();
        let mut engines = Vec::new();
        for engine in layout.engines() {
            let address = fleet.upstream(&engine)?;
            engines.push(tokio::spawn(watch(fleet.client().clone(), address, stop.clone())));
        }
        Ok(Self { stop, engines })
    }

    /// Returns the longest time for which every look at one engine found an idle slot.
    pub(super) async fn close(self) -> eyre::Result<Duration> {
        self.stop.cancel();
        let mut longest = Duration::ZERO;
        for idle in join_all(self.engines).await {
            longest = longest.max(idle.wrap_err("the watch failed")?);
        }
        Ok(longest)
    }
}

async fn watch(client: HttpClient, engine: SocketAddr, stop: CancellationToken) -> Duration {
    let mut longest = Duration::ZERO;
    let mut idle_since: Option<Instant> = None;
    let mut ticks = tokio::time::interval(SAMPLE_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            () = stop.cancelled() => return longest,
            _ = ticks.tick() => {}
        }
        let asked = Instant::now();
        // A cold engine is not to be filled, and one that restarts has no slots.
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
