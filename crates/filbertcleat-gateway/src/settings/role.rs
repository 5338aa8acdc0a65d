//! The role of a process.

use std::net::SocketAddr;

/// The role of a process of the direct path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum GatewayRole {
    /// The process accepts callers.
    Entry {
        /// The address for callers.
        callers: SocketAddr,
        /// The address for the readiness checks of the load balancer.
        readiness: SocketAddr,
    },
    /// The process controls the engine on its VM.
    Agent {
        /// The address of the engine.
        engine: SocketAddr,
    },
}
