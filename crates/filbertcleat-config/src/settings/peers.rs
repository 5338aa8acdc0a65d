//! Settings for communication between processes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use serde_with::DurationMilliSeconds;
use serde_with::serde_as;

use crate::TokenSource;

/// How a process communicates with its peers.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct PeerSettings {
    /// The address that the process listens on.
    pub listen: SocketAddr,
    /// The address that peers connect to, if it differs from `listen`.
    #[serde(default)]
    pub advertise: Option<SocketAddr>,
    /// The token that all processes of the cluster share.
    pub token: TokenSource,
    /// Peers to contact at startup, in addition to those in the VM list.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The interval between gossip exchanges.
    #[serde(default = "default_exchange", rename = "exchange_ms")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    pub gossip_interval_ms: Duration,
    /// How long a peer stays suspected before it counts as gone.
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
