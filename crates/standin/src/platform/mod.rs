//! Stand-in for the platform: table service, object store, VM list and weight store.

mod control;
mod counters;
mod handlers;
mod options;
mod rate_limit;
mod state;
mod table;
mod vm_list;

use std::net::SocketAddr;

pub use control::{StoreBehaviour, StoreMode};
pub use options::{PlatformOptions, RawPlatformOptions, raw_platform_options};
pub use table::{RowCondition, RowContent, RowWrite};

use crate::error::StartError;
use crate::server::{ConnectionGate, HttpListener, StateThread};
use state::PlatformState;

/// A running platform stand-in.
pub struct RunningPlatform {
    state: StateThread<PlatformState>,
    listener: HttpListener,
}

impl RunningPlatform {
    /// Starts the state thread, then the listener.
    pub async fn start(listen: SocketAddr, options: PlatformOptions) -> Result<Self, StartError> {
        let state = StateThread::start("platform-state", PlatformState::new(&options))?;
        let router = handlers::router(state.handle());
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
