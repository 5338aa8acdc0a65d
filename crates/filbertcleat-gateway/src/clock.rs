//! The process's monotonic clock.

use filbertcleat_base::MonoTime;
use tokio::time::Instant;

/// The process's monotonic clock.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock, so that no time is its zero.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Returns the time.
    pub fn now(self) -> MonoTime {
        MonoTime::from_us(u64::try_from(self.start.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Returns the instant of a time, for timers.
    pub fn instant(self, time: MonoTime) -> Instant {
        self.start + std::time::Duration::from_micros(time.as_us())
    }
}
