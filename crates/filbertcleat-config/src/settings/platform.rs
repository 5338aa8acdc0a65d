//! Where the platform's services are.

use std::time::Duration;

use filbertcleat_base::WeightStoreName;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// Where the platform's services are.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlatformSettings {
    /// The table service, as `http://address:port`.
    pub table: String,
    /// The object store.
    pub objects: String,
    /// The list of VMs.
    #[serde(default)]
    pub vms: Option<String>,
    /// The name of the weight store whose load turns are shared.
    #[serde(default = "default_store")]
    pub weight_store: WeightStoreName,
    /// How long one call may take.
    #[serde(default = "default_timeout")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout_ms: Duration,
    /// The time between two looks at the configuration's head.
    #[serde(default = "default_poll")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub poll_ms: Duration,
}

fn default_store() -> WeightStoreName {
    "weights".into()
}

fn default_timeout() -> Duration {
    Duration::from_secs(2)
}

fn default_poll() -> Duration {
    Duration::from_secs(2)
}
