//! Tells a connection that ended in order from one that was broken off.
//!
//! An upstream that closes a connection before it has received the whole call sends an ordinary end
//! at first. The reset follows when the rest of the call arrives there, and a read does not report
//! it after the end. So this side ends the connection, too, and waits for the acknowledgement of all
//! that it sent.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use derive_more::{Display, Error, From};
use http::Version;
use tokio::net::TcpStream;

/// Pause before the second check whether a connection is closed; it doubles with each check.
const FIRST_PAUSE: Duration = Duration::from_millis(1);

/// Upper limit of that pause.
const MAX_PAUSE: Duration = Duration::from_millis(20);

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

/// Waits until a connection is closed that both sides have ended. Fails if the peer has not
/// acknowledged all bytes.
pub async fn wait_closed(stream: &TcpStream) -> Result<(), EndError> {
    let mut pause = FIRST_PAUSE;
    // A socket has no peer any more once the last acknowledgement or a reset has closed it. The
    // kernel does not signal that apart from the end that was already read, so it is polled; the
    // limit on unacknowledged bytes ends the wait at the latest.
    while stream.peer_addr().is_ok() {
        tokio::time::sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
    }
    match stream.take_error()? {
        Some(error) => Err(error.into()),
        None => Ok(()),
    }
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
