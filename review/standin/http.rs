//! Reads and writes messages of HTTP/1.1 with a length.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;

/// A request or a response: the first line, the headers in lower case, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the path and the query of a request.
    pub fn target(&self) -> (&str, &str) {
        let target = self.first.split(' ').nth(1).unwrap_or_default();
        target.split_once('?').unwrap_or((target, ""))
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Returns a parameter of a query, with `%00` decoded.
pub fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(known, _)| *known == name).map(|(_, value)| value.replace("%2F", "/"))
}

fn broken(reason: &str) -> std::io::Error {
    std::io::Error::other(reason.to_owned())
}

/// Reads one message; `None` if the connection has ended before it.
pub fn read(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(broken("the head broke off"));
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            message.headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
    if message.header("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        loop {
            line.clear();
            reader.read_line(&mut line)?;
            let length = usize::from_str_radix(line.trim(), 16).map_err(|_| broken("chunk"))?;
            let mut chunk = vec![0; length + 2];
            reader.read_exact(&mut chunk)?;
            if length == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..length]);
        }
    } else {
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        let mut body = vec![0; length.unwrap_or(0)];
        reader.read_exact(&mut body)?;
        message.body = body;
    }
    Ok(Some(message))
}

/// Writes a message with its length.
pub fn write(stream: &mut TcpStream, head: &str, body: &[u8]) -> std::io::Result<()> {
    let mut bytes = format!("{head}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Encodes bytes in Base64.
pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for piece in bytes.chunks(3) {
        let padded = [piece[0], *piece.get(1).unwrap_or(&0), *piece.get(2).unwrap_or(&0)];
        let number = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for index in 0..4 {
            let sign = SIGNS[(number >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= piece.len() { char::from(sign) } else { '=' });
        }
    }
    text
}
