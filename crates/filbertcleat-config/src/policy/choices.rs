//! The policies for routing and slots.

use serde::Deserialize;
use serde::Serialize;

/// How a backend server is chosen.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// By where the adapter is held, expected wait and the cost of a load.
    #[default]
    Affinity,
    /// At random.
    Random,
    /// By rendezvous hashing of the adapter alone.
    Rendezvous,
}

/// How a slot is chosen for a load.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EvictionPolicy {
    /// The slot least worth holding.
    #[default]
    #[serde(rename = "value")]
    LeastValuable,
    /// The slot least recently used.
    #[serde(rename = "least-recent")]
    LeastRecentlyUsed,
}
