//! Subcommand `proxy`.

use std::net::SocketAddr;

use bpaf::Bpaf;

use super::{listen, report_and_wait};
use crate::proxy::RunningProxy;

/// Address of the proxy's control interface.
#[derive(Clone, Debug, Bpaf)]
pub struct ProxyCommand {
    #[bpaf(external)]
    listen: SocketAddr,
}

impl ProxyCommand {
    /// Runs the proxy until a signal to stop.
    pub(super) async fn execute(self) -> eyre::Result<()> {
        let running = RunningProxy::start(self.listen).await?;
        report_and_wait("proxy", running.address()).await?;
        running.close().await;
        Ok(())
    }
}
