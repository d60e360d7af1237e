//! Runs a viz server as a supervised child.

mod tls;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use eyre::OptionExt;
use tokio::net::TcpStream;
use tokio_rustls::TlsAcceptor;
use viz::{Listener, Router};

use crate::protocol::NodelayListener;
use crate::supervisor::StopSignal;

pub use tls::{CallerListener, CallerStream, load_acceptor};

/// Keeps a bound listener across restarts of its server and closes it on a planned stop.
///
/// Without closing it, connections made while the daemon drains would wait in the backlog and be
/// reset when the process ends.
#[derive(Clone, Debug)]
pub struct ListenerSlot(Arc<Mutex<Option<Arc<NodelayListener>>>>);

impl From<NodelayListener> for ListenerSlot {
    fn from(listener: NodelayListener) -> Self {
        Self(Arc::new(Mutex::new(Some(Arc::new(listener)))))
    }
}

impl ListenerSlot {
    /// Returns the listener unless it was closed.
    pub fn get(&self) -> Option<Arc<NodelayListener>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Closes the listener once no server uses it.
    pub fn close(&self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).take();
    }
}

/// A listener that is shared by a slot and its server.
struct SharedListener(Arc<NodelayListener>);

impl Listener for SharedListener {
    type Addr = SocketAddr;
    type Io = TcpStream;

    async fn accept(&self) -> std::io::Result<(TcpStream, SocketAddr)> {
        self.0.accept().await
    }

    fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

/// Serves HTTP/1.1 and HTTP/2 (prior knowledge) until `stop` is cancelled, then closes the
/// listener and waits for the requests on open connections.
pub async fn serve_until(slot: ListenerSlot, router: Router, stop: StopSignal) -> eyre::Result<()> {
    serve_callers(slot, None, router, stop).await
}

/// Like [`serve_until`], with TLS if there is an acceptor.
pub async fn serve_callers(
    slot: ListenerSlot,
    acceptor: Option<TlsAcceptor>,
    router: Router,
    stop: StopSignal,
) -> eyre::Result<()> {
    let listener = slot.get().ok_or_eyre("the listener is closed")?;
    let listener = CallerListener::start(SharedListener(listener), acceptor)?;
    let stopped = async move {
        stop.cancelled().await;
        slot.close();
    };
    viz::serve(listener, router).signal(stopped).await?;
    Ok(())
}
