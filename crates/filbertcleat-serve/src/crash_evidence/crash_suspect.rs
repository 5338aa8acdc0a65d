//! What requests may have in common that crashes servers.

use std::fmt;

use filbertcleat_base::mix_hashes;

use crate::PromptPart;
use crate::RequestContent;

/// What requests may have in common that crashes servers.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum CrashSuspect {
    /// The content of a request that comes again under other ids.
    Content(RequestContent),
    /// A part of a prompt, whatever else the request holds.
    Part(PromptPart),
}

impl CrashSuspect {
    /// Returns the name of the kind for logs.
    pub fn kind(self) -> &'static str {
        match self {
            Self::Content(_) => "content",
            Self::Part(_) => "part",
        }
    }

    /// Returns a hash that differs between kinds.
    pub(super) fn stable_hash(self) -> u64 {
        match self {
            Self::Content(content) => mix_hashes(content.get(), 1),
            Self::Part(part) => mix_hashes(part.get(), 2),
        }
    }
}

impl fmt::Display for CrashSuspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Content(content) => content.fmt(f),
            Self::Part(part) => part.fmt(f),
        }
    }
}
