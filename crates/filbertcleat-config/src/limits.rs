//! Limits that hold for the whole system.

use serde::Deserialize;
use serde::Serialize;

/// Limits on accepting and repeating requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The most requests that one entry holds at a time.
    pub waiting_max: u32,
    /// The share of those that routine work may fill.
    pub routine_share_percent: u8,
    /// The share of those that one adapter may fill.
    pub adapter_share_percent: u8,
    /// The most calls to agents that one request may cost.
    pub attempts_max: u32,
    /// Repeats that an entry may make, as a share of its successes.
    pub retry_share_percent: u8,
    /// How long an entry holds a request that no backend server takes.
    pub hold_ms: u64,
    /// How long a non-idempotent request waits for the table service.
    pub claim_wait_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            waiting_max: 2000,
            routine_share_percent: 80,
            adapter_share_percent: 40,
            attempts_max: 4,
            retry_share_percent: 10,
            hold_ms: 30_000,
            claim_wait_ms: 5000,
        }
    }
}
