//! A body in the ledger.

use filbertcleat_base::MonoTime;

use super::BodySource;

/// A body that a process holds.
#[derive(Clone, Debug)]
pub(super) struct OpenBody {
    pub source: BodySource,
    pub stage: Stage,
    /// The memory that it takes.
    pub held_bytes: u64,
    /// The time up to which what has arrived keeps the pace. Bytes that came faster count for no
    /// later time, so that a body which stops falls behind at once.
    pub paced_until: MonoTime,
    /// What has arrived since the last whole ms of the pace.
    unpaced_bytes: u64,
}

/// How far a body has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Stage {
    /// It is being read.
    Arriving,
    /// It has been read to its end.
    Whole,
    /// It had to give up its memory.
    Evicted,
}

impl OpenBody {
    /// Creates a body of which nothing has arrived.
    pub fn new(now: MonoTime, source: BodySource) -> Self {
        Self { source, stage: Stage::Arriving, held_bytes: 0, paced_until: now, unpaced_bytes: 0 }
    }

    /// Records that bytes have arrived.
    pub fn on_received(&mut self, now: MonoTime, bytes: u64) {
        let bytes = self.unpaced_bytes.saturating_add(bytes);
        let pace = self.pace_bytes_per_ms();
        self.paced_until = self.paced_until.plus_ms(bytes / pace).min(now);
        self.unpaced_bytes = bytes % pace;
    }

    /// Returns how far the body is behind its pace, in ms.
    pub fn behind_ms(&self, now: MonoTime) -> u64 {
        now.ms_since(self.paced_until)
    }

    /// Returns the pace at which the largest body arrives in time.
    fn pace_bytes_per_ms(&self) -> u64 {
        (self.source.largest_bytes / self.source.wait_ms.max(1)).max(1)
    }
}
