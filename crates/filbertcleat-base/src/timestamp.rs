//! Timestamps of the hybrid logical clock.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// A hybrid logical timestamp, which orders events across processes.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Timestamp {
    /// The wall clock reading, in milliseconds since the Unix epoch.
    pub wall_ms: u64,
    /// The logical counter, which orders timestamps with the same `wall_ms`.
    pub count: u32,
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:04}", self.wall_ms, self.count)
    }
}
