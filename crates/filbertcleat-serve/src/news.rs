//! What entries and agents tell each other.

use filbertcleat_base::ModelName;

use crate::AdapterKey;
use crate::EngineShape;
use crate::ServerId;

/// What an entry tells the agent of one engine.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EntryNews {
    /// Differs between processes and between starts of one process.
    pub entry: u64,
    /// Grows with each message of this entry.
    pub sequence: u64,
    /// Adapters that requests wait for at this entry.
    pub wants: Vec<Want>,
    /// Adapters that this entry's requests run on at the engine, with their number.
    pub uses: Vec<(AdapterKey, u32)>,
    /// The prompts that this entry has ever sent to the engine, in tokens.
    pub sent_tokens: u64,
    /// The shape of the engine's service, once the entry knows it.
    pub shape: Option<EngineShape>,
    /// Base models by the work that this entry sees for them, most first.
    pub demand: Vec<(ModelName, u32)>,
}

/// An adapter that requests wait for.
#[derive(Clone, Debug, PartialEq)]
pub struct Want {
    /// The adapter.
    pub key: AdapterKey,
    /// The lowest version that may serve.
    pub version: u64,
    /// The most urgent waiting request's priority; 0 is the most urgent.
    pub priority: u8,
    /// The requests that wait.
    pub waiting: u32,
}

/// What an agent tells entries of its engine.
#[derive(Clone, Debug, PartialEq)]
pub struct AgentNews {
    /// Differs between starts of one agent.
    pub agent: u64,
    /// The engine's incarnation.
    pub server: ServerId,
    /// Grows with each message of one start of the agent.
    pub sequence: u64,
    /// The base models that the engine holds.
    pub models: Vec<ModelName>,
    /// The adapters that the engine holds.
    pub held: Vec<HeldAdapter>,
    /// Requests in the engine's batch.
    pub running: u32,
    /// Requests in the engine's own queue.
    pub waiting: u32,
    /// Memory in use that can't be given back, in tokens.
    pub memory_used_tokens: u64,
    /// All memory, in tokens.
    pub memory_tokens: u64,
    /// The prompts that other entries than the one told have lately sent, in tokens.
    pub others_tokens: u64,
    /// The entries that this agent has heard lately.
    pub entries: u32,
}

/// An adapter on an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldAdapter {
    /// The adapter.
    pub key: AdapterKey,
    /// Its version.
    pub version: u64,
    /// Whether it is about to be dropped, so that nothing new may be sent for it.
    pub is_going: bool,
}
