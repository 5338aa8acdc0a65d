//! The choices between policies, of which the baselines stay available.

mod choices;
mod order;

use serde::Deserialize;
use serde::Serialize;

pub use self::choices::RoutePolicy;
pub use self::choices::SlotPolicy;
pub use self::order::QueuePolicy;
pub use self::order::TurnPolicy;

/// The policies in force.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Policy {
    /// How a backend server is chosen.
    pub routing: RoutePolicy,
    /// How a slot is chosen for a load.
    pub slots: SlotPolicy,
    /// How waiting requests are ordered.
    pub queue: QueuePolicy,
    /// How the turn at the weight store is given.
    pub turns: TurnPolicy,
}

impl Policy {
    /// Random replica, least recently used slots, first-come order.
    pub const RANDOM: Self = Self {
        routing: RoutePolicy::Random,
        slots: SlotPolicy::LeastRecent,
        queue: QueuePolicy::FirstCome,
        turns: TurnPolicy::FirstCome,
    };
    /// Rendezvous hashing, least recently used slots, first-come order.
    pub const RENDEZVOUS: Self = Self { routing: RoutePolicy::Rendezvous, ..Self::RANDOM };
}
