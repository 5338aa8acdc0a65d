//! The grant of a load permit.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::NodeName;

/// A load permit granted to an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadGrant {
    /// The id of the grant, unique among all coordinators.
    pub id: u64,
    /// The agent that holds the permit.
    pub node: NodeName,
    /// The adapter to load.
    pub adapter: AdapterRef,
    /// The time after which the permit expires.
    pub hold_ms: u64,
}
