//! The backend server beside an agent.

use std::time::Duration;

use filbertcleat_base::ModelName;
use filbertcleat_base::ServiceName;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// The backend server beside an agent.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BackendSettings {
    /// Its address, as `http://address:port`.
    pub url: String,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// What it is.
    pub kind: BackendKind,
    /// The base model that an engine holds.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// An engine's adapter slots.
    #[serde(default, rename = "slots")]
    pub adapter_slots: usize,
    /// The most calls that it runs at a time.
    #[serde(rename = "batch")]
    pub batch_limit: usize,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fence: bool,
    /// The longest time that an order may travel.
    #[serde(default = "default_travel", rename = "travel_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_transit_ms: Duration,
    /// How long a load may take before it counts as failed.
    #[serde(default = "default_load")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub load_timeout_ms: Duration,
    /// How long a call may go without any sign of life.
    #[serde(default = "default_silence", rename = "silence_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle_timeout_ms: Duration,
}

/// What a backend server is.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum BackendKind {
    /// A model engine.
    Engine,
    /// A plain HTTP service.
    Plain,
}

fn default_travel() -> Duration {
    Duration::from_secs(1)
}

fn default_load() -> Duration {
    Duration::from_secs(30)
}

fn default_silence() -> Duration {
    Duration::from_secs(30)
}
