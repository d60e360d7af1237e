//! Subcommand `engine`.

use std::net::SocketAddr;

use bpaf::Bpaf;
use eyre::WrapErr;

use super::{listen, report_and_wait};
use crate::engine::{EngineOptions, RawEngineOptions, RunningEngine, raw_engine_options};

/// Address and options of the engine.
#[derive(Clone, Debug, Bpaf)]
pub struct EngineCommand {
    #[bpaf(external)]
    listen: SocketAddr,
    #[bpaf(external(raw_engine_options))]
    options: RawEngineOptions,
}

impl EngineCommand {
    /// Runs the engine until a signal to stop.
    pub(super) async fn execute(self) -> eyre::Result<()> {
        let options = EngineOptions::try_from(self.options).wrap_err("invalid options")?;
        let running = RunningEngine::start(self.listen, options).await?;
        report_and_wait("engine", running.address()).await?;
        running.close().await;
        Ok(())
    }
}
