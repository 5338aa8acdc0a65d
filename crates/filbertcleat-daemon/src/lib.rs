//! The daemon filbertcleatd, which runs as an entry or as an agent.
//!
//! A single-threaded event loop owns all state and feeds the state machines of the other crates.
//! Other tasks only do I/O: each sends what it reads to the loop as a `LoopEvent`.

mod agent;
mod clock;
mod config;
mod convert;
mod daemon;
mod entry;
mod load_permits;
mod logs;
mod loop_event;
mod metrics;
mod node;
mod peers;
mod rpc;
mod timeline;
mod token;

pub use daemon::Daemon;
pub use daemon::StartError;
pub use logs::LogError;
pub use logs::init_logging;
