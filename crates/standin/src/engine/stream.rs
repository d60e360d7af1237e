//! Life cycle of a stream: admitted, generating, ended.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use super::content::StreamContent;
use crate::ids::{StreamNumber, TeamName};

/// Time for which a stream with an id runs on without a client.
const DETACHED_LIMIT: Duration = Duration::from_secs(5);

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamEnd {
    Completed,
    Cancelled,
}

/// How far a stream has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct StreamProgress {
    pub(super) tokens: u64,
    pub(super) end: Option<StreamEnd>,
}

/// How fast streams run at present.
#[derive(Clone, Debug)]
pub(super) struct EnginePace {
    pub(super) token_interval: Duration,
    /// Factor by which all streams are slowed down because more are running than there are slots.
    pub(super) crowding: f64,
    pub(super) slow_factor: f64,
    /// Team that alone the slow factor applies to.
    pub(super) slow_team: Option<TeamName>,
    pub(super) slow_from: Instant,
}

impl EnginePace {
    fn factor(&self, team: &str) -> f64 {
        let concerned = self.slow_team.as_ref().is_none_or(|slow| &**slow == team);
        let slow = concerned && Instant::now() >= self.slow_from;
        self.crowding * if slow { self.slow_factor } else { 1.0 }
    }
}

/// A stream that the state thread has admitted and that takes part in the running count.
pub(super) struct AdmittedStream {
    pub(super) number: StreamNumber,
    pub(super) team: TeamName,
    pub(super) content: StreamContent,
    pub(super) prefill: Duration,
    /// Whether the stream was given an id, so that its client may come back.
    pub(super) resumable: bool,
    pub(super) progress: Arc<watch::Sender<StreamProgress>>,
    pub(super) cancel: CancellationToken,
    pub(super) pace: watch::Receiver<EnginePace>,
}

/// A stream whose prompt has been processed.
struct GeneratingStream {
    stream: AdmittedStream,
    next_token: Instant,
}

/// A stream that takes no more capacity; the state thread releases it.
pub(super) struct EndedStream {
    pub(super) number: StreamNumber,
    pub(super) end: StreamEnd,
}

impl AdmittedStream {
    /// Runs the stream to its end, its cancellation or the loss of its client.
    pub(super) async fn run(self) -> EndedStream {
        let number = self.number;
        let progress = Arc::clone(&self.progress);
        let cancel = self.cancel.clone();
        let detached = wait_detached(Arc::clone(&self.progress), self.resumable);
        let end = tokio::select! {
            () = cancel.cancelled() => StreamEnd::Cancelled,
            () = detached => StreamEnd::Cancelled,
            end = async { self.prefill().await.generate().await } => end,
        };
        progress.send_modify(|progress| progress.end = Some(end));
        EndedStream { number, end }
    }

    async fn prefill(self) -> GeneratingStream {
        let factor = self.pace.borrow().factor(&self.team);
        let next_token = Instant::now() + self.prefill.mul_f64(factor);
        GeneratingStream { stream: self, next_token }
    }
}

impl GeneratingStream {
    async fn generate(mut self) -> StreamEnd {
        for produced in 1..=self.stream.content.completion_tokens() {
            let interval = {
                let pace = self.stream.pace.borrow();
                pace.token_interval.mul_f64(pace.factor(&self.stream.team))
            };
            // The next time follows from the last one, so that timer granularity does not add up.
            self.next_token += interval;
            sleep_until(self.next_token).await;
            self.stream.progress.send_modify(|progress| progress.tokens = produced);
        }
        StreamEnd::Completed
    }
}

/// Returns when the stream has been without a client for too long.
async fn wait_detached(progress: Arc<watch::Sender<StreamProgress>>, resumable: bool) {
    /// Interval at which a stream without a client looks for one.
    const SAMPLE_INTERVAL: Duration = Duration::from_millis(50);
    loop {
        progress.closed().await;
        let detached = Instant::now();
        while progress.receiver_count() == 0 {
            if !resumable || detached.elapsed() >= DETACHED_LIMIT {
                return;
            }
            tokio::time::sleep(SAMPLE_INTERVAL).await;
        }
    }
}
