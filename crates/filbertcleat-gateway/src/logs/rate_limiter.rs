//! The rate limit of log lines.

use std::collections::BTreeMap;

/// Limits the log lines per second of each event kind.
#[derive(Clone, Debug, Default)]
pub struct LogRateLimiter {
    windows: BTreeMap<String, Window>,
}

/// What the rate limiter does with a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogDecision {
    /// The line is written.
    Write,
    /// The line is written after a note on the lines dropped before it.
    WriteAfterDropped {
        /// The lines of the same event kind dropped since the last one that was written.
        dropped: u64,
    },
    /// The line is dropped.
    Drop,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    second: u64,
    lines: u32,
    dropped: u64,
}

impl LogRateLimiter {
    /// The most lines per second of one event kind.
    ///
    /// This is twice the requests per second of an entry in the first deployments, so that only a
    /// surge is thinned. With about twenty event kinds and 250 bytes per line, a process writes at
    /// most 300 kB per second.
    pub const LINES_PER_S: u32 = 60;
    /// The most event kinds that are tracked, to bound the memory. Lines of further kinds are
    /// dropped; the code has far fewer.
    const EVENT_KINDS_MAX: usize = 100;

    /// Decides on a line at `now_ms`, a time on any monotonic clock.
    pub fn evaluate(&mut self, now_ms: u64, message: &str) -> LogDecision {
        let event = Self::event_kind(message);
        if !self.windows.contains_key(event) {
            if self.windows.len() >= Self::EVENT_KINDS_MAX {
                return LogDecision::Drop;
            }
            self.windows.insert(event.to_owned(), Window::default());
        }
        let Some(window) = self.windows.get_mut(event) else { return LogDecision::Drop };
        let second = now_ms / 1_000;
        if second != window.second {
            (window.second, window.lines) = (second, 0);
        }
        if window.lines >= Self::LINES_PER_S {
            window.dropped += 1;
            return LogDecision::Drop;
        }
        window.lines += 1;
        match std::mem::take(&mut window.dropped) {
            0 => LogDecision::Write,
            dropped => LogDecision::WriteAfterDropped { dropped },
        }
    }

    /// Returns the event kind of a line: the value of `event=` at its start, else `other`.
    pub fn event_kind(message: &str) -> &str {
        let rest = message.strip_prefix("event=").unwrap_or("other");
        rest.split(' ').next().unwrap_or(rest)
    }
}
