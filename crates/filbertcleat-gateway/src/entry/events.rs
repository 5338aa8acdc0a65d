//! Splits a byte stream of server-sent events at the event boundaries.

use bytes::Bytes;
use bytes::BytesMut;

/// Splits a byte stream into complete events and parses their ids.
#[derive(Debug, Default)]
pub(super) struct EventSplitter {
    buffer: BytesMut,
    /// The length of the buffer's part that was searched and holds no end of an event.
    searched_bytes: usize,
    /// The start of the line in which that part ends.
    line_start: usize,
}

/// The largest event: many times a whole answer, of which an event usually holds a few tokens.
const EVENT_MAX_BYTES: usize = 1024 * 1024;

/// A complete event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Event {
    /// The bytes, including the blank line that ends the event.
    pub bytes: Bytes,
    /// The id, if the event has one.
    pub id: Option<u64>,
    /// Whether the event has data; a block of comments has none.
    pub has_data: bool,
}

impl EventSplitter {
    /// Appends bytes and returns the events that are now complete.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(length) = self.find_event_end() {
            let bytes = self.buffer.split_to(length).freeze();
            let (id, has_data) = (event_id(&bytes), has_data(&bytes));
            events.push(Event { bytes, id, has_data });
        }
        events
    }

    /// Returns whether no partial event is buffered.
    pub fn is_between_events(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns whether the partial event that is buffered is larger than any event may be.
    pub fn is_event_too_large(&self) -> bool {
        self.buffer.len() > EVENT_MAX_BYTES
    }

    /// Returns the length of the first event including its blank line, if it is complete.
    fn find_event_end(&mut self) -> Option<usize> {
        for index in self.searched_bytes..self.buffer.len() {
            if self.buffer[index] != b'\n' {
                continue;
            }
            let line = &self.buffer[self.line_start..index];
            if index > 0 && (line.is_empty() || line == b"\r") {
                (self.searched_bytes, self.line_start) = (0, 0);
                return Some(index + 1);
            }
            self.line_start = index + 1;
        }
        self.searched_bytes = self.buffer.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|line| line.strip_prefix("id:")?.trim().parse().ok())
}

fn has_data(event: &[u8]) -> bool {
    event.split(|byte| *byte == b'\n' || *byte == b'\r').any(|line| {
        line.strip_prefix(b"data").is_some_and(|rest| rest.is_empty() || rest.starts_with(b":"))
    })
}
