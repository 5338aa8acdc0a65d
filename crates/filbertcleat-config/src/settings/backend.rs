//! Settings of an agent's backend server.

use std::time::Duration;

use filbertcleat_base::ModelName;
use filbertcleat_base::ServiceName;
use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// The backend server of an agent.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BackendSettings {
    /// The server's URL, such as `http://10.0.0.9:8000`.
    pub url: String,
    /// The service that the server belongs to.
    pub service: ServiceName,
    /// The kind of server.
    pub kind: BackendKind,
    /// The base model of an engine.
    #[serde(default)]
    pub model: Option<ModelName>,
    /// The number of adapters that an engine can hold at a time.
    #[serde(default, rename = "slots")]
    pub adapter_slots: usize,
    /// The maximum number of calls that the server runs at a time.
    #[serde(rename = "batch")]
    pub batch_limit: usize,
    /// Whether the server rejects orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fence: bool,
    /// The maximum time that an order may spend in transit to the server.
    #[serde(default = "default_travel", rename = "travel_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub max_transit_ms: Duration,
    /// The time after which an adapter load counts as failed.
    #[serde(default = "default_load")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub load_timeout_ms: Duration,
    /// The time without any data after which a call counts as failed.
    #[serde(default = "default_silence", rename = "silence_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub idle_timeout_ms: Duration,
}

/// The kind of a backend server.
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
