//! Life cycle of a daemon process.

use std::time::{Duration, Instant};

use tokio::sync::watch;

/// What a daemon's readiness endpoint reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ReadyState {
    /// Not yet able to serve.
    #[display("starting")]
    Starting,
    /// Takes new work.
    #[display("serving")]
    Serving,
    /// Takes work, but asks for no more until it has caught up.
    #[display("overloaded")]
    Overloaded,
    /// Finishes running work and takes no more.
    #[display("draining")]
    Draining,
    /// All work has ended.
    #[display("stopped")]
    Stopped,
}

/// Read side of the readiness state.
pub type ReadyWatch = watch::Receiver<ReadyState>;

/// A daemon that has not yet a configuration to serve with.
#[derive(Debug)]
pub struct StartingDaemon {
    state: watch::Sender<ReadyState>,
}

/// A daemon that takes new work.
#[derive(Debug)]
pub struct ServingDaemon {
    state: watch::Sender<ReadyState>,
}

/// A daemon that takes work but should get no more until it has caught up.
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
    /// Creates the first state and the watch that others read it through.
    pub fn new() -> (Self, ReadyWatch) {
        let (state, watch) = watch::channel(ReadyState::Starting);
        (Self { state }, watch)
    }

    /// Starts to take new work.
    pub fn serve(self) -> ServingDaemon {
        self.state.send_replace(ReadyState::Serving);
        ServingDaemon { state: self.state }
    }

    /// Stops before having served.
    pub fn drain(self, now: Instant) -> DrainingDaemon {
        self.serve().drain(now)
    }
}

impl ServingDaemon {
    /// Asks for no more work for a while.
    pub fn overload(self) -> OverloadedDaemon {
        self.state.send_replace(ReadyState::Overloaded);
        OverloadedDaemon { state: self.state }
    }

    /// Stops taking new work.
    pub fn drain(self, now: Instant) -> DrainingDaemon {
        self.state.send_replace(ReadyState::Draining);
        DrainingDaemon { state: self.state, since: now }
    }
}

impl OverloadedDaemon {
    /// Asks for work again.
    pub fn relieve(self) -> ServingDaemon {
        self.state.send_replace(ReadyState::Serving);
        ServingDaemon { state: self.state }
    }

    /// Stops taking new work.
    pub fn drain(self, now: Instant) -> DrainingDaemon {
        self.relieve().drain(now)
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
