//! The router's part in the account exchange: it has no accounts of its own and forwards those of
//! the agents to the members that the VM list names.

use std::sync::Arc;

use super::RouterContext;
use crate::decision::account_exchange::DueCall;
use crate::exchange::send_reports;
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
