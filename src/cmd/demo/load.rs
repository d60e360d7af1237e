//! Load generator: four teams that each demand more than their share of the fleet.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use godwitcrank::supervisor::StopSignal;
use godwitcrank_standin::client::HttpClient;
use http::Request;
use http_body_util::{BodyExt, Full};
use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};
use serde_json::json;
use tokio::task::JoinSet;

use super::fleet::DemoFleet;

/// Concurrent requests of each team. The four teams together demand three times the slots of the
/// fleet.
const CONCURRENT_REQUESTS: usize = 60;

/// Maximum number of tokens of one request.
pub const MAX_REQUEST_TOKENS: u64 = 64;

/// Number of teams that send load; their shares differ.
const TEAM_COUNT: usize = 4;

/// Time that a worker waits after a refusal.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(100);

/// Results of one team's requests.
#[derive(Debug, Default)]
pub struct TeamCounters {
    /// Tokens received.
    pub tokens: AtomicU64,
    /// Requests answered in full.
    pub answers: AtomicU64,
    /// Requests refused.
    pub refusals: AtomicU64,
    /// Requests without a complete response.
    pub failures: AtomicU64,
}

/// A team that sends load.
#[derive(Clone, Debug)]
pub struct LoadedTeam {
    /// Id in the configuration.
    pub id: String,
    /// Share of the fleet's capacity.
    pub share: f64,
    /// Results so far.
    pub counters: Arc<TeamCounters>,
}

/// A running load.
pub struct LoadRun {
    teams: Vec<LoadedTeam>,
    stop: StopSignal,
    workers: JoinSet<()>,
    started: Instant,
}

/// Results of a finished load.
pub struct LoadReport {
    /// Teams with their counters, which include answers that ended after the measured time.
    pub teams: Vec<LoadedTeam>,
    /// Tokens of each team at the end of the measured time.
    pub tokens: Vec<u64>,
    /// Measured time.
    pub elapsed: Duration,
}

impl LoadRun {
    /// Starts the workers; equal seeds give equal requests.
    pub fn start(fleet: &DemoFleet, seed: u64) -> Self {
        // The configuration lists four teams of each workshop; the first teams of the workshops
        // have the shares that differ most.
        let teams: Vec<LoadedTeam> = fleet
            .configuration
            .teams
            .iter()
            .step_by(4)
            .take(TEAM_COUNT)
            .map(|team| LoadedTeam {
                id: team.id.clone(),
                share: team.share,
                counters: Arc::default(),
            })
            .collect();
        let stop = StopSignal::new();
        let mut workers = JoinSet::new();
        for (index, team) in teams.iter().enumerate() {
            for number in 0..CONCURRENT_REQUESTS {
                let worker = LoadWorker {
                    client: fleet.client.clone(),
                    router: fleet.routers[number % fleet.routers.len()],
                    team: team.clone(),
                    random: StdRng::seed_from_u64(
                        seed.wrapping_mul(1_000_003)
                            + (index * CONCURRENT_REQUESTS + number) as u64,
                    ),
                };
                workers.spawn(worker.run(stop.clone()));
            }
        }
        Self { teams, stop, workers, started: Instant::now() }
    }

    /// Prints the token rates every second until the time is over or the run is interrupted.
    pub async fn report_rates(&self, duration: Duration, quiet: bool, interrupted: &StopSignal) {
        let mut ticker = tokio::time::interval(Duration::from_secs(1));
        ticker.tick().await;
        let mut previous = vec![0; self.teams.len()];
        while self.started.elapsed() < duration {
            tokio::select! {
                _ = ticker.tick() => {}
                () = interrupted.cancelled() => return,
            }
            let tokens = self.tokens();
            if !quiet {
                self.print_rates(&previous, &tokens);
            }
            previous = tokens;
        }
    }

    fn print_rates(&self, previous: &[u64], tokens: &[u64]) {
        let rates: Vec<String> = self
            .teams
            .iter()
            .zip(previous.iter().zip(tokens))
            .map(|(team, (before, now))| format!("{} {:>4}", team.id, now - before))
            .collect();
        println!("{:>3} s  tokens/s: {}", self.started.elapsed().as_secs(), rates.join("  "));
    }

    fn tokens(&self) -> Vec<u64> {
        self.teams.iter().map(|team| team.counters.tokens.load(Ordering::Relaxed)).collect()
    }

    /// Ends the load and waits for the answers to the pending requests.
    pub async fn close(mut self) -> LoadReport {
        let (tokens, elapsed) = (self.tokens(), self.started.elapsed());
        self.stop.cancel();
        while self.workers.join_next().await.is_some() {}
        LoadReport { teams: self.teams, tokens, elapsed }
    }
}

/// Sends requests of one team to one router, one after another.
struct LoadWorker {
    client: HttpClient,
    router: SocketAddr,
    team: LoadedTeam,
    random: StdRng,
}

impl LoadWorker {
    async fn run(mut self, stop: StopSignal) {
        while !stop.is_cancelled() {
            let counters = Arc::clone(&self.team.counters);
            match self.send().await {
                Ok(true) => counters.answers.fetch_add(1, Ordering::Relaxed),
                Ok(false) => {
                    tokio::time::sleep(REFUSAL_BACKOFF).await;
                    counters.refusals.fetch_add(1, Ordering::Relaxed)
                }
                Err(_) => counters.failures.fetch_add(1, Ordering::Relaxed),
            };
        }
    }

    /// Sends one request and reads the whole response. Returns `false` if the request was refused.
    async fn send(&mut self) -> eyre::Result<bool> {
        let max_tokens = self.random.random_range(8..=MAX_REQUEST_TOKENS);
        let prompt = format!("movement {:016x}", self.random.next_u64());
        let body = json!({"prompt": prompt, "max_tokens": max_tokens, "stream": true});
        let request = Request::post(format!("http://{}/bench/v1/completions", self.router))
            .header("authorization", format!("Bearer demo-key-{}", self.team.id))
            .body(Full::from(body.to_string()))?;
        let response = self.client.send(request).await?;
        let answered = response.status().is_success();
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame?.into_data() else { continue };
            if answered {
                let tokens = count_tokens(&data);
                self.team.counters.tokens.fetch_add(tokens, Ordering::Relaxed);
            }
        }
        Ok(answered)
    }
}

/// Counts the token events in a chunk of an event stream.
fn count_tokens(data: &[u8]) -> u64 {
    let marker: &[u8] = b"\"token\"";
    data.windows(marker.len()).filter(|window| *window == marker).count() as u64
}
