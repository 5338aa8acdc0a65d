//! A hybrid logical clock.

use crate::Timestamp;

/// Gives stamps that grow within a process and follow every stamp received.
#[derive(Clone, Debug, Default)]
pub struct HybridClock {
    last: Timestamp,
}

impl HybridClock {
    /// The furthest that a received stamp may run ahead of the local wall clock.
    pub const MAX_AHEAD_MS: u64 = 60_000;

    /// Returns the stamp of a local event.
    pub fn stamp(&mut self, wall_ms: u64) -> Timestamp {
        self.last = if wall_ms > self.last.wall_ms {
            Timestamp { wall_ms, count: 0 }
        } else {
            Timestamp { wall_ms: self.last.wall_ms, count: self.last.count.saturating_add(1) }
        };
        self.last
    }

    /// Takes in the stamp of a received message.
    ///
    /// A stamp too far ahead is not taken in, so that one wrong clock can't drag the others along.
    pub fn observe(&mut self, wall_ms: u64, received: Timestamp) {
        if received.wall_ms > wall_ms.saturating_add(Self::MAX_AHEAD_MS) {
            return;
        }
        self.last = self.last.max(received);
    }
}
