//! What an agent tells entries of its engine.

use filbertcleat_base::ModelName;

use crate::LoadedAdapter;
use crate::ServerId;

/// What an agent tells entries of its engine.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentUpdate {
    /// Differs between starts of one agent.
    pub agent: u64,
    /// The engine's incarnation.
    pub server: ServerId,
    /// Grows with each message of one start of the agent.
    pub sequence: u64,
    /// The base models that the engine holds and that are not about to go.
    pub available_models: Vec<ModelName>,
    /// The base models that the engine is loading.
    pub loading_models: Vec<ModelName>,
    /// The adapters that the engine holds or is getting.
    pub adapters: Vec<LoadedAdapter>,
    /// Requests in the engine's batch.
    pub running_requests: u32,
    /// Requests in the engine's own queue.
    pub waiting_requests: u32,
    /// Memory in use that can't be given back, in tokens.
    pub memory_used_tokens: u64,
    /// All memory, in tokens.
    pub memory_tokens: u64,
    /// The prompts that other entries than the one told have lately sent, in tokens.
    pub others_prompt_tokens: u64,
    /// The entries that this agent has heard lately.
    pub live_entries: u32,
}
