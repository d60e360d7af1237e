//! TCP proxy that injects network faults, with any number of links.

mod handlers;
mod link;
mod pump;
mod rules;
mod state;

use std::net::SocketAddr;

pub use rules::{LinkBehaviour, LinkDirection, LinkMode};

use crate::error::StartError;
use crate::server::{ConnectionGate, HttpListener, StateThread};
use state::ProxyState;

/// A running fault proxy; links are added through its control interface.
pub struct RunningProxy {
    state: StateThread<ProxyState>,
    listener: HttpListener,
}

impl RunningProxy {
    /// Starts the state thread, then the listener of the control interface.
    pub async fn start(listen: SocketAddr) -> Result<Self, StartError> {
        let state = StateThread::start("proxy-state", ProxyState::default())?;
        let router = handlers::router(state.handle());
        let listener = HttpListener::start(listen, router, ConnectionGate::open()).await?;
        Ok(Self { state, listener })
    }

    /// Returns the address of the control interface.
    pub fn address(&self) -> SocketAddr {
        self.listener.address()
    }

    /// Stops the control interface, then the state thread with all links.
    pub async fn close(self) {
        self.listener.close().await;
        self.state.close().await;
    }
}
