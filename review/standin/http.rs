//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

#[derive(Clone, Debug, Default)]
pub struct Head {
    /// The request line or the status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or_default()
    }

    /// The path and query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.line
            .split(' ')
            .nth(1)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0)
    }
}

/// A connection with its unread bytes.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    pub fn open(address: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Ok(Self::new(TcpStream::connect_timeout(&address, timeout)?))
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut bytes = [0; 16 * 1024];
        let count = self.stream.read(&mut bytes)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let text = String::from_utf8_lossy(&line);
                return Ok(String::from(text.trim_end_matches(['\r', '\n'])));
            }
            self.fill()?;
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            self.fill()?;
        }
        Ok(self.buffer.drain(..count).collect())
    }

    pub fn head(&mut self) -> io::Result<Head> {
        let mut head = Head {
            line: self.line()?,
            headers: Vec::new(),
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(head);
            }
            if let Some((name, value)) = line.split_once(':') {
                head.headers
                    .push((String::from(name.trim()), String::from(value.trim())));
            }
        }
    }

    /// The next part of a body: a chunk, or all of a body with a length. `None` at its end.
    pub fn part(&mut self, body: &mut Body) -> io::Result<Option<Vec<u8>>> {
        match body {
            Body::Length(0) => Ok(None),
            Body::Length(length) => {
                let bytes = self.exactly(*length)?;
                *body = Body::Length(0);
                Ok(Some(bytes))
            }
            Body::Chunked => {
                let line = self.line()?;
                let size = line.split(';').next().unwrap_or_default().trim();
                let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
                let bytes = self.exactly(size)?;
                self.line()?;
                if size == 0 {
                    *body = Body::Length(0);
                    return Ok(None);
                }
                Ok(Some(bytes))
            }
        }
    }

    pub fn whole(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        let mut body = Body::of(head);
        let mut bytes = Vec::new();
        while let Some(part) = self.part(&mut body)? {
            bytes.extend_from_slice(&part);
        }
        Ok(bytes)
    }

    pub fn send(&mut self, text: &str) -> io::Result<()> {
        self.stream.write_all(text.as_bytes())
    }

    pub fn chunk(&mut self, text: &str) -> io::Result<()> {
        self.send(&format!("{:x}\r\n{text}\r\n", text.len()))
    }
}

#[derive(Clone, Copy, Debug)]
pub enum Body {
    Length(usize),
    Chunked,
}

impl Body {
    pub fn of(head: &Head) -> Self {
        if head.header("transfer-encoding").is_some() {
            return Self::Chunked;
        }
        let length = head
            .header("content-length")
            .and_then(|text| text.parse().ok());
        Self::Length(length.unwrap_or(0))
    }
}
