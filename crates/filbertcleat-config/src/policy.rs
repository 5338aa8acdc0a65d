//! The choices between policies, of which the baselines stay available.

use serde::Deserialize;
use serde::Serialize;

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

/// How a backend server is chosen.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoutePolicy {
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
pub enum SlotPolicy {
    /// The slot least worth holding.
    #[default]
    Value,
    /// The slot least recently used.
    LeastRecent,
}

/// How waiting requests are ordered.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum QueuePolicy {
    /// By class, deadline and age, with requests for one adapter together.
    #[default]
    Grouped,
    /// By arrival.
    FirstCome,
}

/// How the turn at the weight store is given.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TurnPolicy {
    /// To the load with the most urgent waiting work.
    #[default]
    Urgency,
    /// To the load asked for first.
    FirstCome,
}
