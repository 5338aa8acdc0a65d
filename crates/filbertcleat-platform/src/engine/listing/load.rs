//! An engine's report of its load.

use serde::Deserialize;
use serde::Serialize;

/// An engine's report of its load, which lags.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineStats {
    /// A number that changes when the engine restarts.
    pub epoch: u64,
    /// The calls in its batch.
    pub running: usize,
    /// The calls that wait in it.
    pub waiting: usize,
    /// The steps that it has made.
    pub steps: u64,
    /// The places that calls took in those steps.
    #[serde(rename = "step_places")]
    pub batched_calls: u64,
}
