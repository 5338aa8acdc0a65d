//! What an entry tells the agent of one engine.

use crate::AdapterKey;
use crate::EngineSpec;
use crate::ModelDemand;
use crate::ServerId;

/// What an entry tells the agent of one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryUpdate {
    /// Differs between processes and between starts of one process.
    pub entry: u64,
    /// Grows with each message of this entry.
    pub sequence: u64,
    /// The incarnation of the engine that the list names at the agent's VM, or empty.
    pub server: ServerId,
    /// Adapters that requests wait for at this entry.
    pub adapter_demand: Vec<AdapterDemand>,
    /// Adapters that this entry's requests run on at the engine, with their number.
    pub adapters_in_use: Vec<(AdapterKey, u32)>,
    /// The prompts that this entry has ever sent to the engine, in tokens.
    pub sent_prompt_tokens: u64,
    /// The shape of the engine's service, once the entry knows it.
    pub engine_spec: Option<EngineSpec>,
    /// The work that this entry sees for base models.
    pub model_demand: Vec<ModelDemand>,
}

/// An adapter that requests wait for.
#[derive(Clone, Debug, PartialEq)]
pub struct AdapterDemand {
    /// The adapter.
    pub key: AdapterKey,
    /// The lowest version that may serve.
    pub min_version: u64,
    /// The most urgent waiting request's priority; 0 is the most urgent.
    pub priority: u8,
    /// The requests that wait.
    pub waiting_requests: u32,
}
