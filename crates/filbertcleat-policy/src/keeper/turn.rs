//! Turns given to agents.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::NodeName;

/// A turn given to an agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadGrant {
    /// Tells this turn from all others.
    pub id: u64,
    /// The agent that holds the turn.
    pub node: NodeName,
    /// The adapter to load.
    pub adapter: AdapterRef,
    /// How long the turn lasts at most.
    pub hold_ms: u64,
}
