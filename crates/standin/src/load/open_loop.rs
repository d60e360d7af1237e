//! Open-loop load: calls are sent at a fixed rate, independent of earlier answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use tokio::time::MissedTickBehavior;

use super::CallSource;
use super::report::{CallOutcome, LoadReport};
use crate::client::{BufferedAnswer, HttpClient};
use crate::fleet::{CheckedCall, RouterBalancer};

/// Destination of calls.
#[derive(Clone)]
pub enum CallTarget {
    /// The routers that are ready, round-robin.
    Routers(Arc<RouterBalancer>),
    /// An upstream itself, without routers and agents.
    Upstream(SocketAddr),
}

impl CallTarget {
    /// Sends a call and reads the complete answer.
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

/// An open-loop load with a fixed rate.
#[derive(Clone)]
pub struct OpenLoad {
    /// Destination of the calls.
    pub target: CallTarget,
    /// HTTP client, whose connections are reused.
    pub client: HttpClient,
    /// Calls per second.
    pub rate: f64,
    /// Creates the calls.
    pub source: CallSource,
}

impl OpenLoad {
    /// Sends calls for `duration`, numbered from `first`, and waits for their answers.
    ///
    /// Latency is measured from the time at which a call is sent. Each call has its own task, so
    /// that a slow answer does not delay other calls.
    pub async fn run(&self, first: u64, duration: Duration) -> LoadReport {
        let mut ticks = tokio::time::interval(Duration::from_secs_f64(1.0 / self.rate));
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let calls = (duration.as_secs_f64() * self.rate).round() as u64;
        let mut sends = JoinSet::new();
        for number in first..first + calls {
            ticks.tick().await;
            let load = self.clone();
            sends.spawn(async move {
                let call = (load.source)(number);
                let sent = Instant::now();
                let result = load.target.send(&load.client, &call, number).await;
                let latency = sent.elapsed();
                (CallOutcome::classify(&call, &result), latency)
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
