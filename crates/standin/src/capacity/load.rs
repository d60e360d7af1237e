//! Open-loop load: requests are sent at a fixed rate, independent of the answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior};

use crate::client::HttpClient;
use crate::fleet::FleetCall;

/// Largest number of concurrent requests; further ones are not sent and count as failed.
const MAX_OPEN_REQUESTS: usize = 2000;

/// Largest number of tokens of a completion.
const MAX_TOKENS: u64 = 16;

/// Counts of a load's requests by outcome.
#[derive(Clone, Copy, Debug, Default, serde::Serialize)]
pub struct LoadCounts {
    /// Requests that were answered with status 200.
    pub answered: u64,
    /// All other requests.
    pub failed: u64,
}

/// Sends `rate` completions per second for `duration`, to the routers round-robin and for teams
/// that are drawn at random with `seed`.
pub(super) async fn run_load(
    routers: Vec<SocketAddr>,
    teams: Vec<String>,
    rate: u32,
    duration: Duration,
    seed: u64,
) -> LoadCounts {
    let (answered, failed) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let end = Instant::now() + duration;
    if rate == 0 {
        tokio::time::sleep_until(end).await;
        return LoadCounts::default();
    }
    let mut random = StdRng::seed_from_u64(seed);
    let client = HttpClient::default();
    let mut open = JoinSet::new();
    let mut ticker = tokio::time::interval(Duration::from_secs(1) / rate);
    ticker.set_missed_tick_behavior(MissedTickBehavior::Burst);
    for router in routers.iter().cycle() {
        ticker.tick().await;
        if Instant::now() >= end {
            break;
        }
        while open.try_join_next().is_some() {}
        let team = &teams[random.random_range(0..teams.len())];
        let prompt = format!("prompt {}", random.random::<u32>());
        let request = FleetCall::completion(team, &prompt, MAX_TOKENS).to_router(*router);
        let (Ok(request), true) = (request, open.len() < MAX_OPEN_REQUESTS) else {
            failed.fetch_add(1, Ordering::Relaxed);
            continue;
        };
        let (client, answered, failed) =
            (client.clone(), Arc::clone(&answered), Arc::clone(&failed));
        open.spawn(async move {
            let outcome = client.fetch(request).await;
            let succeeded = matches!(outcome, Ok(answer) if answer.status.as_u16() == 200);
            let counter = if succeeded { answered } else { failed };
            counter.fetch_add(1, Ordering::Relaxed);
        });
    }
    while open.join_next().await.is_some() {}
    let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
    LoadCounts { answered: read(&answered), failed: read(&failed) }
}
