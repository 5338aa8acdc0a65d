//! The row of a lease.

use filbertcleat_base::Fence;
use filbertcleat_base::NodeName;
use serde::Deserialize;
use serde::Serialize;

/// The row of a lease.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct LeaseRow {
    /// The process that holds it, different for each start of a process.
    pub holder: NodeName,
    /// The fencing number.
    pub fence: Fence,
    /// How long the lease lasts after each write.
    pub lease_ms: u64,
    /// Whether the holder has given it back.
    pub released: bool,
}

impl LeaseRow {
    /// Writes the row as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a lease has only string keys")
    }
}
