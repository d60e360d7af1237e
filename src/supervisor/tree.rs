//! A supervisor and its children.

use std::time::Instant;

use derive_more::{Display, Error};
use futures::future::BoxFuture;
use futures::stream::{FuturesUnordered, StreamExt};
use tokio::task::{JoinError, JoinHandle};

use super::child::{ChildSpec, RestartPolicy, StopSignal};
use super::restart_budget::RestartBudget;

/// Reason why a supervisor ended with a failure.
#[derive(Debug, Display, Error)]
pub enum SupervisorError {
    /// The children failed more often than the restart budget allows.
    #[display("supervisor {supervisor}: child {child} exhausted the restart budget: {cause}")]
    BudgetExhausted {
        /// Name of the supervisor.
        supervisor: &'static str,
        /// Name of the child that failed last.
        child: &'static str,
        /// Description of the last failure.
        cause: String,
    },
}

/// Outcome of one run of a child.
enum ChildExit {
    Finished,
    Failed(String),
}

impl From<Result<eyre::Result<()>, JoinError>> for ChildExit {
    fn from(joined: Result<eyre::Result<()>, JoinError>) -> Self {
        match joined {
            Ok(Ok(())) => Self::Finished,
            Ok(Err(report)) => Self::Failed(format!("{report:#}")),
            Err(error) => Self::Failed(error.to_string()),
        }
    }
}

/// Supervisor that starts its children in order, restarts them within a budget and stops them in
/// reverse order.
pub struct SupervisorTree {
    name: &'static str,
    budget: RestartBudget,
    children: Vec<ChildSpec>,
}

impl SupervisorTree {
    /// Creates a supervisor without children.
    pub fn new(name: &'static str) -> Self {
        Self { name, budget: RestartBudget::default(), children: Vec::new() }
    }

    /// Replaces the restart budget.
    pub fn budget(mut self, budget: RestartBudget) -> Self {
        self.budget = budget;
        self
    }

    /// Adds a child; children start in the order in which they were added.
    pub fn child(mut self, child: ChildSpec) -> Self {
        self.children.push(child);
        self
    }

    /// Runs the children until `stop` is cancelled or the restart budget is exhausted, then stops
    /// them and waits for their end.
    pub async fn run(self, stop: StopSignal) -> Result<(), SupervisorError> {
        let mut running = RunningChildren::start(&self.children);
        let mut budget = self.budget;
        let outcome = loop {
            tokio::select! {
                () = stop.cancelled() => break Ok(()),
                Some((index, exit)) = running.exits.next() => {
                    let child = &self.children[index];
                    let cause = match (exit, child.restart_policy) {
                        (ChildExit::Finished, RestartPolicy::Transient) => continue,
                        (ChildExit::Finished, RestartPolicy::Permanent) => {
                            "ended before it was told to stop".to_owned()
                        }
                        (ChildExit::Failed(cause), _) => cause,
                    };
                    log::error!(supervisor = self.name, child = child.name; "child failed: {cause}");
                    if !budget.try_restart(Instant::now()) {
                        break Err(SupervisorError::BudgetExhausted {
                            supervisor: self.name,
                            child: child.name,
                            cause,
                        });
                    }
                    running.start_child(index, child);
                }
            }
        };
        running.close(&self.children).await;
        outcome
    }
}

/// Handles of the children, in start order.
struct RunningChildren {
    stops: Vec<StopSignal>,
    aborts: Vec<tokio::task::AbortHandle>,
    exits: FuturesUnordered<BoxFuture<'static, (usize, ChildExit)>>,
    ended: Vec<bool>,
}

impl RunningChildren {
    fn start(children: &[ChildSpec]) -> Self {
        let mut running = Self {
            stops: Vec::new(),
            aborts: Vec::new(),
            exits: FuturesUnordered::new(),
            ended: vec![true; children.len()],
        };
        for (index, child) in children.iter().enumerate() {
            running.start_child(index, child);
        }
        running
    }

    fn start_child(&mut self, index: usize, child: &ChildSpec) {
        let stop = StopSignal::new();
        let handle: JoinHandle<eyre::Result<()>> = tokio::spawn((child.start)(stop.clone()));
        let abort = handle.abort_handle();
        if index < self.stops.len() {
            self.stops[index] = stop;
            self.aborts[index] = abort;
        } else {
            self.stops.push(stop);
            self.aborts.push(abort);
        }
        self.ended[index] = false;
        self.exits.push(Box::pin(async move { (index, ChildExit::from(handle.await)) }));
    }

    /// Stops the children in reverse order and waits for each within its grace period.
    async fn close(mut self, children: &[ChildSpec]) {
        for index in (0..children.len()).rev() {
            self.stops[index].cancel();
            let grace = tokio::time::sleep(children[index].stop_grace);
            tokio::pin!(grace);
            while !self.ended[index] {
                tokio::select! {
                    Some((ended, exit)) = self.exits.next() => {
                        self.ended[ended] = true;
                        if let ChildExit::Failed(cause) = exit {
                            let name = children[ended].name;
                            log::error!(child = name; "child failed while stopping: {cause}");
                        }
                    }
                    () = &mut grace => {
                        log::error!(child = children[index].name; "child did not stop in time; aborting it");
                        self.aborts[index].abort();
                        break;
                    }
                }
            }
        }
    }
}
