//! The engine's slots as the engine lists them.

use filbertcleat_base::AdapterRef;

/// The engine's own list of its adapters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineState {
    /// A number that changes when the engine restarts.
    pub epoch: u64,
    /// The adapters that it holds.
    pub adapters: Vec<LoadedAdapter>,
}

/// An adapter that an engine holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedAdapter {
    /// The adapter.
    pub adapter: AdapterRef,
    /// The calls that it serves, whoever made them.
    pub running_calls: usize,
}
