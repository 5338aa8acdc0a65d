//! The state that an engine reports to its agent.

use filbertcleat_base::ModelName;

use crate::AdapterKey;
use crate::ServerId;

/// The state that an engine reports to its agent.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// The engine's incarnation; empty if the engine does not report it.
    pub server: ServerId,
    /// The Unix time of the engine's start in milliseconds; 0 if the engine does not report it.
    pub started_unix_ms: u64,
    /// The number of orders that the engine has accepted since its start.
    pub order_count: u64,
    /// Whether the engine is loading or unloading a base model.
    pub is_changing_model: bool,
    /// The loaded base models.
    pub loaded_models: Vec<ModelName>,
    /// The base models that are being loaded.
    pub loading_models: Vec<ModelName>,
    /// The loaded adapters with their versions.
    pub loaded_adapters: Vec<(AdapterKey, u64)>,
    /// The adapters that are being loaded, with their versions.
    pub loading_adapters: Vec<(AdapterKey, u64)>,
    /// The requests in the engine's batch.
    pub running_requests: u32,
    /// The requests in the engine's queue.
    pub waiting_requests: u32,
    /// The KV cache memory in use that cannot be evicted, in tokens.
    pub memory_used_tokens: u64,
    /// The total KV cache memory, in tokens.
    pub memory_tokens: u64,
}
