//! Stamps of the hybrid logical clock.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A stamp that orders events over all processes.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Timestamp {
    /// Milliseconds since the Unix epoch, as far as the process knows.
    pub wall_ms: u64,
    /// Tells apart stamps of the same millisecond.
    pub count: u32,
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04}", self.wall_ms, self.count)
    }
}
