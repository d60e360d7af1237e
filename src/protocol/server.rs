//! Server side of the peer protocol: listener, decoding of messages and encoding of replies.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use viz::{Body, Request, RequestExt};

use super::codec::{decode_message, encode_message};
use super::messages::PeerCall;
use super::version_exchange::VersionExchange;

/// Maximum size of a message in bytes.
const MESSAGE_LIMIT: usize = 16 << 20;

/// A listener that sets `TCP_NODELAY` on its connections, so that small messages are sent without
/// delay.
#[derive(Debug)]
pub struct NodelayListener(TcpListener);

impl NodelayListener {
    /// Binds the address.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        TcpListener::bind(address).await.map(Self)
    }
}

impl viz::Listener for NodelayListener {
    type Addr = SocketAddr;
    type Io = TcpStream;

    async fn accept(&self) -> std::io::Result<(TcpStream, SocketAddr)> {
        let (stream, address) = self.0.accept().await?;
        stream.set_nodelay(true)?;
        Ok((stream, address))
    }

    fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

/// Response to a message: the encoded reply or an error response.
pub type PeerReply = Response<Body>;

/// Reads and decodes a message; the error is the response to a malformed one.
pub async fn read_message<M: PeerCall>(
    request: &mut Request,
    versions: &VersionExchange,
) -> Result<M, PeerReply> {
    versions.read_headers(request.headers(), None);
    let body = request.incoming().map_err(|error| error_reply(400, error.to_string()))?;
    let bytes = Limited::new(body, MESSAGE_LIMIT)
        .collect()
        .await
        .map_err(|error| error_reply(413, error.to_string()))?
        .to_bytes();
    decode_message(&bytes).map_err(|error| error_reply(400, error.to_string()))
}

/// Encodes the reply to a message.
pub fn write_reply(reply: &impl Serialize, versions: &VersionExchange) -> PeerReply {
    let mut response = match encode_message(reply) {
        Ok(bytes) => Response::new(Body::from(http_body_util::Full::new(bytes))),
        Err(error) => error_reply(500, error.to_string()),
    };
    versions.write_headers(response.headers_mut());
    response
}

fn error_reply(status: u16, text: String) -> PeerReply {
    let mut response = Response::new(Body::from(http_body_util::Full::new(Bytes::from(text))));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
    response
}
