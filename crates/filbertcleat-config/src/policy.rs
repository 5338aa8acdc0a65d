//! The choices between policies, of which the baselines stay available.

mod choices;
mod order;

use serde::Deserialize;
use serde::Serialize;

pub use self::choices::EvictionPolicy;
pub use self::choices::RoutingPolicy;
pub use self::order::LoadPermitPolicy;
pub use self::order::QueuePolicy;

/// The policies in force.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// How a backend server is chosen.
    pub routing: RoutingPolicy,
    /// How a slot is chosen for a load.
    #[serde(rename = "slots")]
    pub eviction: EvictionPolicy,
    /// How waiting requests are ordered.
    pub queue: QueuePolicy,
    /// How the turn at the weight store is given.
    #[serde(rename = "turns")]
    pub load_permits: LoadPermitPolicy,
}

impl Policy {
    /// Random replica, least recently used slots, first-come order.
    pub const RANDOM: Self = Self {
        routing: RoutingPolicy::Random,
        eviction: EvictionPolicy::LeastRecentlyUsed,
        queue: QueuePolicy::Fifo,
        load_permits: LoadPermitPolicy::Fifo,
    };
    /// Rendezvous hashing, least recently used slots, first-come order.
    pub const RENDEZVOUS: Self = Self { routing: RoutingPolicy::Rendezvous, ..Self::RANDOM };
}
