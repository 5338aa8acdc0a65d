//! What an agent knows of its lease on its backend server.

use filbertcleat_base::Fence;

/// Whether an agent owns its backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ownership {
    /// No lease was ever held, and no other holder is known.
    None,
    /// The lease is held.
    Held(Fence),
    /// The lease ran out while the table service could not be reached.
    Lapsed(Fence),
    /// Another process holds the lease.
    Lost,
}

impl Ownership {
    /// Returns the fencing number for orders.
    pub fn fence(self) -> Option<Fence> {
        match self {
            Self::Held(fence) | Self::Lapsed(fence) => Some(fence),
            Self::None | Self::Lost => None,
        }
    }

    /// Returns whether orders may be given to an engine.
    ///
    /// After the lease has run out, only an engine that checks the number may be given orders:
    /// it refuses them itself if there is a newer holder.
    pub fn may_send_orders(self, checks_fence: bool) -> bool {
        match self {
            Self::Held(_) => true,
            Self::Lapsed(_) => checks_fence,
            Self::None | Self::Lost => false,
        }
    }
}
