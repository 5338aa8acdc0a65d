//! A caller with one connection.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use super::backend::header;

/// The receive buffer of a slow caller.
const SLOW_WINDOW_BYTES: u32 = 16 * 1024;

/// A request to an entry.
#[derive(Clone, Debug)]
pub struct Call {
    pub id: &'static str,
    pub path: &'static str,
    pub wait_ms: u64,
    pub extra: &'static str,
}

impl Call {
    /// Creates a request to a path.
    pub fn new(id: &'static str, path: &'static str) -> Self {
        Self { id, path, wait_ms: 5_000, extra: "" }
    }

    /// Returns the bytes of the request as text.
    pub fn text(&self) -> String {
        let Self { id, path, wait_ms, extra } = self;
        format!(
            "GET {path} HTTP/1.1\r\nhost: desk.example\r\nx-id: {id}\r\nx-wait-ms: {wait_ms}\r\n{extra}\r\n"
        )
    }
}

/// A response as the caller receives it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Reply {
    pub status: u16,
    pub head: String,
    pub body: String,
    /// Whether the body ended properly.
    pub is_complete: bool,
}

impl Reply {
    /// Parses what has arrived of a response with chunks or a length. Returns `None` if its head is
    /// not whole.
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(bytes).expect("the response is UTF-8");
        let (head, mut rest) = text.split_once("\r\n\r\n")?;
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let (mut body, mut is_complete) = (String::new(), false);
        if header(head, "transfer-encoding").is_none() {
            let length: usize = header(head, "content-length")?.parse().ok()?;
            (body, is_complete) = (rest.to_owned(), rest.len() == length);
        }
        while let Some((length, after)) = rest.split_once("\r\n").filter(|_| !is_complete) {
            let length = usize::from_str_radix(length, 16).expect("the length is hexadecimal");
            let Some(chunk) = after.get(..length) else {
                body.push_str(after);
                break;
            };
            body.push_str(chunk);
            rest = after.get(length + 2..).unwrap_or_default();
            is_complete = length == 0 && after.len() >= 2;
        }
        Some(Self { status, head: head.to_owned(), body, is_complete })
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<String> {
        header(&self.head, name)
    }
}

/// A caller with one connection.
#[derive(Debug)]
pub struct Caller {
    stream: TcpStream,
}

impl Caller {
    /// Connects to an entry.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        Self::over(TcpStream::connect(address).await?)
    }

    /// Connects to an entry with a receive window that is far smaller than a large response.
    pub async fn connect_slow(address: SocketAddr) -> io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.set_recv_buffer_size(SLOW_WINDOW_BYTES)?;
        Self::over(socket.connect(address).await?)
    }

    fn over(stream: TcpStream) -> io::Result<Self> {
        // Acknowledgements take real time, which paused time does not wait for.
        stream.set_nodelay(true)?;
        Ok(Self { stream })
    }

    /// Sends a request.
    pub async fn send(&mut self, call: &Call) -> io::Result<()> {
        self.send_bytes(call.text().as_bytes()).await
    }

    /// Sends bytes as they are.
    pub async fn send_bytes(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Sends bytes without giving the entry a turn in between.
    pub fn send_at_once(&self, bytes: &[u8]) {
        let sent = SockRef::from(&self.stream).send(bytes).expect("the connection is open");
        assert_eq!(sent, bytes.len(), "the socket has room");
    }

    /// Reads until the end of the connection; an error tells that it was reset.
    pub async fn read_to_end(&mut self) -> io::Result<Vec<u8>> {
        let mut received = Vec::new();
        self.stream.read_to_end(&mut received).await?;
        Ok(received)
    }

    /// Returns whether the entry closes the connection in order within a time.
    pub async fn ends_within(&mut self, limit: Duration) -> bool {
        let mut byte = [0];
        let read = tokio::time::timeout(limit, self.stream.read(&mut byte)).await;
        matches!(read, Ok(Ok(0)))
    }

    /// Reads until the entry closes the connection; an error shows that it was reset.
    pub async fn read_to_close(&mut self) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        self.stream.read_to_end(&mut bytes).await?;
        Ok(bytes)
    }

    /// Sends a request and reads the response. Returns `None` if the connection ends before its
    /// head.
    pub async fn call(&mut self, call: &Call) -> Option<Reply> {
        self.send(call).await.ok()?;
        self.read_reply().await
    }

    /// Reads a response. Returns `None` if the connection ends before its head.
    pub async fn read_reply(&mut self) -> Option<Reply> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            head.push(self.stream.read_u8().await.ok()?);
        }
        let head = String::from_utf8(head).expect("the head is UTF-8");
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let (body, is_complete) = if header(&head, "transfer-encoding").is_some() {
            self.read_chunks().await
        } else {
            let length = header(&head, "content-length")?.parse().ok()?;
            let mut body = vec![0; length];
            let is_complete = self.stream.read_exact(&mut body).await.is_ok();
            (body, is_complete)
        };
        let body = String::from_utf8(body).expect("the body is UTF-8");
        Some(Reply { status, head, body, is_complete })
    }

    /// Reads a response, with a pause before each of the reads, until it has ended or a time has
    /// passed. Returns `None` if its head has not arrived by then.
    pub async fn read_partly(&mut self, limit: Duration, pause: Duration) -> Option<Reply> {
        let mut received = Vec::new();
        let reading = async {
            loop {
                tokio::time::sleep(pause).await;
                let read = self.stream.read_buf(&mut received).await;
                let is_parsed_now = received.len() < 4_096 || received.ends_with(b"0\r\n\r\n");
                let has_ended = !matches!(read, Ok(1..));
                let mut reply =
                    is_parsed_now.then(|| Reply::parse(&received)).into_iter().flatten();
                if has_ended || reply.any(|reply| reply.is_complete) {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(limit, reading).await;
        Reply::parse(&received)
    }

    async fn read_chunks(&mut self) -> (Vec<u8>, bool) {
        let mut body = Vec::new();
        loop {
            let mut line = Vec::new();
            while !line.ends_with(b"\r\n") {
                match self.stream.read_u8().await {
                    Ok(byte) => line.push(byte),
                    Err(_) => return (body, false),
                }
            }
            let line = String::from_utf8(line).expect("the chunk length is UTF-8");
            let length =
                usize::from_str_radix(line.trim(), 16).expect("the chunk length is hexadecimal");
            let mut chunk = vec![0; length + 2];
            if self.stream.read_exact(&mut chunk).await.is_err() {
                return (body, false);
            }
            if length == 0 {
                return (body, true);
            }
            body.extend_from_slice(&chunk[..length]);
        }
    }
}
