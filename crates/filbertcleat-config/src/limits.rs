//! Cluster-wide request limits.

use serde::Deserialize;
use serde::Serialize;

/// Limits on admitting and retrying requests.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limits {
    /// The maximum number of requests that one entry holds at a time.
    pub waiting_max: u32,
    /// The share of `waiting_max` that routine requests may use.
    pub routine_share_percent: u8,
    /// The share of `waiting_max` that requests for one adapter may use.
    pub adapter_share_percent: u8,
    /// The maximum number of attempts per request.
    pub attempts_max: u32,
    /// The retry budget of an entry, as a percentage of its successful requests.
    pub retry_share_percent: u8,
    /// How long an entry holds a request that no backend server accepts.
    pub hold_ms: u64,
    /// How long a non-idempotent request waits for its claim in the table service.
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
