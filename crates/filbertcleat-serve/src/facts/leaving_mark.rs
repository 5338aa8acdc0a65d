//! The announcement of one start of a backend server that it is leaving.

use crate::ServerId;

/// The announcement of one start of a backend server that it is leaving, as processes tell it each
/// other.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LeavingMark {
    /// The server.
    pub server: ServerId,
    /// The Unix time of the server's start in milliseconds; 0 if it is not known.
    pub started_unix_ms: u64,
    /// The time since the announcement, in milliseconds.
    pub age_ms: u64,
}
