//! TLS for callers.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use godwitcrank::router::RouterDaemon;
use godwitcrank::settings::{NodeRole, ProcessSettings, RawSettings};
use godwitcrank::supervisor::StopSignal;
use googletest::prelude::*;
use http_body_util::{BodyExt, Empty};
use hyper_util::rt::TokioIo;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, ServerName};
use rustls::{ClientConfig, RootCertStore};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;

/// Maximum duration of each awaited step.
const STEP_TIMEOUT: Duration = Duration::from_secs(5);

/// A temporary folder with a self-signed certificate and its key; it is removed on drop.
struct CertificateFolder {
    path: PathBuf,
}

impl CertificateFolder {
    fn create(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("godwitcrank-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).expect("temporary folder");
        let signed = rcgen::generate_simple_self_signed(["localhost".to_owned()]).expect("cert");
        std::fs::write(path.join("cert.pem"), signed.cert.pem()).expect("certificate file");
        std::fs::write(path.join("key.pem"), signed.signing_key.serialize_pem()).expect("key file");
        Self { path }
    }

    fn file(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }
}

impl Drop for CertificateFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}

fn router_settings(certificate: &Path, key: &Path) -> ProcessSettings {
    let text = format!(
        r#"
[node]
id = "router-1"
data-centre = "caerdydd"

[listen]
caller = "127.0.0.1:0"
peer = "127.0.0.1:0"

[platform]
table = "http://127.0.0.1:1"
vm-list = "http://127.0.0.1:1"

[tls]
certificate = "{}"
key = "{}"

[drain]
delay = "0s"
"#,
        certificate.display(),
        key.display()
    );
    let raw = RawSettings { file: "router.toml".to_owned(), text, role: NodeRole::Router };
    ProcessSettings::try_from(raw).expect("the settings are valid")
}

/// Fetches `/healthz` over TLS, trusting only the given certificate.
async fn get_health(address: SocketAddr, certificate: &Path) -> String {
    let mut roots = RootCertStore::empty();
    let trusted = CertificateDer::from_pem_file(certificate).expect("certificate file");
    roots.add(trusted).expect("certificate");
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .expect("protocol versions")
        .with_root_certificates(roots)
        .with_no_client_auth();
    let stream = TcpStream::connect(address).await.expect("connection");
    let name = ServerName::try_from("localhost").expect("name");
    let stream =
        TlsConnector::from(Arc::new(config)).connect(name, stream).await.expect("handshake");
    let (mut sender, connection) =
        hyper::client::conn::http1::handshake(TokioIo::new(stream)).await.expect("HTTP");
    tokio::spawn(connection);
    let request = http::Request::get("/healthz")
        .header("host", "localhost")
        .body(Empty::<bytes::Bytes>::new())
        .expect("request");
    let response = sender.send_request(request).await.expect("response");
    let body = response.into_body().collect().await.expect("body").to_bytes();
    String::from_utf8(body.to_vec()).expect("text")
}

/// Guards against a client that stalls its TLS handshake and thereby blocks other clients.
#[gtest]
#[tokio::test]
async fn serve_callers_stalled_handshake() {
    let folder = CertificateFolder::create("stalled");
    let certificate = folder.file("cert.pem");
    let settings = router_settings(&certificate, &folder.file("key.pem"));
    let daemon = RouterDaemon::bind(settings).await.expect("listeners");
    let address = daemon.listen_report().caller.expect("caller address");
    let stop = StopSignal::new();
    let running = tokio::spawn(daemon.run(stop.clone()));
    let _stalled = TcpStream::connect(address).await.expect("connection");
    let health = tokio::time::timeout(STEP_TIMEOUT, get_health(address, &certificate)).await;
    expect_that!(health, ok(eq("ok")));
    stop.cancel();
    let stopped = tokio::time::timeout(STEP_TIMEOUT, running).await.expect("stops in time");
    expect_that!(stopped.expect("no panic"), ok(anything()));
}

/// Guards against an error about a missing key file that does not name the file and the setting.
#[gtest]
#[tokio::test]
async fn load_acceptor_missing_key() {
    let folder = CertificateFolder::create("missing");
    let settings = router_settings(&folder.file("cert.pem"), &folder.file("absent.pem"));
    let report = RouterDaemon::bind(settings).await.err().expect("no key file");
    expect_that!(format!("{report:#}"), contains_substring("absent.pem (tls.key)"));
}
