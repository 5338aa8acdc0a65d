//! The mark of a crash on a part of a prompt.

use super::CrashId;
use crate::PromptPart;

/// The mark of a crash on a part of a prompt, as processes tell it each other.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashMark {
    /// The part, which a request held that had brought no event when the server ended.
    pub part: PromptPart,
    /// The end of the server.
    pub crash: CrashId,
    /// The time since the server ended, in milliseconds.
    pub age_ms: u64,
    /// Whether a prompt with the part has been answered since then.
    pub is_cleared: bool,
    /// Whether a prompt with the part had been answered shortly before.
    pub was_sound: bool,
}
