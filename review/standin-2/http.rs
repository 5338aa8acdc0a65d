//! A small HTTP/1.1 server side and client side over blocking sockets.

use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;
use std::time::Duration;
use std::time::Instant;

#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut all = self.headers.iter();
        all.find(|(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
}

#[derive(Clone, Debug, Default)]
pub struct Request {
    pub target: String,
    pub head: Head,
    pub body: Vec<u8>,
}

impl Request {
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
    }
}

/// A connection with what was read of it and not yet used.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16 * 1024];
        let length = self.stream.read(&mut piece)?;
        self.rest.extend_from_slice(&piece[..length]);
        Ok(length)
    }

    /// Reads a head; `None` if the connection ends before one.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        let end = loop {
            if let Some(at) = self.rest.windows(4).position(|window| window == b"\r\n\r\n") {
                break at;
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        };
        let text = String::from_utf8_lossy(&self.rest[..end]).into_owned();
        self.rest.drain(..end + 4);
        let mut lines = text.split("\r\n");
        let first_line = lines.next().unwrap_or_default().to_owned();
        let headers = lines.filter_map(|line| line.split_once(':'));
        let headers = headers
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Some(Head { first_line, headers }))
    }

    fn take(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.rest.len() < length {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.rest.drain(..length).collect())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.rest.windows(2).position(|window| window == b"\r\n") {
                let line = String::from_utf8_lossy(&self.rest[..at]).into_owned();
                self.rest.drain(..at + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads a chunk; an empty one is the last.
    pub fn read_chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.take_line()?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let length = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let bytes = self.take(length)?;
        self.take_line()?;
        Ok(bytes)
    }

    /// Reads the body that a head announces. An error tells that it is not whole. A response without
    /// a length and without chunks lasts until the connection ends.
    pub fn read_body(&mut self, head: &Head, is_response: bool) -> io::Result<Vec<u8>> {
        let is_chunked =
            head.header("transfer-encoding").is_some_and(|value| value.contains("chunked"));
        if is_chunked {
            let mut body = Vec::new();
            loop {
                let chunk = self.read_chunk()?;
                if chunk.is_empty() {
                    return Ok(body);
                }
                body.extend(chunk);
            }
        }
        if let Some(length) = head.header("content-length").and_then(|text| text.parse().ok()) {
            return self.take(length);
        }
        if is_response {
            while self.fill()? > 0 {}
            return Ok(std::mem::take(&mut self.rest));
        }
        Ok(Vec::new())
    }

    pub fn read_request(&mut self) -> io::Result<Option<Request>> {
        let Some(head) = self.read_head()? else { return Ok(None) };
        let target = head.first_line.split(' ').nth(1).unwrap_or_default().to_owned();
        let body = self.read_body(&head, false)?;
        Ok(Some(Request { target, head, body }))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    pub fn respond(&mut self, status: &str, headers: &[(&str, &str)], body: &str) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status}\r\n");
        for (name, value) in headers {
            text += &format!("{name}: {value}\r\n");
        }
        text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
        self.write(text.as_bytes())
    }
}

/// Serves each connection of a listener in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(Connection) + Clone + Send + 'static) {
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { continue };
            let handle = handle.clone();
            thread::spawn(move || handle(Connection::new(stream)));
        }
    });
}

/// An answer as a caller saw it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the body is whole by its framing.
    pub is_whole: bool,
}

/// Sends a request on a new connection, and reads the answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, String)],
    body: &str,
    limit: Duration,
) -> io::Result<Answer> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(limit))?;
    let mut connection = Connection::new(stream);
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n{body}", body.len());
    connection.write(text.as_bytes())?;
    let head = connection.read_head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = head.first_line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    let (body, is_whole) = match connection.read_body(&head, true) {
        Ok(body) => (body, true),
        Err(_) => (Vec::new(), false),
    };
    Ok(Answer { status, head, body, is_whole })
}

/// Waits until a condition holds; returns whether it does in time.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while Instant::now() < end {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(10));
    }
    condition()
}
