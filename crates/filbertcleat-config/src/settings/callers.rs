//! How callers reach an entry.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// How callers reach an entry.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CallerSettings {
    /// The address that it listens on for callers.
    pub listen: SocketAddr,
    /// The largest body.
    #[serde(default = "default_body")]
    pub body_max_bytes: usize,
    /// The largest head of a request.
    #[serde(default = "default_header")]
    pub header_max_bytes: usize,
    /// The most connections at a time.
    #[serde(default = "default_connections")]
    pub connections_max: usize,
    /// How long a caller may take to send its head, and then its body.
    #[serde(default = "default_read")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub read_timeout_ms: Duration,
}

fn default_body() -> usize {
    1024 * 1024
}

fn default_header() -> usize {
    16 * 1024
}

fn default_connections() -> usize {
    4096
}

fn default_read() -> Duration {
    Duration::from_secs(10)
}
