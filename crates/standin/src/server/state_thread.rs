//! Thread that owns the mutable state of a stand-in and runs jobs on it.

use std::thread::JoinHandle;

use tokio::sync::{mpsc, oneshot};

use crate::error::{StartError, StateClosed};

/// Capacity of the state thread's queue; senders wait while it is full.
const JOB_CAPACITY: usize = 4096;

type StateJob<S> = Box<dyn FnOnce(&mut S) + Send>;

enum StateMessage<S> {
    Run(StateJob<S>),
    Stop,
}

/// Sends jobs to a state thread and waits for their results.
pub struct StateHandle<S> {
    jobs: mpsc::Sender<StateMessage<S>>,
}

impl<S> Clone for StateHandle<S> {
    fn clone(&self) -> Self {
        Self { jobs: self.jobs.clone() }
    }
}

impl<S: 'static> StateHandle<S> {
    /// Runs `job` on the state thread and returns its result.
    pub async fn call<R: Send + 'static>(
        &self,
        job: impl FnOnce(&mut S) -> R + Send + 'static,
    ) -> Result<R, StateClosed> {
        let (result_tx, result_rx) = oneshot::channel();
        let job: StateJob<S> = Box::new(move |state| {
            // A send error means that the caller no longer waits for the result.
            let _ = result_tx.send(job(state));
        });
        self.jobs.send(StateMessage::Run(job)).await.map_err(|_| StateClosed)?;
        result_rx.await.map_err(|_| StateClosed)
    }
}

/// A running state thread.
pub struct StateThread<S> {
    handle: StateHandle<S>,
    thread: JoinHandle<()>,
}

impl<S: Send + 'static> StateThread<S> {
    /// Starts a thread that owns `state`.
    pub fn start(name: &'static str, mut state: S) -> Result<Self, StartError> {
        let (jobs, mut inbox) = mpsc::channel(JOB_CAPACITY);
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                while let Some(StateMessage::Run(job)) = inbox.blocking_recv() {
                    job(&mut state);
                }
            })
            .map_err(|source| StartError::Thread { name, source })?;
        Ok(Self { handle: StateHandle { jobs }, thread })
    }

    /// Returns a handle that sends jobs to the thread.
    pub fn handle(&self) -> StateHandle<S> {
        self.handle.clone()
    }

    /// Stops the thread after the jobs that are already queued, and waits for it to end.
    pub async fn close(self) {
        // A send error means that the thread has already ended.
        let _ = self.handle.jobs.send(StateMessage::Stop).await;
        let joined = tokio::task::spawn_blocking(move || self.thread.join()).await;
        if !matches!(joined, Ok(Ok(()))) {
            log::error!("a state thread panicked");
        }
    }
}
