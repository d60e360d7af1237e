//! A link: a listener whose connections are forwarded to a target.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::pump::DirectionPump;
use super::rules::{LinkBehaviour, LinkDirection, LinkRules};
use crate::ids::ConnectionNumber;

/// Counters of a link, updated by its connections.
#[derive(Debug, Default)]
struct LinkCounts {
    accepted: AtomicU64,
    open: AtomicU64,
    to_target: Arc<AtomicU64>,
    to_client: Arc<AtomicU64>,
}

/// A link that accepts connections until it is dropped, which also closes them.
pub(super) struct ProxyLink {
    address: SocketAddr,
    target: watch::Sender<SocketAddr>,
    rules: watch::Sender<LinkRules>,
    counts: Arc<LinkCounts>,
    _stop: DropGuard,
}

impl ProxyLink {
    /// Starts to forward connections from a free port of the loopback address.
    pub(super) async fn start(target: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let rules = watch::Sender::new(LinkRules::default());
        let counts = Arc::new(LinkCounts::default());
        let stop = CancellationToken::new();
        let target = watch::Sender::new(target);
        let acceptor = LinkAcceptor {
            listener,
            target: target.subscribe(),
            rules: rules.subscribe(),
            counts: Arc::clone(&counts),
            stop: stop.clone(),
        };
        tokio::spawn(acceptor.run());
        Ok(Self { address, target, rules, counts, _stop: stop.drop_guard() })
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the behaviour of the link.
    pub(super) fn set(&self, behaviour: LinkBehaviour) {
        let accepted = self.counts.accepted.load(Ordering::Acquire);
        let first_exempt = behaviour.existing_only.then_some(accepted);
        self.rules.send_replace(LinkRules { behaviour, first_exempt });
    }

    /// Changes the target of new connections.
    pub(super) fn retarget(&self, target: SocketAddr) {
        self.target.send_replace(target);
    }

    /// Returns the description of the link and its counters that the control interface lists.
    pub(super) fn describe(&self) -> Value {
        let count = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        json!({
            "address": self.address,
            "target": *self.target.borrow(),
            "order": self.rules.borrow().behaviour,
            "accepted": count(&self.counts.accepted),
            "open": count(&self.counts.open),
            "bytes-to-target": count(&self.counts.to_target),
            "bytes-to-client": count(&self.counts.to_client),
        })
    }
}

struct LinkAcceptor {
    listener: TcpListener,
    target: watch::Receiver<SocketAddr>,
    rules: watch::Receiver<LinkRules>,
    counts: Arc<LinkCounts>,
    stop: CancellationToken,
}

impl LinkAcceptor {
    async fn run(self) {
        loop {
            let accepted = tokio::select! {
                () = self.stop.cancelled() => return,
                accepted = self.listener.accept() => accepted,
            };
            match accepted {
                Ok((client, _)) => self.forward(client),
                Err(error) => {
                    log::warn!("cannot accept a connection: {error}");
                    // A lack of file descriptors persists; without the pause, this loop would
                    // spin.
                    tokio::time::sleep(std::time::Duration::from_millis(10)).await;
                }
            }
        }
    }

    fn forward(&self, client: TcpStream) {
        let number = self.counts.accepted.fetch_add(1, Ordering::AcqRel);
        let connection = LinkConnection {
            number,
            target: *self.target.borrow(),
            rules: self.rules.clone(),
            counts: Arc::clone(&self.counts),
        };
        let stop = self.stop.clone();
        tokio::spawn(async move {
            connection.counts.open.fetch_add(1, Ordering::Relaxed);
            tokio::select! {
                () = stop.cancelled() => {}
                () = connection.run(client) => {}
            }
            connection.counts.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

struct LinkConnection {
    number: ConnectionNumber,
    target: SocketAddr,
    rules: watch::Receiver<LinkRules>,
    counts: Arc<LinkCounts>,
}

impl LinkConnection {
    /// Forwards both directions until both have ended, one has failed or the link is cut.
    async fn run(&self, mut client: TcpStream) {
        let mut rules = self.rules.clone();
        let cut = async { rules.wait_for(|rules| rules.cuts(self.number)).await.is_ok() };
        tokio::select! {
            _ = cut => {}
            forwarded = self.forward(&mut client) => match forwarded {
                Ok(()) => return,
                Err(error) => log::debug!(connection = self.number; "connection ended: {error}"),
            },
        }
        // Without linger, closing the socket sends a reset, so that the client notices at once.
        if let Err(error) = client.set_zero_linger() {
            log::debug!(connection = self.number; "cannot reset a connection: {error}");
        }
    }

    async fn forward(&self, client: &mut TcpStream) -> std::io::Result<()> {
        client.set_nodelay(true)?;
        let mut target = TcpStream::connect(self.target).await?;
        target.set_nodelay(true)?;
        let (client_reader, client_writer) = client.split();
        let (target_reader, target_writer) = target.split();
        let to_target = self.pump(LinkDirection::ToTarget, &self.counts.to_target);
        let to_client = self.pump(LinkDirection::ToClient, &self.counts.to_client);
        let to_target = to_target.run(client_reader, target_writer);
        let to_client = to_client.run(target_reader, client_writer);
        tokio::try_join!(to_target, to_client).map(|_| ())
    }

    fn pump(&self, direction: LinkDirection, forwarded: &Arc<AtomicU64>) -> DirectionPump {
        DirectionPump {
            connection: self.number,
            direction,
            rules: self.rules.clone(),
            forwarded: Arc::clone(forwarded),
        }
    }
}
