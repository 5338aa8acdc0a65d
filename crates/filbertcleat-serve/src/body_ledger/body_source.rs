//! Where a body comes from.

use filbertcleat_base::WorkspaceName;

/// Where a body comes from, and how fast it may be expected.
#[derive(Clone, Debug)]
pub struct BodySource {
    /// The workspace of its caller, if the deployment has workspaces.
    pub workspace: Option<WorkspaceName>,
    /// The largest body that a caller may send, in bytes.
    pub largest_bytes: u64,
    /// The time in which it has to arrive, in ms.
    pub wait_ms: u64,
}
