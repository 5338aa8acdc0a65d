//! Where metrics go.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

/// Where metrics go.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct MetricsSettings {
    /// The UDP address of a statsd receiver; without it metrics are kept only for `status`.
    pub statsd: Option<SocketAddr>,
    /// What each metric's name begins with.
    pub prefix: String,
}

impl Default for MetricsSettings {
    fn default() -> Self {
        Self { statsd: None, prefix: "filbertcleat".to_owned() }
    }
}
