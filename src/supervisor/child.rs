//! Description of one supervised child.

use std::future::Future;
use std::time::Duration;

use futures::future::BoxFuture;
use tokio_util::sync::CancellationToken;

/// Signal that tells a child to finish its work and return.
pub type StopSignal = CancellationToken;

/// Default time between the stop signal and the abort of a child that has not returned.
pub(super) const DEFAULT_STOP_GRACE: Duration = Duration::from_secs(30);

/// When a supervisor restarts a child.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestartPolicy {
    /// Restart whenever the child ends before it was told to stop.
    Permanent,
    /// Restart only when the child fails or panics.
    Transient,
}

/// Starts one run of a child.
pub(super) type StartFunction =
    Box<dyn Fn(StopSignal) -> BoxFuture<'static, eyre::Result<()>> + Send + Sync>;

/// Name, restart policy and start function of a child.
pub struct ChildSpec {
    pub(super) name: &'static str,
    pub(super) restart_policy: RestartPolicy,
    pub(super) stop_grace: Duration,
    pub(super) start: StartFunction,
}

impl ChildSpec {
    /// Describes a child that is restarted whenever it ends before it was told to stop.
    pub fn permanent<F>(
        name: &'static str,
        start: impl Fn(StopSignal) -> F + Send + Sync + 'static,
    ) -> Self
    where
        F: Future<Output = eyre::Result<()>> + Send + 'static,
    {
        Self {
            name,
            restart_policy: RestartPolicy::Permanent,
            stop_grace: DEFAULT_STOP_GRACE,
            start: Box::new(move |stop| Box::pin(start(stop))),
        }
    }

    /// Describes a child that may end on its own and is restarted only after a failure or a panic.
    pub fn transient<F>(
        name: &'static str,
        start: impl Fn(StopSignal) -> F + Send + Sync + 'static,
    ) -> Self
    where
        F: Future<Output = eyre::Result<()>> + Send + 'static,
    {
        Self { restart_policy: RestartPolicy::Transient, ..Self::permanent(name, start) }
    }

    /// Sets the time between the stop signal and the abort of the child.
    pub fn stop_grace(mut self, grace: Duration) -> Self {
        self.stop_grace = grace;
        self
    }
}
