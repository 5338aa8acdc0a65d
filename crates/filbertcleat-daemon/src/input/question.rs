//! Questions of peers and operators.

use filbertcleat_wire::v1;
use tokio::sync::oneshot;

/// A peer's question about the configuration.
#[derive(Debug)]
pub(crate) enum PeerQuestion {
    /// The patches after a version.
    Patches { after: u64, reply: oneshot::Sender<v1::PatchesReply> },
    /// The whole configuration.
    Snapshot { reply: oneshot::Sender<v1::SnapshotReply> },
}

/// An operator's question, passed on by an entry.
#[derive(Debug)]
pub(crate) enum Inspection {
    /// The status of this process.
    Status { reply: oneshot::Sender<v1::StatusReply> },
    /// The events of this process.
    Timeline { query: v1::TimelineRequest, reply: oneshot::Sender<v1::TimelineReply> },
    /// A planned stop of this process.
    Drain { operator: String, reply: oneshot::Sender<v1::DrainReply> },
}
