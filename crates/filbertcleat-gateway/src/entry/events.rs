//! Cutting a stream of events at the ends of its events.

use bytes::Bytes;
use bytes::BytesMut;

/// Cuts a byte stream into whole events and tells their ids.
#[derive(Debug, Default)]
pub(super) struct EventCutter {
    buffer: BytesMut,
}

/// One or more whole events.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct Event {
    /// The bytes, with the blank line that ends the event.
    pub bytes: Bytes,
    /// The id, if the event has one.
    pub id: Option<u64>,
}

impl EventCutter {
    /// Takes in bytes and returns the events that are whole.
    pub fn push(&mut self, bytes: &[u8]) -> Vec<Event> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(length) = end_of_event(&self.buffer) {
            let bytes = self.buffer.split_to(length).freeze();
            let id = id_of(&bytes);
            events.push(Event { bytes, id });
        }
        events
    }

    /// Returns whether the stream stands at the end of an event.
    pub fn is_between_events(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Returns the length of the first event with its blank line.
fn end_of_event(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if index > 0 && (line.is_empty() || line == b"\r") {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn id_of(event: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(event).ok()?;
    text.lines().find_map(|line| line.strip_prefix("id:")?.trim().parse().ok())
}
