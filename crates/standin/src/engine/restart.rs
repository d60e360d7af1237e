//! Restarts the engine after a crash.

use std::time::Duration;

use tokio::sync::watch;

use super::state::EngineState;
use crate::server::{ConnectionGate, StateHandle};

/// A task that waits for crashes and starts the engine again after a delay.
pub(super) struct EngineRestart {
    pub(super) state: StateHandle<EngineState>,
    pub(super) gate: ConnectionGate,
    pub(super) restart_delay: Duration,
}

impl EngineRestart {
    pub(super) async fn run(self, mut crashes: watch::Receiver<u64>) {
        while crashes.changed().await.is_ok() {
            tokio::time::sleep(self.restart_delay).await;
            if self.state.call(EngineState::boot).await.is_err() {
                return;
            }
            self.gate.reopen();
        }
    }
}
