//! An agent's update about its engine.

use filbertcleat_base::ModelName;

use crate::LoadedAdapter;
use crate::NamedLimit;
use crate::ServerId;

/// An agent's update about its engine, sent to an entry.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentUpdate {
    /// The id of the agent's incarnation.
    pub agent: u64,
    /// The engine's incarnation.
    pub server: ServerId,
    /// A number that increases with each update of an agent incarnation.
    pub sequence: u64,
    /// The loaded base models that are not about to be unloaded.
    pub available_models: Vec<ModelName>,
    /// The base models that the engine is loading.
    pub loading_models: Vec<ModelName>,
    /// The adapters that the engine has loaded or is loading.
    pub adapters: Vec<LoadedAdapter>,
    /// The requests in the engine's batch.
    pub running_requests: u32,
    /// The requests in the engine's own queue.
    pub waiting_requests: u32,
    /// The KV cache memory in use that cannot be evicted, in tokens.
    pub memory_used_tokens: u64,
    /// The total KV cache memory, in tokens.
    pub memory_tokens: u64,
    /// The prompt tokens that entries other than the recipient have recently sent.
    pub others_prompt_tokens: u64,
    /// The prompt tokens that entries other than the recipient have sent since the agent's start.
    pub others_total_tokens: u64,
    /// Whether the engine announced in its last answer that it is leaving.
    pub is_leaving: bool,
    /// What the engine's last answer to the agent says about its limit on requests.
    pub limit: NamedLimit,
    /// The number of entries from which the agent has recently received updates.
    pub live_entries: u32,
}
