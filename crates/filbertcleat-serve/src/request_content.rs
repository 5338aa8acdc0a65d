//! The hash that stands for the content of a request.

use std::fmt;

use filbertcleat_base::mix_hashes;
use filbertcleat_base::stable_hash_bytes;

/// The hash of what a caller asks for, which is equal for a request that comes again under another
/// id.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestContent(u64);

impl RequestContent {
    /// Hashes the fields of a request that don't differ when it comes again.
    pub fn of(fields: &[&[u8]]) -> Self {
        Self(fields.iter().fold(0, |hash, field| mix_hashes(hash, stable_hash_bytes(field))))
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

impl fmt::Display for RequestContent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
