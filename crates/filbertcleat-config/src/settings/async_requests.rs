//! Settings for asynchronous requests.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// How an entry processes asynchronous requests, whose callers fetch the answer later.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct AsyncSettings {
    /// The maximum number of asynchronous requests that one entry runs at a time.
    pub running_max: usize,
    /// The duration of an entry's lease on an asynchronous request, unless it is renewed.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub lease_ms: Duration,
    /// The interval between polls for pending requests.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub poll_ms: Duration,
}

impl Default for AsyncSettings {
    fn default() -> Self {
        Self { running_max: 32, lease_ms: Duration::from_secs(30), poll_ms: Duration::from_secs(2) }
    }
}
