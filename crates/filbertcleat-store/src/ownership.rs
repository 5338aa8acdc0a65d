//! Ownership of a backend server.

use filbertcleat_base::FencingToken;

/// Whether an agent owns its backend server, according to its lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ownership {
    /// The agent has not acquired the lease yet.
    None,
    /// The agent holds the lease.
    Held(FencingToken),
    /// The lease expired without renewal, and no other holder has been observed.
    Lapsed(FencingToken),
    /// Another process holds the lease, or the agent has released it.
    Lost,
}

impl Ownership {
    /// Returns the fencing token for orders to the backend server.
    pub fn fence(self) -> Option<FencingToken> {
        match self {
            Self::Held(fence) | Self::Lapsed(fence) => Some(fence),
            Self::None | Self::Lost => None,
        }
    }

    /// Returns whether the agent may send orders to its engine.
    ///
    /// After the lease has expired, only an engine that checks fencing tokens may receive orders:
    /// it rejects them itself if there is a newer holder.
    pub fn may_send_orders(self, checks_fence: bool) -> bool {
        match self {
            Self::Held(_) => true,
            Self::Lapsed(_) => checks_fence,
            Self::None | Self::Lost => false,
        }
    }
}
