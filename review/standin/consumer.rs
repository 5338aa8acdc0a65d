//! A consumer that sends one request on a new channel.

use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http;
use crate::record::Record;

/// What became of a request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub id: String,
    pub sent_ms: u64,
    /// The status, or 0 if the channel ended without an answer.
    pub status: u16,
}

/// Sends a request and waits for its answer.
pub fn ask(record: &Record, to: SocketAddr, host: &str, path: &str, id: &str) -> Answer {
    let mut answer = Answer { id: id.to_owned(), sent_ms: record.now_ms(), status: 0 };
    let asked = (|| -> std::io::Result<Option<http::Message>> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(2_000)))?;
        answer.sent_ms = record.now_ms();
        let head = format!(
            "GET {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1500\r\n\
             Connection: close\r\n\r\n"
        );
        stream.write_all(head.as_bytes())?;
        http::read(&mut BufReader::new(stream))
    })();
    let text = match asked {
        Ok(Some(message)) => {
            answer.status = message.status();
            format!("{} {}", message.status(), String::from_utf8_lossy(&message.body))
        }
        Ok(None) => "the channel ended".to_owned(),
        Err(error) => error.to_string(),
    };
    record.line(&format!("{id} sent at {} ms on {path}: {text}", answer.sent_ms));
    answer
}

/// Sends a request for a stream of an adapter and waits for its end. A refused one waits before it is
/// sent again, as told.
pub fn ask_stream(record: &Record, to: SocketAddr, host: &str, model: &str, id: &str) -> Answer {
    let mut answer = Answer { id: id.to_owned(), sent_ms: record.now_ms(), status: 0 };
    let asked = (|| -> std::io::Result<Option<http::Message>> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_millis(5_000)))?;
        answer.sent_ms = record.now_ms();
        let head = format!(
            "POST /draft/2f HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\nModel: {model}\r\n\
             Token-Count: 100,20\r\nPrompt-Prefix: 5c1e07a2:60,e4402b7d:40\r\nDeadline-Ms: 5000\r\n\
             Connection: close\r\nContent-Length: 2\r\n\r\n{{}}"
        );
        stream.write_all(head.as_bytes())?;
        http::read(&mut BufReader::new(stream))
    })();
    match asked {
        Ok(Some(message)) => {
            answer.status = message.status();
            record.line(&format!(
                "{id} for {model} sent at {} ms: {}",
                answer.sent_ms, answer.status
            ));
            if answer.status != 200 {
                let wait = message.header("retry-after").and_then(|text| text.parse().ok());
                std::thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.3_f64).min(1.0)));
            }
        }
        _ => {
            record.line(&format!("{id} for {model} sent at {} ms: no answer", answer.sent_ms));
            std::thread::sleep(Duration::from_millis(300));
        }
    }
    answer
}

/// Asks whether an entry is ready.
pub fn is_ready(to: SocketAddr) -> bool {
    let asked = (|| -> std::io::Result<Option<http::Message>> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_millis(1_000)))?;
        stream
            .write_all(b"GET /api/readyz HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")?;
        http::read(&mut BufReader::new(stream))
    })();
    matches!(asked, Ok(Some(message)) if message.status() == 200)
}
