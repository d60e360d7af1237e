//! Start of a call whose connection is handed over, read only to learn the call's deadline.

use std::time::{Duration, Instant};

use http::{Request, Uri, request};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::GatewayContext;
use super::adapter::{CallCodec, GatewayAdapter};
use super::admit::find_host;
use crate::routing::RouteMatch;

/// Maximum size of the start, in bytes.
const MAX_START_BYTES: usize = 16 << 10;

/// Maximum number of header lines that are read.
const MAX_HEADERS: usize = 64;

/// First bytes of a call, up to the end of its head if that fits.
#[derive(Debug)]
pub(super) struct CallStart {
    pub(super) bytes: Vec<u8>,
    pub(super) arrived: Instant,
}

impl CallStart {
    /// Reads a call's head from a caller's connection. Stops early at `limit`, at the end of the
    /// connection and when the start is full: the router that serves the call answers those.
    pub(super) async fn read(caller: &mut TcpStream, limit: Duration) -> std::io::Result<Self> {
        let arrived = Instant::now();
        let mut bytes = Vec::with_capacity(1 << 10);
        let reading = async {
            while bytes.len() < MAX_START_BYTES && !has_whole_head(&bytes) {
                let room = (MAX_START_BYTES - bytes.len()) as u64;
                if (&mut *caller).take(room).read_buf(&mut bytes).await? == 0 {
                    break;
                }
            }
            Ok::<(), std::io::Error>(())
        };
        if let Ok(read) = tokio::time::timeout(limit, reading).await {
            read?;
        }
        Ok(Self { bytes, arrived })
    }

    /// Returns when the call must be answered: its route's timeout, or the caller's if that is
    /// shorter. The longest timeout of all routes holds for a call whose route is not known.
    pub(super) fn deadline<A: GatewayAdapter>(&self, context: &GatewayContext<A>) -> Instant {
        let time_left = self.time_left(context).unwrap_or_else(|| {
            context.table.borrow().as_ref().map_or(Duration::ZERO, |table| table.max_timeout())
        });
        self.arrived + time_left
    }

    /// Returns whether the answer may end with its connection, without a length or chunks.
    pub(super) fn allows_unframed(&self) -> bool {
        let line = self.bytes.split(|byte| *byte == b'\n').next().unwrap_or_default();
        line.trim_ascii_end().ends_with(b"HTTP/1.0")
    }

    fn time_left<A: GatewayAdapter>(&self, context: &GatewayContext<A>) -> Option<Duration> {
        let head = parse_head(&self.bytes)?;
        let metadata = context.adapter.codec().read_head(&head).ok()?;
        let table = context.table.borrow().clone()?;
        let RouteMatch::Allowed { route, .. } =
            table.find(find_host(&head), head.uri.path(), metadata.key.as_deref())
        else {
            return None;
        };
        Some(metadata.time_left.map_or(route.timeout, |time_left| time_left.min(route.timeout)))
    }
}

fn has_whole_head(bytes: &[u8]) -> bool {
    bytes.windows(4).any(|window| window == b"\r\n\r\n")
}

fn parse_head(bytes: &[u8]) -> Option<request::Parts> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    if head.parse(bytes).ok()?.is_partial() {
        return None;
    }
    let uri: Uri = head.path?.parse().ok()?;
    let mut builder = Request::builder().method(head.method?).uri(uri);
    for header in head.headers.iter() {
        builder = builder.header(header.name, header.value);
    }
    Some(builder.body(()).ok()?.into_parts().0)
}
