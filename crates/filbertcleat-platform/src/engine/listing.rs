//! State that an engine reports.

mod cache;
mod stats;

use filbertcleat_base::AdapterRef;
use serde::Deserialize;
use serde::Serialize;

pub use self::cache::CacheEvent;
pub use self::stats::EngineStats;

/// The adapters loaded on an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AdapterListing {
    /// A number that changes with each restart of the engine.
    pub epoch: u64,
    /// The loaded adapters.
    pub adapters: Vec<EngineAdapter>,
}

/// An adapter loaded on an engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineAdapter {
    /// The adapter version.
    pub adapter: AdapterRef,
    /// The number of calls that use the adapter.
    pub running: usize,
}
