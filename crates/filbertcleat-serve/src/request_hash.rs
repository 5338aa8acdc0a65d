//! The hash that stands for a request between processes.

use filbertcleat_base::stable_hash;

/// The hash of a request's id, which stands for the id between processes.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestHash(u64);

impl RequestHash {
    /// Hashes the id of a request.
    pub fn of(id: &str) -> Self {
        Self(stable_hash(id))
    }

    /// Creates the hash from its number.
    pub fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number.
    pub fn get(self) -> u64 {
        self.0
    }
}
