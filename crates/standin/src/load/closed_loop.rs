//! Closed-loop load: each caller sends its next call after the previous one was answered.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use futures::future::join_all;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::CallSource;
use super::open_loop::CallTarget;
use super::report::{CallOutcome, LoadReport};
use crate::client::HttpClient;

/// Pause of a caller after a call that did not succeed; without it, refused callers would spin.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// A closed-loop load that runs until it is closed, cancelled or aborted.
pub struct ClosedLoad {
    answered: Arc<AtomicU64>,
    stop: CancellationToken,
    cancel_calls: CancellationToken,
    callers: Vec<JoinHandle<LoadReport>>,
}

impl ClosedLoad {
    /// Starts the given number of callers.
    pub fn start(target: CallTarget, callers: u64, source: CallSource) -> Self {
        let (stop, cancel_calls) = (CancellationToken::new(), CancellationToken::new());
        let answered = Arc::new(AtomicU64::new(0));
        let client = HttpClient::default();
        let callers = (0..callers).map(|index| {
            let caller = LoadCaller {
                next: index,
                step: callers,
                target: target.clone(),
                client: client.clone(),
                source: Arc::clone(&source),
                answered: Arc::clone(&answered),
                stop: stop.clone(),
                cancel_calls: cancel_calls.clone(),
            };
            tokio::spawn(caller.run())
        });
        Self { callers: callers.collect(), answered, stop, cancel_calls }
    }

    /// Returns the number of calls that were answered correctly so far.
    pub fn answered(&self) -> u64 {
        self.answered.load(Ordering::Relaxed)
    }

    /// Waits for the calls in progress and returns the report of all calls.
    pub async fn close(self) -> LoadReport {
        self.stop.cancel();
        let mut total = LoadReport::default();
        for report in join_all(self.callers).await {
            match report {
                Ok(report) => total.merge(report),
                Err(error) => {
                    let reason = format!("a caller's task failed: {error}");
                    total.add(CallOutcome::Failed(reason), Duration::ZERO);
                }
            }
        }
        total
    }

    /// Drops the calls in progress and returns the report of the calls that ended before.
    pub async fn cancel(self) -> LoadReport {
        self.cancel_calls.cancel();
        self.close().await
    }

    /// Aborts all callers without a report.
    pub fn abort(self) {
        for caller in self.callers {
            caller.abort();
        }
    }
}

struct LoadCaller {
    next: u64,
    step: u64,
    target: CallTarget,
    client: HttpClient,
    source: CallSource,
    answered: Arc<AtomicU64>,
    stop: CancellationToken,
    cancel_calls: CancellationToken,
}

impl LoadCaller {
    async fn run(mut self) -> LoadReport {
        let mut report = LoadReport::default();
        while !self.stop.is_cancelled() {
            let call = (self.source)(self.next);
            let sent = Instant::now();
            let result = tokio::select! {
                result = self.target.send(&self.client, &call, self.next) => result,
                () = self.cancel_calls.cancelled() => return report,
            };
            let outcome = CallOutcome::classify(&call, &result);
            if outcome == CallOutcome::Answered {
                self.answered.fetch_add(1, Ordering::Relaxed);
            } else {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            report.add(outcome, sent.elapsed());
            self.next += self.step;
        }
        report
    }
}
