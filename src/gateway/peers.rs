//! Reports between routers: small datagrams, of which any may be lost.
//!
//! HTTP between each pair of routers would cost a connection and several system calls a report; a
//! lost report is made good by the next one, so datagrams fit better here.

use std::sync::Arc;

use tokio::net::UdpSocket;
use tokio::sync::{Mutex, mpsc};

use super::GatewayContext;
use super::adapter::GatewayAdapter;
use super::events::{ControlEvent, PeerMail};
use crate::decision::direct::PeerReport;
use crate::supervisor::StopSignal;

/// Largest datagram, in bytes.
const DATAGRAM_LIMIT: usize = 60_000;

/// Queue of reports that outlives a restart of the sender.
pub type MailQueue = Arc<Mutex<mpsc::Receiver<PeerMail>>>;

/// Sends and receives reports until `stop` is cancelled.
pub async fn exchange_reports<A: GatewayAdapter>(
    context: Arc<GatewayContext<A>>,
    socket: Arc<UdpSocket>,
    queue: MailQueue,
    stop: StopSignal,
) -> eyre::Result<()> {
    let mut queue = queue.lock().await;
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    loop {
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            mail = queue.recv() => {
                let Some(mail) = mail else { return Ok(()) };
                send_report(&socket, &mail).await;
            }
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, sender)) => match rmp_serde::from_slice::<PeerReport>(&buffer[..length]) {
                    Ok(report) => context.tell(ControlEvent::Peer(report)),
                    Err(error) => log::warn!(sender:% = sender; "malformed report: {error}"),
                },
                Err(error) => log::debug!("cannot receive reports: {error}"),
            },
        }
    }
}

async fn send_report(socket: &UdpSocket, mail: &PeerMail) {
    let bytes = match rmp_serde::to_vec(&mail.report) {
        Ok(bytes) => bytes,
        Err(error) => {
            log::error!("cannot encode a report: {error}");
            return;
        }
    };
    for address in &mail.addresses {
        if let Err(error) = socket.send_to(&bytes, address).await {
            log::debug!(peer:% = address; "report not sent: {error}");
        }
    }
}
