//! Settings of the platform's services.

use std::time::Duration;

use filbertcleat_base::WeightStoreName;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// The addresses of the platform's services and the limits for calls to them.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PlatformSettings {
    /// The URL of the table service, such as `http://10.0.0.9:8000`.
    pub table: String,
    /// The URL of the object store.
    pub objects: String,
    /// The URL of the VM list.
    #[serde(default)]
    pub vms: Option<String>,
    /// The name of the weight store from which engines load adapters.
    #[serde(default = "default_store")]
    pub weight_store: WeightStoreName,
    /// The time limit of one call.
    #[serde(default = "default_timeout")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub timeout_ms: Duration,
    /// The interval between polls for a newer configuration version.
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
