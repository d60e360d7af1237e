//! Subcommand `plain`.

use std::net::SocketAddr;

use bpaf::Bpaf;
use eyre::WrapErr;

use super::{listen, report_and_wait};
use crate::plain::{PlainOptions, RawPlainOptions, RunningPlain, raw_plain_options};

/// Address and options of the plain service.
#[derive(Clone, Debug, Bpaf)]
pub struct PlainCommand {
    #[bpaf(external)]
    listen: SocketAddr,
    #[bpaf(external(raw_plain_options))]
    options: RawPlainOptions,
}

impl PlainCommand {
    /// Runs the plain service until a signal to stop.
    pub(super) async fn execute(self) -> eyre::Result<()> {
        let options = PlainOptions::try_from(self.options).wrap_err("invalid options")?;
        let running = RunningPlain::start(self.listen, options).await?;
        report_and_wait("plain", running.address()).await?;
        running.close().await;
        Ok(())
    }
}
