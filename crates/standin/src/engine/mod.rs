//! Stand-in for a model engine with continuous batching.
//!
//! The state thread admits streams and keeps the counters. Each stream is a task that produces
//! tokens at the pace that the state thread publishes. Tokens are derived from the prompt, so that
//! the progress of a stream is a single number and any part of it can be sent again.

mod behaviour;
mod cold_start;
mod content;
mod control;
mod counters;
mod handlers;
mod options;
mod prefix_cache;
mod restart;
mod state;
mod stream;

use std::net::SocketAddr;

use tokio::sync::watch;
use tokio::task::JoinHandle;

pub use behaviour::EngineBehaviour;
pub use content::{StreamContent, completion_events};
pub use options::{EngineOptions, RawEngineOptions, raw_engine_options};

use crate::error::StartError;
use crate::server::{ConnectionGate, HttpListener, StateThread};
use state::EngineState;

/// A running engine stand-in.
pub struct RunningEngine {
    state: StateThread<EngineState>,
    listener: HttpListener,
    restart: JoinHandle<()>,
}

impl RunningEngine {
    /// Starts the state thread, the listener, and the task that restarts the engine after crashes.
    pub async fn start(listen: SocketAddr, options: EngineOptions) -> Result<Self, StartError> {
        let gate = ConnectionGate::open();
        let (crashes, crash_events) = watch::channel(0);
        let restart_delay = options.restart_delay;
        let state = EngineState::new(options, gate.clone(), crashes);
        let state = StateThread::start("engine-state", state)?;
        let router = handlers::router(state.handle());
        let listener = HttpListener::start(listen, router, gate.clone()).await?;
        let restart = restart::EngineRestart { state: state.handle(), gate, restart_delay };
        let restart = tokio::spawn(restart.run(crash_events));
        Ok(Self { state, listener, restart })
    }

    /// Returns the address of the HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Stops the listener, the restart task and the state thread.
    pub async fn close(self) {
        self.listener.close().await;
        self.restart.abort();
        self.state.close().await;
    }
}
