//! Routing and scheduling policies, including simple baselines for comparison.

mod placement;
mod scheduling;

use serde::Deserialize;
use serde::Serialize;

pub use self::placement::EvictionPolicy;
pub use self::placement::RoutingPolicy;
pub use self::scheduling::LoadPermitPolicy;
pub use self::scheduling::QueuePolicy;

/// The routing and scheduling policies of the cluster.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// How a backend server is chosen for a request.
    pub routing: RoutingPolicy,
    /// How the adapter slot to replace is chosen for a load.
    #[serde(rename = "slots")]
    pub eviction: EvictionPolicy,
    /// How queued requests are ordered.
    pub queue: QueuePolicy,
    /// How load permits for a weight store are granted.
    #[serde(rename = "turns")]
    pub load_permits: LoadPermitPolicy,
}

impl Policy {
    /// Baseline with random routing, LRU eviction and first-come-first-served queues.
    pub const RANDOM: Self = Self {
        routing: RoutingPolicy::Random,
        eviction: EvictionPolicy::LeastRecentlyUsed,
        queue: QueuePolicy::Fifo,
        load_permits: LoadPermitPolicy::Fifo,
    };
    /// Baseline with rendezvous hashing, LRU eviction and first-come-first-served queues.
    pub const RENDEZVOUS: Self = Self { routing: RoutingPolicy::Rendezvous, ..Self::RANDOM };
}
