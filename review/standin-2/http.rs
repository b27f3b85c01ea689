//! The little of HTTP/1.1 that the stand-ins speak.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response as it arrived.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The path and the query of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    /// The value of a parameter of the query, decoded.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let found = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
        Some(decode(found))
    }
}

fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut decoded, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    ahead: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        stream.set_nodelay(true).ok();
        Self { stream, ahead: Vec::new() }
    }

    pub fn open(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        TcpStream::connect_timeout(&addr, timeout).map(Self::new)
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16 << 10];
        let count = self.stream.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    fn fill_or_end(&mut self) -> io::Result<()> {
        if self.fill()? == 0 {
            Err(io::ErrorKind::UnexpectedEof.into())
        } else {
            Ok(())
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.ahead.drain(..end + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..end]).into_owned());
            }
            self.fill_or_end()?;
        }
    }

    fn read_bytes(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < count {
            self.fill_or_end()?;
        }
        Ok(self.ahead.drain(..count).collect())
    }

    /// Reads a request or a response, whole.
    pub fn read_message(&mut self, is_response: bool) -> io::Result<Message> {
        let mut message = Message { line: self.read_line()?, ..Message::default() };
        loop {
            let line = self.read_line()?;
            let Some((name, value)) = line.split_once(':') else { break };
            message.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        if message.header("transfer-encoding").is_some() {
            loop {
                let size = self.read_line()?;
                let size = usize::from_str_radix(size.trim(), 16).unwrap_or(0);
                let piece = self.read_bytes(size)?;
                self.read_line()?;
                if size == 0 {
                    break;
                }
                message.body.extend_from_slice(&piece);
            }
        } else if let Some(length) = length {
            message.body = self.read_bytes(length)?;
        } else if is_response {
            while self.fill()? > 0 {}
            message.body = std::mem::take(&mut self.ahead);
        }
        Ok(message)
    }

    pub fn write(&mut self, text: &str, body: &[u8]) -> io::Result<()> {
        let mut bytes = text.as_bytes().to_vec();
        bytes.extend_from_slice(body);
        self.stream.write_all(&bytes)
    }
}

/// Sends a request on a new connection and reads the response.
pub fn call(addr: SocketAddr, text: &str, body: &[u8], limit: Duration) -> io::Result<Message> {
    let started = Instant::now();
    let mut conn = Conn::open(addr, limit)?;
    let left = limit.saturating_sub(started.elapsed()).max(Duration::from_millis(1));
    conn.stream.set_read_timeout(Some(left))?;
    conn.write(text, body)?;
    conn.read_message(true)
}

/// Returns a free address on loopback.
pub fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("its address")
}
