//! Rows of leases.

use filbertcleat_base::FencingToken;
use filbertcleat_base::NodeName;
use serde::Deserialize;
use serde::Serialize;

/// The row of a lease.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct LeaseRow {
    /// The holder, a name that differs for each incarnation of a process.
    pub holder: NodeName,
    /// The fencing token of the holder.
    pub fence: FencingToken,
    /// The duration of the lease after each write.
    pub lease_ms: u64,
    /// Whether the holder has released the lease.
    pub released: bool,
}

impl LeaseRow {
    /// Serializes the row as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("all map keys of a lease are strings")
    }
}
