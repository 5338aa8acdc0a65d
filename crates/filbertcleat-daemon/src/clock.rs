//! The monotonic and the wall clock.

use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use filbertcleat_base::MonoTime;

/// The monotonic clock, which starts with the process, and the wall clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the monotonic time; it starts at 1 ms, so that it is never zero.
    pub fn now(self) -> MonoTime {
        let us = u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX);
        MonoTime::from_us(us.saturating_add(1000))
    }

    /// Returns the milliseconds since the Unix epoch.
    pub fn wall_ms() -> u64 {
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
    }
}
