//! Parsing of server-sent events.

/// An incremental parser for a stream of server-sent events.
#[derive(Clone, Debug, Default)]
pub struct SseParser {
    buffer: Vec<u8>,
}

impl SseParser {
    /// The maximum size of an incomplete event.
    const EVENT_MAX_BYTES: usize = 1024 * 1024;

    /// Appends bytes of the stream and returns the data of all events that are now complete.
    ///
    /// Returns `None` if an incomplete event exceeds 1 MiB.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Vec<String>> {
        self.buffer.extend(bytes.iter().filter(|byte| **byte != b'\r'));
        let mut events = Vec::new();
        let mut start = 0;
        while let Some(length) = find_blank_line(&self.buffer[start..]) {
            let event = &self.buffer[start..start + length];
            if let Some(data) = event_data(event) {
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

/// Returns the data lines of an event, joined with newlines, or `None` if there are none.
fn event_data(event: &[u8]) -> Option<String> {
    let text = String::from_utf8_lossy(event);
    let lines: Vec<_> = text
        .lines()
        .filter_map(|line| line.strip_prefix("data:"))
        .map(|data| data.strip_prefix(' ').unwrap_or(data))
        .collect();
    (!lines.is_empty()).then(|| lines.join("\n"))
}
