//! What an engine says of itself.

use filbertcleat_base::ModelName;

use crate::AdapterKey;
use crate::ServerId;

/// What an engine says of itself.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineReport {
    /// The engine's incarnation.
    pub server: ServerId,
    /// The Unix time of its start, if it says so.
    pub started_unix_ms: u64,
    /// The orders that it has accepted since then.
    pub order_count: u64,
    /// Whether it carries out an order on a base model.
    pub is_changing_model: bool,
    /// The base models that it holds.
    pub loaded_models: Vec<ModelName>,
    /// The base models that it is loading.
    pub loading_models: Vec<ModelName>,
    /// The adapters that it holds, with their versions.
    pub loaded_adapters: Vec<(AdapterKey, u64)>,
    /// The adapters that are on their way to it, with their versions.
    pub loading_adapters: Vec<(AdapterKey, u64)>,
    /// Requests in its batch.
    pub running_requests: u32,
    /// Requests in its queue.
    pub waiting_requests: u32,
    /// Memory in use that can't be given back, in tokens.
    pub memory_used_tokens: u64,
    /// All memory, in tokens.
    pub memory_tokens: u64,
}
