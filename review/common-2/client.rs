//! Clients: they connect to a gateway, send a request and read the answer.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{Connection, Head};

/// Time within which a client's connection has to be established.
pub const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Key of the tenant of the cases.
pub const KEY: &str = "asnmgkcuyj8pjbvk9m68";

/// Host of the routes of the cases.
pub const HOST: &str = "ficu95.example";

/// Returns the head of a request, without the empty line at its end.
pub fn head(method: &str, path: &str, attempt: &str, deadline_ms: u64) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Identifier: {attempt}\r\n\
         X-Deadline-Milliseconds: {deadline_ms}\r\nX-Key: {KEY}\r\n"
    )
}

/// Opens a connection whose reads fail after `patience`.
pub fn connect(address: SocketAddr, patience: Duration) -> io::Result<Connection> {
    let stream = TcpStream::connect_timeout(&address, CONNECT_LIMIT)?;
    stream.set_read_timeout(Some(patience))?;
    stream.set_write_timeout(Some(patience))?;
    Ok(Connection::new(stream))
}

/// Sends a complete request and reads its whole answer.
pub fn exchange(connection: &mut Connection, request: &str) -> io::Result<(Head, Vec<u8>)> {
    connection.stream.write_all(request.as_bytes())?;
    let head = connection.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = connection.body(&head)?;
    Ok((head, body))
}

/// Asks a gateway whether it is ready; returns the status of its answer.
pub fn probe(address: SocketAddr) -> Option<u16> {
    let mut connection = connect(address, Duration::from_secs(1)).ok()?;
    let request = "GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
    exchange(&mut connection, request).ok().map(|(head, _)| head.status())
}
