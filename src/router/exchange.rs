//! The router's part in the account exchange: it has no accounts of its own and forwards those of
//! the agents to the members that the VM list names.

use std::sync::Arc;

use super::RouterContext;
use super::events::RouterEvent;
use crate::decision::account_exchange::DueCall;
use crate::exchange::{ExchangeEvent, exchange_members, send_reports};
use crate::store::VmList;
use crate::supervisor::{ControlInbox, StopSignal};

/// Sends the due reports until `stop` is cancelled.
pub async fn send(
    context: Arc<RouterContext>,
    inbox: ControlInbox<DueCall>,
    stop: StopSignal,
) -> eyre::Result<()> {
    let (peers, control) = (context.report_peers.clone(), context.control.clone());
    send_reports(peers, inbox, Arc::clone(&context.exchange_traffic), control, stop).await
}

/// Polls the platform's VM list for the members of the exchange until `stop` is cancelled.
pub async fn poll_members(context: Arc<RouterContext>, stop: StopSignal) -> eyre::Result<()> {
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
