//! How long a missing record does not remove its server.

use filbertcleat_base::MonoTime;

/// The time after a loss of the catalogue in which a missing record does not remove its server.
///
/// If the catalogue was away for all, the records of live servers have expired and come back. If this
/// process alone lost its calls, the servers have left. One response does not tell these apart, but
/// the process only has to know once it is in touch again: `contact_ms` after the loss has ended.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ListingGrace {
    /// When the last call began that showed the list.
    read_at: MonoTime,
    /// When the last call since then failed.
    failed_at: Option<MonoTime>,
    until: MonoTime,
}

impl ListingGrace {
    /// Records that expired while the catalogue was away are back within 2 s of its return; the rest
    /// is a margin for network transit.
    const RELIST_MS: u64 = 2_200;

    /// Returns whether a missing record does not remove its server.
    pub fn is_in_force(&self, now: MonoTime) -> bool {
        now < self.until
    }

    /// Records that the changes of a call have been applied which began at `began_at`.
    pub fn on_read(&mut self, began_at: MonoTime) {
        self.read_at = began_at;
        self.failed_at = None;
    }

    /// Records that a call has failed. The next call has a new connection, unless this one was
    /// refused.
    ///
    /// The connection of the first one may have gone silent right after the last response. A further
    /// failure shows that the loss had not ended when the call before it failed.
    pub fn on_failed(&mut self, now: MonoTime, contact_ms: u64) {
        let lost_at = self.failed_at.replace(now).unwrap_or(self.read_at);
        self.until = self.until.max(lost_at.plus_ms(contact_ms));
    }

    /// Records that the catalogue responds again.
    pub fn on_regained(&mut self, now: MonoTime) {
        self.until = self.until.min(now.plus_ms(Self::RELIST_MS));
    }

    /// Records that the catalogue was restored from a copy, which may lack records.
    ///
    /// That is a disruption for all after the last read of the list, and the leaving of a server
    /// counts again `contact_ms` later, for requests from another `draining_ms` on.
    pub fn on_restored(&mut self, now: MonoTime, contact_ms: u64, draining_ms: u64) {
        let counts_at = self.read_at.plus_ms(contact_ms).plus_ms(draining_ms);
        self.until = self.until.max(counts_at).min(now.plus_ms(Self::RELIST_MS));
    }
}
