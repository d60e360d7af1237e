//! Polls the platform's VM list for the members of the account exchange.

use std::sync::Arc;

use super::RouterContext;
use super::events::RouterEvent;
use crate::exchange::{ExchangeEvent, exchange_members};
use crate::store::VmList;
use crate::supervisor::StopSignal;

/// Polls until `stop` is cancelled.
pub async fn poll(context: Arc<RouterContext>, stop: StopSignal) -> eyre::Result<()> {
    let mut ticker = tokio::time::interval(context.settings.platform.poll_interval);
    loop {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            _ = ticker.tick() => {}
        }
        match context.vm_list.list().await {
            Ok(vms) => {
                let members = ExchangeEvent::MembersListed(exchange_members(&vms));
                let _ = context.control.send(RouterEvent::Exchange(members)).await;
            }
            Err(error) => log::warn!("cannot read the VM list; keeping the last one: {error}"),
        }
    }
}
