//! Metrics settings.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// The metrics output.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct MetricsSettings {
    /// The UDP address of a statsd server; without it, metrics are available through `status` only.
    pub statsd: Option<SocketAddr>,
    /// The prefix of all metric names.
    pub prefix: String,
}

impl Default for MetricsSettings {
    fn default() -> Self {
        Self { statsd: None, prefix: "filbertcleat".to_owned() }
    }
}
