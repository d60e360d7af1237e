//! Reads HTTP/1.1 messages from a blocking connection.

use std::io::{self, Read};
use std::net::TcpStream;

/// Head of a request or of an answer, with the first line apart.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    /// Returns a field by its name in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    fn length(&self) -> Option<usize> {
        self.field("content-length")?.parse().ok()
    }

    fn is_chunked(&self) -> bool {
        self.field("transfer-encoding").is_some_and(|coding| coding.contains("chunked"))
    }
}

/// A connection with the bytes that were read ahead.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn early_end() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.fill()? == 0 {
                return Err(early_end());
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(early_end());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    /// Reads a head; `None` when the connection has ended in order before it.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let line = match self.line() {
            Ok(line) => line,
            Err(error) if error.kind() == io::ErrorKind::UnexpectedEof => {
                return if self.buffer.is_empty() { Ok(None) } else { Err(error) };
            }
            Err(error) => return Err(error),
        };
        let mut head = Head { line, fields: Vec::new() };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(Some(head));
            }
            if let Some((name, value)) = line.split_once(':') {
                head.fields.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body that follows a head with a length or in chunks.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !head.is_chunked() {
            return self.exactly(head.length().unwrap_or(0));
        }
        let mut body = Vec::new();
        while let Some(chunk) = self.chunk()? {
            body.extend_from_slice(&chunk);
        }
        Ok(body)
    }

    /// Reads the next chunk of a body; `None` at its end.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = usize::from_str_radix(line.trim(), 16).map_err(|_| early_end())?;
        let data = self.exactly(size)?;
        self.line()?;
        Ok((size > 0).then_some(data))
    }
}
