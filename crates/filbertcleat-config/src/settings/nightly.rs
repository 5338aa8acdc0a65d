//! Accepted work that is answered later.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// How an entry works through accepted requests that are answered later.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct AsyncSettings {
    /// The most accepted requests that one entry runs at a time.
    pub running_max: usize,
    /// How long an entry's hold on an accepted request lasts unless renewed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease_ms: Duration,
    /// The time between two looks for waiting work.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub poll_ms: Duration,
}

impl Default for AsyncSettings {
    fn default() -> Self {
        Self { running_max: 32, lease_ms: Duration::from_secs(30), poll_ms: Duration::from_secs(2) }
    }
}
