//! A hybrid logical clock.

use crate::Timestamp;

/// Issues strictly increasing timestamps that are later than every timestamp received.
#[derive(Clone, Debug, Default)]
pub struct HybridClock {
    last: Timestamp,
}

impl HybridClock {
    /// How far a received timestamp may be ahead of the local wall clock.
    pub const MAX_AHEAD_MS: u64 = 60_000;

    /// Returns the timestamp of a local event; `wall_ms` is the local wall clock reading.
    pub fn stamp(&mut self, wall_ms: u64) -> Timestamp {
        self.last = if wall_ms > self.last.wall_ms {
            Timestamp { wall_ms, count: 0 }
        } else {
            Timestamp { wall_ms: self.last.wall_ms, count: self.last.count.saturating_add(1) }
        };
        self.last
    }

    /// Advances the clock to the timestamp of a received message.
    ///
    /// Ignores a timestamp that is more than [`Self::MAX_AHEAD_MS`] ahead of `wall_ms`, so that a
    /// single wrong clock can't advance the clocks of all other processes.
    pub fn observe(&mut self, wall_ms: u64, received: Timestamp) {
        if received.wall_ms > wall_ms.saturating_add(Self::MAX_AHEAD_MS) {
            return;
        }
        self.last = self.last.max(received);
    }
}
