//! The result of routing a request.

use filbertcleat_base::NodeName;

/// The replica selected for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteChoice {
    /// The agent of the replica.
    pub node: NodeName,
    /// Whether the replica holds the adapter according to its last report.
    pub holds_adapter: bool,
}
