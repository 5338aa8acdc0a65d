//! Load statistics of an engine.

use serde::Deserialize;
use serde::Serialize;

/// The load statistics of an engine, which lag behind its state.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineStats {
    /// A number that changes with each restart of the engine.
    pub epoch: u64,
    /// The number of calls in the batch.
    pub running: usize,
    /// The number of calls in the engine's queue.
    pub waiting: usize,
    /// The number of steps since the engine started.
    pub steps: u64,
    /// The sum of the batch sizes of these steps.
    #[serde(rename = "step_places")]
    pub batched_calls: u64,
}
