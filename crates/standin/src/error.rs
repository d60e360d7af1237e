//! Errors of the stand-ins.

use std::io;
use std::net::SocketAddr;

use derive_more::{Display, Error};

/// All invalid options, reported together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Display, Error)]
#[display("{}", findings.join("; "))]
pub struct InvalidOptions {
    #[error(not(source))]
    findings: Vec<String>,
}

impl InvalidOptions {
    /// Adds a finding about `option` unless `valid`.
    pub fn require(&mut self, valid: bool, option: &str, expected: &str) {
        if !valid {
            self.findings.push(format!("--{option}: {expected}"));
        }
    }

    /// Returns `options` if there are no findings, otherwise the findings.
    pub fn into_result<T>(self, options: T) -> Result<T, Self> {
        if self.findings.is_empty() { Ok(options) } else { Err(self) }
    }
}

/// Error that prevents a stand-in from starting.
#[derive(Debug, Display, Error)]
pub enum StartError {
    /// The listener could not be bound.
    #[display("cannot listen on {address}: {source}")]
    Listen {
        /// Requested address.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The thread that owns the state could not be started.
    #[display("cannot start thread {name}: {source}")]
    Thread {
        /// Name of the thread.
        name: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Error of a call to a state thread that has ended.
#[derive(Clone, Copy, Debug, Display, Error)]
#[display("the stand-in is stopping")]
pub struct StateClosed;
