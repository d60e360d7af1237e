//! Calls at a fixed rate, whether or not earlier ones are answered.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use super::CallSource;
use super::report::{CallOutcome, LoadReport};
use crate::client::{BufferedAnswer, HttpClient};
use crate::fleet::{CheckedCall, RouterBalancer};

/// Where calls go.
#[derive(Clone)]
pub enum CallTarget {
    /// To the routers that are ready, in turn.
    Routers(Arc<RouterBalancer>),
    /// To an upstream itself, past the fleet.
    Upstream(SocketAddr),
}

impl CallTarget {
    /// Sends a call and reads the answer whole.
    pub(super) async fn send(
        &self,
        client: &HttpClient,
        call: &CheckedCall,
        number: u64,
    ) -> eyre::Result<BufferedAnswer> {
        let request = match self {
            Self::Routers(balancer) => call.call.to_router(balancer.choose(number).await?)?,
            Self::Upstream(upstream) => call.call.to_upstream(*upstream)?,
        };
        client.fetch(request).await
    }
}

/// A load of a fixed rate.
#[derive(Clone)]
pub struct OpenLoad {
    /// Where calls go.
    pub target: CallTarget,
    /// Client with its connections.
    pub client: HttpClient,
    /// Calls per second.
    pub rate: f64,
    /// Makes the calls.
    pub source: CallSource,
}

impl OpenLoad {
    /// Sends calls for a time, numbered from `first`, and waits for their answers.
    ///
    /// The latency of a call counts from the time at which it is sent: each call has a task of its
    /// own, so that a slow answer holds up no other call.
    pub async fn run(&self, first: u64, length: Duration) -> LoadReport {
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / self.rate));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let calls = (length.as_secs_f64() * self.rate).round() as u64;
        let mut sends = JoinSet::new();
        for number in first..first + calls {
            ticks.tick().await;
            let load = self.clone();
            sends.spawn(async move {
                let call = (load.source)(number);
                let sent = Instant::now();
                let got = load.target.send(&load.client, &call, number).await;
                let latency = sent.elapsed();
                (CallOutcome::classify(&call, &got), latency)
            });
        }
        let mut report = LoadReport::default();
        while let Some(ended) = sends.join_next().await {
            match ended {
                Ok((outcome, latency)) => report.add(outcome, latency),
                Err(error) => {
                    let reason = format!("a call's task failed: {error}");
                    report.add(CallOutcome::Failed(reason), Duration::ZERO);
                }
            }
        }
        report
    }
}
