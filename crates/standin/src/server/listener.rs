//! HTTP listener whose connections can all be dropped at the same time.

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto::Builder;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio_util::sync::{CancellationToken, DropGuard};
use tokio_util::task::TaskTracker;
use viz::{Responder, Router, Tree};

use super::answer::ConnectionClosed;
use crate::error::StartError;

/// State of a gate; each change of `epoch` drops the connections that were accepted before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct GateState {
    open: bool,
    epoch: u64,
}

/// A gate that drops all connections of a listener when it closes, and refuses new ones until it
/// is opened again.
#[derive(Clone, Debug)]
pub struct ConnectionGate {
    state: watch::Sender<GateState>,
}

impl ConnectionGate {
    /// Creates an open gate.
    pub fn open() -> Self {
        Self { state: watch::Sender::new(GateState { open: true, epoch: 0 }) }
    }

    /// Drops all connections and refuses new ones until [`Self::reopen`].
    pub fn close(&self) {
        self.state.send_modify(|state| {
            state.open = false;
            state.epoch += 1;
        });
    }

    /// Accepts connections again.
    pub fn reopen(&self) {
        self.state.send_modify(|state| state.open = true);
    }
}

/// A listener that serves the handlers of a router.
pub struct HttpListener {
    address: SocketAddr,
    task: JoinHandle<()>,
    connections: TaskTracker,
    stop: DropGuard,
}

impl HttpListener {
    /// Binds `listen` and starts to serve `router`.
    pub async fn start(
        listen: SocketAddr,
        router: Router,
        gate: ConnectionGate,
    ) -> Result<Self, StartError> {
        let bound = async {
            let listener = TcpListener::bind(listen).await?;
            let address = listener.local_addr()?;
            Ok((listener, address))
        };
        let (listener, address) =
            bound.await.map_err(|source| StartError::Listen { address: listen, source })?;
        let stop = CancellationToken::new();
        let connections = TaskTracker::new();
        let accept_loop = AcceptLoop {
            listener,
            tree: Arc::new(router.into()),
            gate,
            connections: connections.clone(),
            stop: stop.clone(),
        };
        let task = tokio::spawn(accept_loop.run());
        Ok(Self { address, task, connections, stop: stop.drop_guard() })
    }

    /// Returns the address that the listener is bound to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops listening and drops all connections.
    pub async fn close(self) {
        drop(self.stop);
        if let Err(error) = self.task.await {
            log::error!("accept loop failed: {error}");
        }
        self.connections.close();
        self.connections.wait().await;
    }
}

struct AcceptLoop {
    listener: TcpListener,
    tree: Arc<Tree>,
    gate: ConnectionGate,
    connections: TaskTracker,
    stop: CancellationToken,
}

impl AcceptLoop {
    async fn run(self) {
        loop {
            tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = self.listener.accept() => match accepted {
                    Ok((stream, peer)) => self.serve(stream, peer),
                    Err(error) => {
                        log::warn!("cannot accept a connection: {error}");
                        // A lack of file descriptors persists; without the pause, this loop
                        // would spin.
                        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                    }
                },
            }
        }
    }

    fn serve(&self, stream: TcpStream, peer: SocketAddr) {
        let mut gate = self.gate.state.subscribe();
        let accepted = *gate.borrow_and_update();
        if !accepted.open {
            return;
        }
        if let Err(error) = stream.set_nodelay(true) {
            log::warn!(peer:% = peer; "cannot set TCP_NODELAY: {error}");
        }
        let responder = Arc::new(Responder::new(Arc::clone(&self.tree), Some(Arc::new(peer))));
        let stop = self.stop.clone();
        self.connections.spawn(async move {
            let service = service_fn(move |request| {
                let responder = Arc::clone(&responder);
                async move {
                    let answer = hyper::service::Service::call(&*responder, request).await;
                    let answer = answer.unwrap_or_else(|never| match never {});
                    match answer.extensions().get::<ConnectionClosed>() {
                        Some(closed) => Err(*closed),
                        None => Ok(answer),
                    }
                }
            });
            let builder = Builder::new(TokioExecutor::new());
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                () = stop.cancelled() => {}
                _ = gate.wait_for(|state| state.epoch != accepted.epoch) => {}
                served = connection => if let Err(error) = served {
                    log::debug!(peer:% = peer; "connection ended: {error}");
                }
            }
        });
    }
}
