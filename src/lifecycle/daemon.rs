//! Life cycle of a daemon process.

use std::time::{Duration, Instant};

use tokio::sync::watch;

/// State of a daemon, as reported by its readiness endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ReadyState {
    /// The daemon cannot serve yet.
    #[display("starting")]
    Starting,
    /// The daemon accepts new work.
    #[display("serving")]
    Serving,
    /// The daemon accepts work, but should be sent no more until it has recovered.
    #[display("overloaded")]
    Overloaded,
    /// The daemon finishes its running work and accepts no more.
    #[display("draining")]
    Draining,
    /// All work of the daemon has ended.
    #[display("stopped")]
    Stopped,
}

/// Receiver of the readiness state.
pub type ReadyWatch = watch::Receiver<ReadyState>;

/// A daemon that does not have a configuration yet.
#[derive(Debug)]
pub struct StartingDaemon {
    state: watch::Sender<ReadyState>,
}

/// A daemon that accepts new work.
#[derive(Debug)]
pub struct ServingDaemon {
    state: watch::Sender<ReadyState>,
}

/// A daemon that accepts work, but should be sent no more until it has recovered.
#[derive(Debug)]
pub struct OverloadedDaemon {
    state: watch::Sender<ReadyState>,
}

/// A daemon that only finishes running work.
#[derive(Debug)]
pub struct DrainingDaemon {
    state: watch::Sender<ReadyState>,
    since: Instant,
}

/// A daemon whose work has ended.
#[derive(Debug)]
pub struct StoppedDaemon {
    drained_in: Duration,
}

impl StartingDaemon {
    /// Creates the first state, and the receiver through which others observe the state.
    pub fn new() -> (Self, ReadyWatch) {
        let (state, watch) = watch::channel(ReadyState::Starting);
        (Self { state }, watch)
    }

    /// Starts to accept new work.
    pub fn serve(self) -> ServingDaemon {
        self.state.send_replace(ReadyState::Serving);
        ServingDaemon { state: self.state }
    }

    /// Stops before serving.
    pub fn drain(self, now: Instant) -> DrainingDaemon {
        self.serve().drain(now)
    }
}

impl ServingDaemon {
    /// Marks the daemon as overloaded.
    pub fn mark_overloaded(self) -> OverloadedDaemon {
        self.state.send_replace(ReadyState::Overloaded);
        OverloadedDaemon { state: self.state }
    }

    /// Stops accepting new work.
    pub fn drain(self, now: Instant) -> DrainingDaemon {
        self.state.send_replace(ReadyState::Draining);
        DrainingDaemon { state: self.state, since: now }
    }
}

impl OverloadedDaemon {
    /// Marks the daemon as no longer overloaded.
    pub fn recover(self) -> ServingDaemon {
        self.state.send_replace(ReadyState::Serving);
        ServingDaemon { state: self.state }
    }

    /// Stops accepting new work.
    pub fn drain(self, now: Instant) -> DrainingDaemon {
        self.recover().drain(now)
    }
}

impl DrainingDaemon {
    /// Ends the life cycle once no work is left.
    pub fn close(self, now: Instant) -> StoppedDaemon {
        self.state.send_replace(ReadyState::Stopped);
        StoppedDaemon { drained_in: now.duration_since(self.since) }
    }
}

impl StoppedDaemon {
    /// Time between the stop signal and the end of the last request.
    pub fn drained_in(&self) -> Duration {
        self.drained_in
    }
}
