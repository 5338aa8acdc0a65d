//! The monotonic clock of the process.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use filbertcleat_base::MonoTime;
use tokio::time::Instant;

/// The monotonic clock of the process, which counts from its start.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock at zero.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the time since the start.
    pub fn now(self) -> MonoTime {
        MonoTime::from_us(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Converts a time of this clock to an instant for timers.
    pub fn instant(self, time: MonoTime) -> Instant {
        self.start + std::time::Duration::from_micros(time.as_us())
    }
}

/// Returns the Unix time in milliseconds, by the clock of this machine.
pub(crate) fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
