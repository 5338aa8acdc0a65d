//! How a process speaks with the others.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::TokenSource;

/// How a process speaks with the others.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PeerSettings {
    /// The address that it listens on for its peers.
    pub listen: SocketAddr,
    /// The address that its peers reach it at, if it differs.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// The token that all processes share.
    pub token: TokenSource,
    /// Peers to ask at the start, besides those in the VM list.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The time between two exchanges.
    #[serde(default = "default_exchange", rename = "exchange_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub gossip_interval_ms: Duration,
    /// How long a silent peer is only avoided before it counts as gone.
    #[serde(default = "default_gone", rename = "gone_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub suspicion_timeout_ms: Duration,
}

fn default_exchange() -> Duration {
    Duration::from_millis(500)
}

fn default_gone() -> Duration {
    Duration::from_secs(3)
}
