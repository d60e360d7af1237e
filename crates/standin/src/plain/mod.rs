//! Stand-in for a plain HTTP service, which records every execution in a ledger.

mod behaviour;
mod blob;
mod handlers;
mod options;
mod state;

use std::net::SocketAddr;

pub use behaviour::PlainBehaviour;
pub use blob::blob_content;
pub use options::{PlainOptions, RawPlainOptions, raw_plain_options};

use crate::error::StartError;
use crate::server::{ConnectionGate, HttpListener, StateThread};
use state::PlainState;

/// A running plain service stand-in.
pub struct RunningPlain {
    state: StateThread<PlainState>,
    listener: HttpListener,
}

impl RunningPlain {
    /// Starts the state thread, then the listener.
    pub async fn start(listen: SocketAddr, options: PlainOptions) -> Result<Self, StartError> {
        let slots = handlers::ServiceSlots::new(&options);
        let state = StateThread::start("plain-state", PlainState::new(options))?;
        let router = handlers::router(state.handle(), slots);
        let listener = HttpListener::start(listen, router, ConnectionGate::open()).await?;
        Ok(Self { state, listener })
    }

    /// Returns the address of the HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Stops the listener, then the state thread.
    pub async fn close(self) {
        self.listener.close().await;
        self.state.close().await;
    }
}
