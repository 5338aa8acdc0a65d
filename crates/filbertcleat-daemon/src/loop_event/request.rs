//! Requests of peers that the event loop answers.

use filbertcleat_wire::v1;
use tokio::sync::oneshot;

/// A peer's request for configuration.
#[derive(Debug)]
pub(crate) enum ConfigRequest {
    /// Requests the patches after version `after`.
    Patches { after: u64, reply: oneshot::Sender<v1::PatchesReply> },
    /// Requests the whole configuration.
    Snapshot { reply: oneshot::Sender<v1::SnapshotReply> },
}

/// An operator's request, forwarded by an entry.
#[derive(Debug)]
pub(crate) enum OperatorRequest {
    /// Requests the status of this process.
    Status { reply: oneshot::Sender<v1::StatusReply> },
    /// Requests timeline events of this process.
    Timeline { query: v1::TimelineRequest, reply: oneshot::Sender<v1::TimelineReply> },
    /// Drains and stops this process.
    Drain { operator: String, reply: oneshot::Sender<v1::DrainReply> },
}
