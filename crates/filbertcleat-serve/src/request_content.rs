//! The hash that stands for the content of a request.

use std::fmt;

use filbertcleat_base::mix_hashes;

/// The hash of what a caller asks for, which is equal for a request that comes again under another
/// id.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestContent(u64);

impl RequestContent {
    /// Combines the hashes of the fields of a request that don't differ when it comes again.
    pub fn of(field_hashes: &[u64]) -> Self {
        Self(field_hashes.iter().fold(0, |hash, field_hash| mix_hashes(hash, *field_hash)))
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
