//! Settings for graceful shutdown.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// How a process shuts down gracefully.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct DrainSettings {
    /// How long the platform's load balancer may keep sending requests to an entry that has
    /// reported that it isn't ready.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub balancer_lag_ms: Duration,
}

impl Default for DrainSettings {
    fn default() -> Self {
        Self { balancer_lag_ms: Duration::from_secs(5) }
    }
}
