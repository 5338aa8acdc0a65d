//! The state of a process.

use filbertcleat_policy::Liveness;
use serde::Deserialize;
use serde::Serialize;

/// The state of a process; of two records that are otherwise equal, the later state counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// It has no confirmed configuration yet and serves nothing.
    Starting,
    /// It serves.
    Live,
    /// It takes no new work.
    Leaving,
    /// It gave no answer to a peer.
    Suspect,
    /// It has left, or gave no answer for too long.
    Gone,
}

impl MemberState {
    /// All states.
    pub const ALL: [Self; 5] =
        [Self::Starting, Self::Live, Self::Leaving, Self::Suspect, Self::Gone];

    /// Returns the word used in messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Suspect => "suspect",
            Self::Gone => "gone",
        }
    }

    /// Returns the state with the given word.
    pub fn from_name(word: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|state| state.as_str() == word)
    }

    /// Returns what the state means for routing.
    pub fn liveness(self) -> Liveness {
        match self {
            Self::Starting | Self::Leaving => Liveness::NotReady,
            Self::Live => Liveness::Live,
            Self::Suspect => Liveness::Suspect,
            Self::Gone => Liveness::Gone,
        }
    }
}
