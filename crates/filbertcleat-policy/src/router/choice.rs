//! The outcome of a choice.

use filbertcleat_base::NodeName;

/// The backend server chosen for a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RouteChoice {
    /// The agent beside it.
    pub node: NodeName,
    /// Whether it holds the adapter, as far as is known.
    pub holds_adapter: bool,
}
