//! Life cycle of a stream, with a type for each state: admitted, generating, ended.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use super::content::StreamContent;
use crate::ids::{StreamNumber, TeamName};

/// Time after which a stream with an id is cancelled if it has no client.
const DETACHED_TIMEOUT: Duration = Duration::from_secs(5);

/// How a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StreamEnd {
    Completed,
    Cancelled,
}

/// Number of tokens produced so far, and how the stream ended if it did.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct StreamProgress {
    pub(super) tokens: u64,
    pub(super) end: Option<StreamEnd>,
}

/// Current speed of token generation.
#[derive(Clone, Debug)]
pub(super) struct EnginePace {
    pub(super) token_interval: Duration,
    /// Factor by which all streams are slowed down while more are running than there are slots.
    pub(super) overload_factor: f64,
    pub(super) slow_factor: f64,
    /// Only team that the slow factor applies to; all teams if `None`.
    pub(super) slow_team: Option<TeamName>,
    pub(super) slow_from: Instant,
}

impl EnginePace {
    fn slowdown_factor(&self, team: &str) -> f64 {
        let affected = self.slow_team.as_ref().is_none_or(|slow| &**slow == team);
        let slow = affected && Instant::now() >= self.slow_from;
        self.overload_factor * if slow { self.slow_factor } else { 1.0 }
    }
}

/// A stream that the state thread has admitted and counts as running.
pub(super) struct AdmittedStream {
    pub(super) number: StreamNumber,
    pub(super) team: TeamName,
    pub(super) content: StreamContent,
    pub(super) prefill: Duration,
    /// Whether the stream has an id, with which its client can reconnect.
    pub(super) resumable: bool,
    pub(super) progress: Arc<watch::Sender<StreamProgress>>,
    pub(super) cancel: CancellationToken,
    pub(super) pace: watch::Receiver<EnginePace>,
}

/// A stream that produces tokens. `next_token` is the time at which the latest token was due, at
/// first the end of the prefill.
struct GeneratingStream {
    stream: AdmittedStream,
    next_token: Instant,
}

/// A stream that has ended; the state thread then frees its capacity.
pub(super) struct EndedStream {
    pub(super) number: StreamNumber,
    pub(super) end: StreamEnd,
}

impl AdmittedStream {
    /// Runs the stream until it completes, is cancelled or loses its client.
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
        let factor = self.pace.borrow().slowdown_factor(&self.team);
        let next_token = Instant::now() + self.prefill.mul_f64(factor);
        GeneratingStream { stream: self, next_token }
    }
}

impl GeneratingStream {
    async fn generate(mut self) -> StreamEnd {
        for produced in 1..=self.stream.content.completion_tokens() {
            let interval = {
                let pace = self.stream.pace.borrow();
                pace.token_interval.mul_f64(pace.slowdown_factor(&self.stream.team))
            };
            // Each due time is computed from the previous due time, not from the current time, so
            // that late wake-ups of the timer do not accumulate.
            self.next_token += interval;
            sleep_until(self.next_token).await;
            self.stream.progress.send_modify(|progress| progress.tokens = produced);
        }
        StreamEnd::Completed
    }
}

/// Waits until the stream has lost its client: at once if it is not resumable, otherwise after
/// `DETACHED_TIMEOUT` without a reconnect.
async fn wait_detached(progress: Arc<watch::Sender<StreamProgress>>, resumable: bool) {
    /// Interval between two checks for a reconnected client.
    const POLL_INTERVAL: Duration = Duration::from_millis(50);
    loop {
        progress.closed().await;
        let detached = Instant::now();
        while progress.receiver_count() == 0 {
            if !resumable || detached.elapsed() >= DETACHED_TIMEOUT {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
