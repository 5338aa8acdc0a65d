//! The mark that a crash leaves on a suspect.

use super::CrashId;
use super::CrashSuspect;

/// The mark that a crash leaves on a suspect, as processes tell it each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashMark {
    /// What a request held that had brought no event when the server ended.
    pub suspect: CrashSuspect,
    /// The end of the server.
    pub crash: CrashId,
    /// The time since the server ended, in milliseconds.
    pub age_ms: u64,
    /// How long the request had run when the server ended, in milliseconds.
    pub run_ms: u64,
    /// Whether a request with the suspect has been answered since then.
    pub is_cleared: bool,
    /// Whether a request with the suspect had been answered shortly before.
    pub was_sound: bool,
}
