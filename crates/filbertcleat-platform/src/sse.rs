//! Server-sent events.

/// Cuts a byte stream into the data of its events.
#[derive(Clone, Debug, Default)]
pub struct SseParser {
    buffer: Vec<u8>,
}

impl SseParser {
    /// The most bytes of one event.
    const EVENT_MAX_BYTES: usize = 1024 * 1024;

    /// Takes in bytes and returns the data of the events that are complete.
    ///
    /// Returns `None` when an event grows too large.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Vec<String>> {
        self.buffer.extend(bytes.iter().filter(|byte| **byte != b'\r'));
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = find_blank_line(&self.buffer[start..]) {
            let event = &self.buffer[start..start + length];
            if let Some(data) = data_of(event) {
                events.push(data);
            }
            start += length + 2;
        }
        self.buffer.drain(..start);
        (self.buffer.len() <= Self::EVENT_MAX_BYTES).then_some(events)
    }
}

fn find_blank_line(bytes: &[u8]) -> Option<usize> {
    bytes.windows(2).position(|pair| pair == b"\n\n")
}

/// Returns the joined data lines of an event, or `None` if it has none.
fn data_of(event: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(event);
    let lines: Vec<_> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data:"))
        .map(|data| data.strip_prefix(' ').unwrap_or(data))
        .collect();
    (!lines.is_empty()).then(|| lines.join("\n"))
}
