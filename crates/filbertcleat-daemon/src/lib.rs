//! The daemon filbertcleatd: an entry or an agent.
//!
//! One loop on one thread owns all state and feeds the state machines of the other crates. Tasks
//! around it only move bytes: each turns what it reads into an `Input` for the loop.

mod agent;
mod clock;
mod config;
mod convert;
mod daemon;
mod entry;
mod input;
mod logs;
mod metrics;
mod node;
mod peers;
mod rpc;
mod timeline;
mod token;
mod turns;

pub use daemon::Daemon;
pub use daemon::StartError;
pub use logs::LogError;
pub use logs::init_logging;
