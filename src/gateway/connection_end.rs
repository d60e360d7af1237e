//! Ends of connections: to upstreams, as far as they end an answer, and of callers whose answer was
//! broken off.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use derive_more::{Display, Error, From};
use http::Version;
use tokio::net::TcpStream;

/// Why a connection did not end in order.
#[derive(Debug, Display, Error, From)]
pub enum EndError {
    /// It failed while it was read or written.
    #[display("the connection failed: {_0}")]
    Failed(hyper::Error),
    /// The peer did not receive all that was sent.
    #[display("the connection was broken off: {_0}")]
    BrokenOff(io::Error),
    /// Its task was stopped.
    #[display("the connection was given up")]
    Aborted,
}

/// Ends a caller's connection whose answer was broken off. The end of the connection is the end of
/// an answer to HTTP/1.0 that has no length, so the connection is reset.
pub fn break_off(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        log::debug!("the caller's connection has ended before its answer: {error}");
    }
}

/// Whether the answers on a caller's connection may end with it, as the last call shows.
#[derive(Clone, Debug, Default)]
pub struct UnframedAnswers(Arc<AtomicBool>);

impl UnframedAnswers {
    /// Records the HTTP version of a call.
    pub fn record_call(&self, version: Version) {
        self.0.store(version == Version::HTTP_10, Ordering::Relaxed);
    }

    /// Returns whether the last call was one whose answer may end with the connection.
    pub fn are_possible(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}
