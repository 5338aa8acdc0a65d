//! The settings of one process of the direct path.

use std::net::IpAddr;
use std::net::SocketAddr;

use filbertcleat_base::NodeName;
use filbertcleat_base::PlaceName;

/// The settings of one process of the direct path.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySettings {
    /// The process's name, unique in the deployment.
    pub name: NodeName,
    /// Its failure domain.
    pub domain: PlaceName,
    /// What it does.
    pub role: GatewayRole,
    /// The address of its VM.
    pub ip: IpAddr,
    /// The port for datagrams between processes, the same on all VMs.
    pub peer_port: u16,
    /// Where the list of configurations and backend servers is read.
    pub catalogue: SocketAddr,
    /// The time from the signal to end until the process is killed.
    pub grace_ms: u64,
    /// The repeats that all entries together may send to a service.
    pub repeats: RepeatGrant,
}

/// What a process does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GatewayRole {
    /// It answers callers.
    Entry {
        /// Where callers connect.
        callers: SocketAddr,
        /// Where the balancer asks whether it takes callers.
        readiness: SocketAddr,
    },
    /// It gives orders to the engine beside it.
    Agent {
        /// The engine.
        engine: SocketAddr,
    },
}

/// The repeats that all entries together may send to a service within a window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RepeatGrant {
    /// The repeats granted per request.
    pub ratio: f64,
    /// The repeats granted besides.
    pub slack: f64,
    /// The length of the window.
    pub window_ms: u64,
}
