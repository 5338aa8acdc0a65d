//! The adapters of an engine, as the engine lists them.

use filbertcleat_base::AdapterRef;

/// An engine's own listing of its loaded adapters.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineState {
    /// A number that changes when the engine restarts.
    pub epoch: u64,
    /// The loaded adapters.
    pub adapters: Vec<LoadedAdapter>,
}

/// An adapter that is loaded in an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedAdapter {
    /// The adapter.
    pub adapter: AdapterRef,
    /// The running calls of the adapter, including those that other agents started.
    pub running_calls: usize,
}
