//! What a process does.

use std::net::SocketAddr;

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
