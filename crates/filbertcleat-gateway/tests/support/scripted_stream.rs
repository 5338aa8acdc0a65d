//! A stream that a backend server sends step by step.

use super::stream_step::StreamStep;

/// How the end of a scripted stream is shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    Chunked,
    /// By a length, which leaves no room for comments.
    Length,
    /// By the end of the connection.
    Unframed,
}

/// A stream that a backend server sends step by step, from the event after the one that the request
/// names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ScriptedStream {
    /// The number of the last event.
    pub total: u64,
    /// The software version that each event names.
    pub version: &'static str,
    pub framing: Framing,
    /// The length of the padding in each event.
    pub pad_bytes: usize,
    /// The steps before the events that are left and a proper end.
    pub steps: Vec<StreamStep>,
}

impl ScriptedStream {
    /// Returns the text of an event from a server.
    pub fn event(&self, server: &str, number: u64) -> String {
        // Servers may name the version of their weights first.
        let first_line = if number.is_multiple_of(3) { "weights: 7\n" } else { "" };
        let pad = "x".repeat(self.pad_bytes);
        format!("{first_line}id: {number}\ndata: {number} {} {server} {pad}\n\n", self.version)
    }

    /// Returns the text of events without framing.
    pub fn events(&self, server: &str, numbers: impl Iterator<Item = u64>) -> String {
        numbers.map(|number| self.event(server, number)).collect()
    }

    /// Returns the header lines of the framing, for the stream after an event.
    pub fn framing_lines(&self, server: &str, after: u64) -> String {
        match self.framing {
            Framing::Chunked => "transfer-encoding: chunked\r\n".to_owned(),
            Framing::Length => {
                let length = self.events(server, after + 1..=self.total).len();
                format!("content-length: {length}\r\n")
            }
            Framing::Unframed => String::new(),
        }
    }

    /// Returns a part of the body in its framing.
    pub fn frame(&self, text: &str) -> String {
        match self.framing {
            Framing::Chunked if text.is_empty() => String::new(),
            Framing::Chunked => format!("{:x}\r\n{text}\r\n", text.len()),
            Framing::Length | Framing::Unframed => text.to_owned(),
        }
    }

    /// Returns the bytes that show a proper end.
    pub fn end(&self) -> &'static str {
        match self.framing {
            Framing::Chunked => "0\r\n\r\n",
            Framing::Length | Framing::Unframed => "",
        }
    }
}

/// A comment, as servers send to keep a connection open.
pub const COMMENT: &str = ": still there\n\n";
