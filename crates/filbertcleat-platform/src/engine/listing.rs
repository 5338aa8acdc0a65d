//! What an engine tells of itself.

mod cache;
mod load;

use filbertcleat_base::AdapterRef;
use serde::Deserialize;
use serde::Serialize;

pub use self::cache::CacheEvent;
pub use self::load::EngineStats;

/// The adapters that an engine holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdapterListing {
    /// A number that changes when the engine restarts.
    pub epoch: u64,
    /// Its adapters.
    pub adapters: Vec<EngineAdapter>,
}

/// An adapter in an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineAdapter {
    /// The adapter at its version.
    pub adapter: AdapterRef,
    /// The calls that it serves.
    pub running: usize,
}
