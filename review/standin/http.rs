//! HTTP/1.1 over blocking sockets: what the stand-ins need of it.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request, or an answer whose status stands in `target`.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns a parameter of the query, decoded.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let (_, query) = self.target.split_once('?')?;
        let value = query.split('&').find_map(|pair| {
            let (known, value) = pair.split_once('=')?;
            (known == name).then_some(value)
        })?;
        Some(decode_percent(value))
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%')
            .then(|| bytes.get(at + 1..at + 3))
            .flatten()
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.last() != Some(&b'\n') {
        return Err(io::Error::other("the line has no end"));
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let Some(first) = read_line(reader)? else { return Ok(None) };
    let mut words = first.split(' ');
    let mut message = Message {
        method: words.next().unwrap_or_default().to_owned(),
        target: words.next().unwrap_or_default().to_owned(),
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?.ok_or_else(|| io::Error::other("the head has no end"))?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            message.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body, calling `seen` for each chunk of a chunked one.
fn read_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    is_answer: bool,
    mut seen: impl FnMut(&[u8]),
) -> io::Result<()> {
    if message.header("transfer-encoding").is_some() {
        loop {
            let line = read_line(reader)?.ok_or_else(|| io::Error::other("a chunk is missing"))?;
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            seen(&chunk[..size]);
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(length) = message.header("content-length") {
        let length: usize = length.parse().map_err(io::Error::other)?;
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        message.body = body;
        return Ok(());
    }
    if is_answer {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(())
}

/// Reads a request; `None` when the connection ends before one.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else { return Ok(None) };
    read_body(reader, &mut message, false, |_| {})?;
    Ok(Some(message))
}

pub fn write_answer(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("HTTP/1.1 {status} Status\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// How a request of a client ended.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The whole answer arrived.
    Answer(Message),
    /// The client could not connect.
    NoConnection,
    /// The connection ended before the answer was whole; the status is known if the head arrived.
    Cut(Option<u16>),
    /// The client waited for its whole deadline; the status is known if the head arrived.
    Deadline(Option<u16>),
}

impl Outcome {
    pub fn status(&self) -> Option<u16> {
        match self {
            Outcome::Answer(message) => message.target.parse().ok(),
            _ => None,
        }
    }

    pub fn label(&self) -> String {
        match self {
            Outcome::Answer(message) => message.target.clone(),
            Outcome::NoConnection => "no connection".to_owned(),
            Outcome::Cut(None) => "cut, no answer".to_owned(),
            Outcome::Cut(Some(status)) => format!("cut in the answer {status}"),
            Outcome::Deadline(None) => "deadline, no answer".to_owned(),
            Outcome::Deadline(Some(status)) => format!("deadline in the answer {status}"),
        }
    }
}

/// Sends a request on a new connection and reads its answer until `wait` has passed.
pub fn call(
    front: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, String)],
    body: &[u8],
    wait: Duration,
) -> Outcome {
    let end = Instant::now() + wait;
    let Ok(mut stream) = TcpStream::connect_timeout(&front, Duration::from_secs(1)) else {
        return Outcome::NoConnection;
    };
    let _ = stream.set_nodelay(true);
    let mut bytes = format!("{method} {target} HTTP/1.1\r\nhost: bench.example\r\n");
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        bytes.push_str(&format!("content-length: {}\r\n", body.len()));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    if stream.write_all(&bytes).is_err() {
        return Outcome::Cut(None);
    }
    let mut reader = BufReader::new(DeadlineReader { stream, end });
    let is_late = |error: &io::Error| {
        matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
    };
    let mut answer = match read_head(&mut reader) {
        Ok(Some(answer)) => answer,
        Ok(None) => return Outcome::Cut(None),
        Err(error) if is_late(&error) => return Outcome::Deadline(None),
        Err(_) => return Outcome::Cut(None),
    };
    let status = answer.target.parse().ok();
    match read_body(&mut reader, &mut answer, true, |_| {}) {
        Ok(()) => Outcome::Answer(answer),
        Err(error) if is_late(&error) => Outcome::Deadline(status),
        Err(_) => Outcome::Cut(status),
    }
}

/// Reads from a connection until a time.
struct DeadlineReader {
    stream: TcpStream,
    end: Instant,
}

impl Read for DeadlineReader {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.end.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}
