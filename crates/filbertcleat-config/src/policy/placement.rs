//! Policies for routing requests and for evicting adapters.

use serde::Deserialize;
use serde::Serialize;

/// How a backend server is chosen for a request.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutingPolicy {
    /// By adapter residency, expected wait and the cost of an adapter load.
    #[default]
    Affinity,
    /// Uniformly at random.
    Random,
    /// By rendezvous hashing of the adapter alone.
    Rendezvous,
}

/// How the adapter slot to replace is chosen for a load.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum EvictionPolicy {
    /// The slot whose adapter has the lowest value.
    #[default]
    #[serde(rename = "value")]
    LeastValuable,
    /// The least recently used slot.
    #[serde(rename = "least-recent")]
    LeastRecentlyUsed,
}
