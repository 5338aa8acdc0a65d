//! What an entry knows about one bucket.

use std::net::IpAddr;

use filbertcleat_base::MonoTime;

use super::AllowanceGrant;
use super::BucketId;

/// What an entry knows about one bucket of a workspace.
#[derive(Clone, Copy, Debug)]
pub(super) struct BucketState {
    pub bucket: BucketId,
    pub holder: IpAddr,
    /// When the entry began to know the holder.
    pub known_at: MonoTime,
    /// Requests in a row without a response.
    pub failures: u32,
    /// Until when the bucket is known to grant nothing.
    pub dry_until: MonoTime,
    /// When a caller that is refused now may come back.
    pub retry_at: MonoTime,
    /// Until when the bucket is not asked, because it has not responded.
    pub silent_until: MonoTime,
}

impl BucketState {
    /// The number of requests in a row without a response from which the standby is used.
    pub const FAILURES_MAX: u32 = 3;
    /// The time after which a bucket that does not respond is asked again.
    const SILENT_MS: u64 = 500;
    /// The same after a single request without a response, which is often one lost datagram.
    const SILENT_ONCE_MS: u64 = 100;
    /// The longest time for which a bucket is taken to be dry. Returned tokens may come in earlier
    /// than its agent expects.
    const DRY_MAX_MS: u64 = 200;

    /// Creates the state of a bucket that has not been asked.
    pub fn new(bucket: BucketId, holder: IpAddr, known_at: MonoTime) -> Self {
        Self {
            bucket,
            holder,
            known_at,
            failures: 0,
            dry_until: MonoTime::ZERO,
            retry_at: MonoTime::ZERO,
            silent_until: MonoTime::ZERO,
        }
    }

    /// Returns whether asking the bucket may bring tokens.
    pub fn is_candidate(&self, now: MonoTime) -> bool {
        now >= self.dry_until && now >= self.silent_until
    }

    /// Returns whether the bucket has recently said that it grants nothing.
    pub fn is_dry(&self, now: MonoTime) -> bool {
        now < self.dry_until
    }

    /// Applies a response.
    pub fn on_grant(&mut self, now: MonoTime, grant: &AllowanceGrant) {
        self.failures = 0;
        self.silent_until = MonoTime::ZERO;
        if grant.wait_ms > 0 {
            self.dry_until = now.plus_ms(grant.wait_ms.min(Self::DRY_MAX_MS));
            self.retry_at = now.plus_ms(grant.retry_after_ms);
        }
    }

    /// Records that a request had no response in time.
    pub fn on_timeout(&mut self, now: MonoTime) {
        self.failures += 1;
        let is_lost = self.failures >= Self::FAILURES_MAX;
        let silent_ms = if is_lost { Self::SILENT_MS } else { Self::SILENT_ONCE_MS };
        self.silent_until = now.plus_ms(silent_ms);
    }
}
