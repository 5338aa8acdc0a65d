//! What an engine tells of itself.

use filbertcleat_base::AdapterRef;
use serde::Deserialize;
use serde::Serialize;

/// The adapters that an engine holds.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineListing {
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

/// An engine's report of its load, which lags.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// A number that changes when the engine restarts.
    pub epoch: u64,
    /// The calls in its batch.
    pub running: usize,
    /// The calls that wait in it.
    pub waiting: usize,
    /// The steps that it has made.
    pub steps: u64,
    /// The places that calls took in those steps.
    pub step_places: u64,
}

/// An event of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Its number; a gap means that events are missing.
    pub number: u64,
    /// The hash of the prompt's prefix.
    pub prefix: u64,
    /// Whether the prefix was cached or dropped.
    pub cached: bool,
}
