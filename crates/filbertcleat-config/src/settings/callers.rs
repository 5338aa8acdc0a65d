//! Settings of an entry's endpoint for callers.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

/// The HTTP endpoint of an entry for callers.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct CallerSettings {
    /// The address that the entry listens on.
    pub listen: SocketAddr,
    /// The maximum size of a request body.
    #[serde(default = "default_body")]
    pub body_max_bytes: usize,
    /// The memory that the bodies of all requests may take together.
    #[serde(default = "default_bodies")]
    pub bodies_max_bytes: u64,
    /// The maximum size of a request's head.
    #[serde(default = "default_header")]
    pub header_max_bytes: usize,
    /// The maximum number of concurrent connections.
    #[serde(default = "default_connections")]
    pub connections_max: usize,
    /// The time limit for reading a request's head, and again for reading its body.
    #[serde(default = "default_read")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub read_timeout_ms: Duration,
}

fn default_body() -> usize {
    1024 * 1024
}

fn default_bodies() -> u64 {
    64 * 1024 * 1024
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
