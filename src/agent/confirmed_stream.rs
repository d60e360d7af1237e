//! Connections to the upstream that end only in order.
//!
//! The end of such a connection is the end of an answer that has neither length nor chunks. It is
//! reported only when the upstream has received all that was sent; otherwise a read fails.

use std::io::{self, IoSlice};
use std::net::Shutdown;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use futures::future::BoxFuture;
use futures::{FutureExt, TryFutureExt};
use http::Uri;
use hyper_util::client::legacy::connect::{Connected, Connection, HttpConnector};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tower_service::Service;

use crate::answer_checks::ClosingCheck;

/// Opens confirmed connections.
#[derive(Clone, Debug)]
pub struct ConfirmingConnector(HttpConnector);

impl From<HttpConnector> for ConfirmingConnector {
    fn from(connector: HttpConnector) -> Self {
        Self(connector)
    }
}

impl Service<Uri> for ConfirmingConnector {
    type Response = TokioIo<ConfirmedStream>;
    type Error = <HttpConnector as Service<Uri>>::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        self.0.poll_ready(context)
    }

    fn call(&mut self, address: Uri) -> Self::Future {
        let connecting = self.0.call(address);
        connecting.map_ok(|stream| TokioIo::new(stream.into_inner().into())).boxed()
    }
}

/// A connection whose end is reported only if the peer has received all that was sent.
#[derive(Debug)]
pub struct ConfirmedStream {
    stream: TcpStream,
    /// Whether a part of the last write was not taken.
    has_unwritten: bool,
    /// Set once the peer has ended its side.
    closing: Option<ClosingCheck>,
}

impl From<TcpStream> for ConfirmedStream {
    fn from(stream: TcpStream) -> Self {
        Self { stream, has_unwritten: false, closing: None }
    }
}

impl ConfirmedStream {
    /// Ends this side, after the peer has ended its own.
    fn begin_closing(&mut self) -> io::Result<ClosingCheck> {
        if self.has_unwritten {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        SockRef::from(&self.stream).shutdown(Shutdown::Write)?;
        Ok(ClosingCheck::default())
    }

    fn record_write(&mut self, offered: usize, written: &Poll<io::Result<usize>>) {
        self.has_unwritten = !matches!(written, Poll::Ready(Ok(taken)) if *taken == offered);
    }
}

impl AsyncRead for ConfirmedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.closing.is_none() {
            let filled = buffer.filled().len();
            ready!(Pin::new(&mut this.stream).poll_read(context, buffer))?;
            if buffer.filled().len() > filled || buffer.remaining() == 0 {
                return Poll::Ready(Ok(()));
            }
            this.closing = Some(this.begin_closing()?);
        }
        match &mut this.closing {
            Some(check) => check.poll_closed(&this.stream, context),
            None => Poll::Ready(Ok(())),
        }
    }
}

impl AsyncWrite for ConfirmedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(bytes.len(), &written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(slices.iter().map(|slice| slice.len()).sum(), &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

impl Connection for ConfirmedStream {
    fn connected(&self) -> Connected {
        self.stream.connected()
    }
}
