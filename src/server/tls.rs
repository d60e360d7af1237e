//! TLS for callers, by rustls, with certificate and key from PEM files (RFC 7468).

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use eyre::WrapErr;
use rustls::ServerConfig;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio::net::TcpStream;
use tokio::sync::{Mutex, mpsc};
use tokio_rustls::TlsAcceptor;
use tokio_rustls::server::TlsStream;
use tokio_util::either::Either;
use tokio_util::sync::DropGuard;
use viz::Listener;

use super::SharedListener;
use crate::settings::TlsSettings;
use crate::supervisor::StopSignal;

/// Maximum duration of a TLS handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Number of connections that may wait after the handshake to be served.
const ACCEPT_QUEUE_CAPACITY: usize = 64;

/// Application protocols offered by ALPN (RFC 7301), in order of preference.
const ALPN_PROTOCOLS: [&[u8]; 2] = [b"h2", b"http/1.1"];

/// A connection in clear text or with TLS.
pub type CallerStream = Either<TcpStream, TlsStream<TcpStream>>;

/// Creates a TLS acceptor from the certificate chain and the private key of the settings.
pub fn load_acceptor(settings: &TlsSettings) -> eyre::Result<TlsAcceptor> {
    let chain = read_chain(&settings.certificate)?;
    let key = PrivateKeyDer::from_pem_file(&settings.key)
        .wrap_err_with(|| format!("cannot read {} (tls.key)", settings.key.display()))?;
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut config = ServerConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()?
        .with_no_client_auth()
        .with_single_cert(chain, key)
        .wrap_err("the certificate (tls.certificate) and the key (tls.key) do not match")?;
    config.alpn_protocols = ALPN_PROTOCOLS.iter().map(|protocol| protocol.to_vec()).collect();
    Ok(TlsAcceptor::from(Arc::new(config)))
}

fn read_chain(path: &Path) -> eyre::Result<Vec<CertificateDer<'static>>> {
    CertificateDer::pem_file_iter(path)
        .and_then(Iterator::collect)
        .wrap_err_with(|| format!("cannot read {} (tls.certificate)", path.display()))
}

/// Listener for callers. TLS handshakes run concurrently, so that a client that stalls its
/// handshake does not delay others.
pub struct CallerListener {
    address: SocketAddr,
    source: CallerSource,
}

/// Where the listener takes its connections from: the socket, or the queue that follows the TLS
/// handshakes.
enum CallerSource {
    Cleartext(SharedListener),
    Tls { accepted: Mutex<mpsc::Receiver<(CallerStream, SocketAddr)>>, _accept_guard: DropGuard },
}

impl CallerListener {
    /// Accepts connections with TLS if there is an acceptor, else in clear text.
    pub(super) fn start(
        listener: SharedListener,
        acceptor: Option<TlsAcceptor>,
    ) -> std::io::Result<Self> {
        let address = listener.local_addr()?;
        let source = match acceptor {
            None => CallerSource::Cleartext(listener),
            Some(acceptor) => {
                let (sender, receiver) = mpsc::channel(ACCEPT_QUEUE_CAPACITY);
                let stop = StopSignal::new();
                tokio::spawn(accept_connections(listener, acceptor, sender, stop.clone()));
                CallerSource::Tls {
                    accepted: Mutex::new(receiver),
                    _accept_guard: stop.drop_guard(),
                }
            }
        };
        Ok(Self { address, source })
    }
}

impl Listener for CallerListener {
    type Addr = SocketAddr;
    type Io = CallerStream;

    async fn accept(&self) -> std::io::Result<(CallerStream, SocketAddr)> {
        match &self.source {
            CallerSource::Cleartext(listener) => {
                listener.accept().await.map(|(stream, address)| (Either::Left(stream), address))
            }
            CallerSource::Tls { accepted, .. } => {
                let connection = accepted.lock().await.recv().await;
                connection.ok_or_else(|| std::io::Error::other("the TLS accept loop has ended"))
            }
        }
    }

    fn local_addr(&self) -> std::io::Result<SocketAddr> {
        Ok(self.address)
    }
}

/// Accepts connections until `stop` is cancelled and performs each handshake in its own task.
async fn accept_connections(
    listener: SharedListener,
    acceptor: TlsAcceptor,
    sender: mpsc::Sender<(CallerStream, SocketAddr)>,
    stop: StopSignal,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, address)) => {
                tokio::spawn(perform_handshake(acceptor.clone(), stream, address, sender.clone()));
            }
            Err(error) => {
                log::warn!("cannot accept a connection: {error}");
                // While file descriptors are exhausted, accept fails again at once; without the
                // pause this loop would spin.
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        }
    }
}

/// Performs a TLS handshake and queues the connection.
async fn perform_handshake(
    acceptor: TlsAcceptor,
    stream: TcpStream,
    address: SocketAddr,
    sender: mpsc::Sender<(CallerStream, SocketAddr)>,
) {
    match tokio::time::timeout(HANDSHAKE_TIMEOUT, acceptor.accept(stream)).await {
        Ok(Ok(stream)) => {
            // The receiver is gone once the server has stopped; the connection is then closed.
            let _ = sender.send((Either::Right(stream), address)).await;
        }
        Ok(Err(error)) => log::debug!(address:% = address; "TLS handshake failed: {error}"),
        Err(_) => log::debug!(address:% = address; "TLS handshake timed out"),
    }
}
