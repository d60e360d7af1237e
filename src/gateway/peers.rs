//! Exchange of reports between routers in UDP datagrams, any of which may be lost.
//!
//! HTTP between each pair of routers would cost a connection and several system calls per report. A
//! lost report is replaced by the next one, so datagrams suffice.

use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::sync::{Mutex, mpsc};

use super::GatewayContext;
use super::adapter::GatewayAdapter;
use super::events::{ControlEvent, OutgoingReport};
use crate::decision::direct::PeerReport;
use crate::protocol::decode_message;
use crate::supervisor::StopSignal;

/// Maximum size of a datagram, in bytes.
const MAX_DATAGRAM: usize = 60_000;

/// Queue of reports; it outlives a restart of the sender.
pub type ReportQueue = Arc<Mutex<mpsc::Receiver<OutgoingReport>>>;

/// Sends and receives reports until `stop` is cancelled.
pub async fn exchange_reports<A: GatewayAdapter>(
    context: Arc<GatewayContext<A>>,
    socket: Arc<UdpSocket>,
    queue: ReportQueue,
    stop: StopSignal,
) -> eyre::Result<()> {
    let mut queue = queue.lock().await;
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            outgoing = queue.recv() => {
                let Some(outgoing) = outgoing else { return Ok(()) };
                send_report(&socket, &outgoing).await;
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, sender)) => match decode_message::<PeerReport>(&buffer[..length]) {
                    Ok(report) => context.send_event(ControlEvent::Report(Box::new(report))),
                    Err(error) => log::warn!(sender:% = sender; "malformed report: {error}"),
                },
                Err(error) => log::debug!("cannot receive reports: {error}"),
            },
        }
    }
}

async fn send_report(socket: &UdpSocket, outgoing: &OutgoingReport) {
    let bytes = match rmp_serde::to_vec(&outgoing.report) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!("cannot encode a report: {error}");
            return;
        }
    };
    for address in &outgoing.addresses {
        if let Err(error) = socket.send_to(&bytes, address).await {
            log::debug!(peer:% = address; "cannot send a report: {error}");
        }
    }
}
