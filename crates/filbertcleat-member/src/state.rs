//! Process states.

use filbertcleat_policy::Liveness;
use serde::Deserialize;
use serde::Serialize;

/// The state of a process.
///
/// Of two records with equal incarnation and sequence, the one with the greater state is newer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// The process has no confirmed configuration yet and serves no requests.
    Starting,
    /// The process serves requests.
    Live,
    /// The process is shutting down and accepts no new requests.
    Leaving,
    /// The process did not answer a peer.
    Suspect,
    /// The process has stopped, or was suspected for longer than the suspicion timeout.
    Gone,
}

impl MemberState {
    /// All states, in order.
    pub const ALL: [Self; 5] =
        [Self::Starting, Self::Live, Self::Leaving, Self::Suspect, Self::Gone];

    /// Returns the name of the state in messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Live => "live",
            Self::Leaving => "leaving",
            Self::Suspect => "suspect",
            Self::Gone => "gone",
        }
    }

    /// Returns the state with the given name.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|state| state.as_str() == name)
    }

    /// Returns the liveness of the process for routing.
    pub fn liveness(self) -> Liveness {
        match self {
            Self::Starting | Self::Leaving => Liveness::NotReady,
            Self::Live => Liveness::Live,
            Self::Suspect => Liveness::Suspect,
            Self::Gone => Liveness::Gone,
        }
    }
}
