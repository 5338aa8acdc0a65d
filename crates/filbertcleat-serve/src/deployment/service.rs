//! Services and what their engines hold.

use super::ModelSpec;

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSpec {
    /// The most connections that one backend server accepts from all callers.
    pub connections_max: usize,
    /// The engines' shape, if the service generates text.
    pub engine: Option<EngineSpec>,
}

/// What the engines of a service can hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSpec {
    /// The most requests in one batch.
    pub batch_limit: u32,
    /// The memory for prompts and answers, in tokens.
    pub memory_tokens: u64,
    /// The memory for weights and adapters.
    pub weights_max_mb: f64,
    /// The most adapters held at once.
    pub adapter_slots: usize,
    /// The base models that the service may hold.
    pub models: Vec<ModelSpec>,
}
