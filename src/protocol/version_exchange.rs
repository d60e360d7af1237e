//! Passing the configuration version on with every message.

use std::net::SocketAddr;
use std::str::FromStr;

use http::{HeaderMap, HeaderName, HeaderValue};
use tokio::sync::watch;

use crate::ids::ConfigurationVersion;

/// Header with the sender's configuration version, on requests and replies between processes.
pub const CONFIGURATION_HEADER: HeaderName = HeaderName::from_static("godwitcrank-configuration");

/// Header with the address at which others reach the sender of a request, so that a newer
/// configuration can be fetched from it.
pub const SENDER_HEADER: HeaderName = HeaderName::from_static("godwitcrank-sender");

/// A version that was reported of, and who has it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReportedVersion {
    /// Version.
    pub version: ConfigurationVersion,
    /// Peer address of a process that holds it.
    pub holder: Option<SocketAddr>,
}

/// The version that this process holds and the highest that it reported of.
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
    /// Creates an exchange for a process that others reach at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self { own_address: Some(address), ..Self::default() }
    }

    /// Version in force in this process; 0 before the first.
    pub fn held(&self) -> ConfigurationVersion {
        *self.held.borrow()
    }

    /// Records that a version is in force in this process; versions never go back.
    pub fn record_held(&self, version: ConfigurationVersion) {
        self.held.send_if_modified(|held| {
            let newer = version > *held;
            *held = version.max(*held);
            newer
        });
    }

    /// Records a version that another process reported.
    pub fn record_reported(&self, report: ReportedVersion) {
        self.reported.send_if_modified(|reported| {
            let newer = report.version > reported.version;
            if newer {
                *reported = report;
            }
            newer
        });
    }

    /// Notifies when a higher version is reported of.
    pub fn subscribe(&self) -> watch::Receiver<ReportedVersion> {
        self.reported.subscribe()
    }

    /// Adds the held version to outgoing headers.
    pub fn write_headers(&self, headers: &mut HeaderMap) {
        headers.insert(CONFIGURATION_HEADER, HeaderValue::from(self.held()));
        let address = self.own_address.map(|address| HeaderValue::from_str(&address.to_string()));
        if let Some(Ok(address)) = address {
            headers.insert(SENDER_HEADER, address);
        }
    }

    /// Reads the sender's version from incoming headers; `address` is the sender's if it is known
    /// from the connection.
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
