//! Subcommand `platform`.

use std::net::SocketAddr;

use bpaf::Bpaf;
use eyre::WrapErr;

use super::{listen, report_and_wait};
use crate::platform::{PlatformOptions, RawPlatformOptions, RunningPlatform, raw_platform_options};

/// Address and options of the platform.
#[derive(Clone, Debug, Bpaf)]
pub struct PlatformCommand {
    #[bpaf(external)]
    listen: SocketAddr,
    #[bpaf(external(raw_platform_options))]
    options: RawPlatformOptions,
}

impl PlatformCommand {
    /// Runs the platform until a signal to stop.
    pub(super) async fn execute(self) -> eyre::Result<()> {
        let options = PlatformOptions::try_from(self.options).wrap_err("invalid options")?;
        let running = RunningPlatform::start(self.listen, options).await?;
        report_and_wait("platform", running.address()).await?;
        running.close().await;
        Ok(())
    }
}
