//! The identity of a crash.

use filbertcleat_base::MonoTime;
use filbertcleat_base::mix_hashes;
use filbertcleat_base::stable_hash;

use crate::ServerId;

/// The end of one start of a backend server, equal at all processes that saw it.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct CrashId(u64);

impl CrashId {
    /// The smallest id.
    pub(super) const MIN: Self = Self(0);
    /// The largest id.
    pub(super) const MAX: Self = Self(u64::MAX);

    /// Returns the id of the end of one start of a server.
    pub fn of(server: &ServerId, started_unix_ms: u64) -> Self {
        Self(mix_hashes(stable_hash(server.as_str()), started_unix_ms))
    }

    /// Returns the id of the possible end of a server by a trial. The seed must differ between
    /// processes.
    pub(super) fn of_trial(now: MonoTime, seed: u64) -> Self {
        Self(mix_hashes(seed, now.as_us()))
    }

    /// Creates the id from its number.
    pub fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub fn get(self) -> u64 {
        self.0
    }
}
