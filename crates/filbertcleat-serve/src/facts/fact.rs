//! What one process has learned and all have to know.

use super::LeavingMark;
use crate::CrashMark;
use crate::ServerId;

/// What one process has learned and all have to know.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fact {
    /// A server ended while a request with a suspect had brought no event.
    Crash(CrashMark),
    /// A server has announced that it is leaving.
    Leaving(LeavingMark),
}

impl Fact {
    /// Returns the server that the fact is about, if it is about one.
    pub fn server(&self) -> Option<&ServerId> {
        match self {
            Self::Crash(_) => None,
            Self::Leaving(mark) => Some(&mark.server),
        }
    }

    /// Returns whether the fact names no start of a server after `start_max_unix_ms`. Such a start
    /// would make all starts up to then leave.
    pub fn is_believable(&self, start_max_unix_ms: u64) -> bool {
        match self {
            Self::Crash(_) => true,
            Self::Leaving(mark) => mark.started_unix_ms <= start_max_unix_ms,
        }
    }
}
