//! The idle timeout of callers' connections across changes of the configuration.

use std::cmp::Reverse;

use filbertcleat_base::MonoTime;
use filbertcleat_serve::CallerLimits;

/// The idle timeout in force, and longer ones that callers may still follow.
#[derive(Clone, Debug, Default)]
pub(super) struct IdleTimeouts {
    current_ms: Option<u64>,
    /// Longer timeouts that were in force before, longest first.
    superseded: Vec<Superseded>,
}

/// An idle timeout that a shorter one has replaced.
#[derive(Clone, Copy, Debug)]
struct Superseded {
    close_after_ms: u64,
    /// It applies to connections that have become idle before this time.
    until: MonoTime,
}

impl IdleTimeouts {
    /// Idle connections stay open for this multiple of the configured idle time. Callers stop
    /// reusing them earlier, so that no request is sent while the entry closes its connection.
    const CLOSE_FACTOR: f64 = 1.1;

    /// Puts a timeout into force.
    ///
    /// Callers aren't told of a shorter one. The longer one still applies to connections that
    /// become idle while a connection that became idle before the change may be reused.
    pub fn set(&mut self, now: MonoTime, timeout_ms: u64) {
        let before_ms = self.current_ms.replace(timeout_ms);
        if let Some(before_ms) = before_ms.filter(|before_ms| *before_ms > timeout_ms) {
            let close_after_ms = close_after_ms(before_ms);
            let until = now.plus_ms(close_after_ms);
            self.superseded.push(Superseded { close_after_ms, until });
        }
        let is_needed = |older: &Superseded| {
            older.until.plus_ms(older.close_after_ms) > now
                && older.close_after_ms > close_after_ms(timeout_ms)
        };
        self.superseded.retain(is_needed);
        self.superseded.sort_by_key(|older| Reverse(older.close_after_ms));
    }

    /// Returns how long a connection may be idle that became idle at a time.
    pub fn close_after_ms(&self, idle_since: MonoTime) -> u64 {
        if let Some(older) = self.superseded.iter().find(|older| older.until > idle_since) {
            return older.close_after_ms;
        }
        close_after_ms(self.current_ms.unwrap_or(CallerLimits::default().idle_timeout_ms))
    }
}

fn close_after_ms(timeout_ms: u64) -> u64 {
    (timeout_ms as f64 * IdleTimeouts::CLOSE_FACTOR) as u64
}
