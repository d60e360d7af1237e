//! Connection that records when its peer does not read.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connection_meter::ConnectionMeter;

/// Connection with the meter that it reports to.
#[derive(Debug)]
pub(super) struct MeteredStream {
    stream: TcpStream,
    meter: Arc<ConnectionMeter>,
}

impl MeteredStream {
    /// Combines a connection with its meter.
    pub(super) fn new(stream: TcpStream, meter: Arc<ConnectionMeter>) -> Self {
        Self { stream, meter }
    }

    /// Returns the connection.
    pub(super) fn stream(&self) -> &TcpStream {
        &self.stream
    }

    fn record(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Pending => self.meter.record_blocked(),
            Poll::Ready(Ok(bytes)) => self.meter.record_written(*bytes),
            Poll::Ready(Err(_)) => {}
        }
        written
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// Called by the server once all bytes are written.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flushed = Pin::new(&mut self.stream).poll_flush(context);
        if flushed.is_ready() && self.meter.record_flushed() {
            // A call that waits for this has been polled before the flush.
            context.waker().wake_by_ref();
        }
        flushed
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
