//! Checks of upstreams' answers: whether the status ends a call, and whether a connection that marks
//! the end of an answer ended in order.
//!
//! An upstream that closes a connection before it has received the whole call sends an ordinary end
//! at first. The reset follows when the rest of the call arrives there, and a read does not report
//! it after the end. So this side has to end the connection, too, and to wait for the acknowledgement
//! of all that it sent.

use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use http::StatusCode;
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// Pause before the second check whether a connection is closed; it doubles with each check.
const FIRST_PAUSE: Duration = Duration::from_millis(1);

/// Upper limit of that pause.
const MAX_PAUSE: Duration = Duration::from_millis(20);

/// Time after which the peer counts as lost.
const CLOSE_LIMIT: Duration = Duration::from_secs(10);

/// Returns whether a status ends a call. Statuses below 200 are interim, and no call asks for another
/// protocol; HTTP defines no class above 599.
pub fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Check whether a connection that both sides have ended is closed.
#[derive(Debug)]
pub struct ClosingCheck {
    started: Instant,
    pause: Duration,
    sleep: Pin<Box<Sleep>>,
}

impl Default for ClosingCheck {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            pause: FIRST_PAUSE,
            sleep: Box::pin(tokio::time::sleep(FIRST_PAUSE)),
        }
    }
}

impl ClosingCheck {
    /// Polls until the connection is closed. Fails if the peer has not acknowledged all bytes.
    pub fn poll_closed(
        &mut self,
        stream: &TcpStream,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<()>> {
        // A socket has no peer any more once the last acknowledgement or a reset has closed it. The
        // kernel does not signal that apart from the end that was already read, so it is polled.
        while stream.peer_addr().is_ok() {
            if self.started.elapsed() > CLOSE_LIMIT {
                return Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
            }
            ready!(self.sleep.as_mut().poll(context));
            self.pause = (self.pause * 2).min(MAX_PAUSE);
            self.sleep.as_mut().reset(tokio::time::Instant::now() + self.pause);
        }
        Poll::Ready(stream.take_error().and_then(|error| error.map_or(Ok(()), Err)))
    }
}

/// Waits until a connection is closed that both sides have ended. Fails if the peer has not
/// acknowledged all bytes.
pub async fn wait_closed(stream: &TcpStream) -> io::Result<()> {
    let mut check = ClosingCheck::default();
    poll_fn(|context| check.poll_closed(stream, context)).await
}
