//! The volume of logs.

use std::collections::BTreeMap;

/// Bounds the lines of each kind of event.
#[derive(Clone, Debug, Default)]
pub struct LogRateLimiter {
    events: BTreeMap<String, Window>,
}

/// What becomes of a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LogDecision {
    /// It is written.
    Write,
    /// It is written, after a note on the lines that were left out.
    WriteAfterDropped {
        /// The lines of its kind that were left out since the last that was written.
        dropped: u64,
    },
    /// It is left out.
    Drop,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    second: u64,
    lines: u32,
    left_out: u64,
}

impl LogRateLimiter {
    /// The lines a second of one kind of event: twice the requests of an entry at the load of the
    /// first deployments, so that only a surge is thinned. With about twenty kinds of event and
    /// 250 bytes a line, a process writes 300 kB a second at the very most.
    pub const LINES_PER_S: u32 = 60;
    /// The most kinds of event that are told apart; there are far fewer.
    const EVENTS_MAX: usize = 100;

    /// Judges a line at a time on a clock of its own.
    pub fn evaluate(&mut self, now_ms: u64, message: &str) -> LogDecision {
        let event = Self::event_kind(message);
        if !self.events.contains_key(event) {
            if self.events.len() >= Self::EVENTS_MAX {
                return LogDecision::Drop;
            }
            self.events.insert(event.to_owned(), Window::default());
        }
        let Some(window) = self.events.get_mut(event) else { return LogDecision::Drop };
        let second = now_ms / 1_000;
        if second != window.second {
            (window.second, window.lines) = (second, 0);
        }
        if window.lines >= Self::LINES_PER_S {
            window.left_out += 1;
            return LogDecision::Drop;
        }
        window.lines += 1;
        match std::mem::take(&mut window.left_out) {
            0 => LogDecision::Write,
            dropped => LogDecision::WriteAfterDropped { dropped },
        }
    }

    /// Returns the kind of event that a line is of.
    pub fn event_kind(message: &str) -> &str {
        let rest = message.strip_prefix("event=").unwrap_or("other");
        rest.split(' ').next().unwrap_or(rest)
    }
}
