//! What one process has learned and all have to know.

use super::LeavingMark;
use crate::CrashMark;

/// What one process has learned and all have to know.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Fact {
    /// A server ended while a request with a suspect had brought no event.
    Crash(CrashMark),
    /// A server has announced that it is leaving.
    Leaving(LeavingMark),
}
