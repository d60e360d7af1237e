//! Propagation of the configuration version in the headers of every message.

use std::net::SocketAddr;
use std::str::FromStr;

use http::{HeaderMap, HeaderName, HeaderValue};
use tokio::sync::watch;

use crate::ids::ConfigurationVersion;

/// Header with the sender's configuration version, on requests and replies between processes.
pub const CONFIGURATION_HEADER: HeaderName = HeaderName::from_static("godwitcrank-configuration");

/// Header with the peer address of a request's sender, from which a newer configuration can be
/// fetched.
pub const SENDER_HEADER: HeaderName = HeaderName::from_static("godwitcrank-sender");

/// A configuration version reported by another process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedVersion {
    /// The version.
    pub version: ConfigurationVersion,
    /// Peer address of a process that has it.
    pub holder: Option<SocketAddr>,
}

/// The configuration version of this process and the highest one that others reported.
#[derive(Clone, Debug)]
pub struct VersionExchange {
    own_address: Option<SocketAddr>,
    held: watch::Sender<ConfigurationVersion>,
    reported: watch::Sender<ReportedVersion>,
}

impl Default for VersionExchange {
    fn default() -> Self {
        Self {
            own_address: None,
            held: watch::Sender::new(0),
            reported: watch::Sender::new(ReportedVersion::default()),
        }
    }
}

impl VersionExchange {
    /// Creates the exchange of a process that others reach at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { own_address: Some(address), ..Self::default() }
    }

    /// Returns the version in force in this process; 0 before the first.
    pub fn held(&self) -> ConfigurationVersion {
        *self.held.borrow()
    }

    /// Records that a version is in force in this process. Lower versions than the current one are
    /// ignored.
    pub fn record_held(&self, version: ConfigurationVersion) {
        self.held.send_if_modified(|held| {
            let newer = version > *held;
            *held = version.max(*held);
            newer
        });
    }

    /// Records a version that another process reported, if it is the highest so far.
    pub fn record_reported(&self, report: ReportedVersion) {
        self.reported.send_if_modified(|reported| {
            let newer = report.version > reported.version;
            if newer {
                *reported = report;
            }
            newer
        });
    }

    /// Returns a receiver that is notified when a higher version is reported.
    pub fn subscribe(&self) -> watch::Receiver<ReportedVersion> {
        self.reported.subscribe()
    }

    /// Adds the version and the address of this process to outgoing headers.
    pub fn write_headers(&self, headers: &mut HeaderMap) {
        headers.insert(CONFIGURATION_HEADER, HeaderValue::from(self.held()));
        let address = self.own_address.map(|address| HeaderValue::from_str(&address.to_string()));
        if let Some(Ok(address)) = address {
            headers.insert(SENDER_HEADER, address);
        }
    }

    /// Reads the sender's version from incoming headers. `address` is the sender's peer address if
    /// it is already known; otherwise it is read from the headers.
    pub fn read_headers(&self, headers: &HeaderMap, address: Option<SocketAddr>) {
        let holder = address.or_else(|| parse_header(headers, &SENDER_HEADER));
        if let Some(version) = parse_header(headers, &CONFIGURATION_HEADER) {
            self.record_reported(ReportedVersion { version, holder });
        }
    }
}

fn parse_header<T: FromStr>(headers: &HeaderMap, name: &HeaderName) -> Option<T> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}
