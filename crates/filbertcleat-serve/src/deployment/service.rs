//! Services and what their engines hold.

use super::ModelShape;

/// A service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceShape {
    /// The most connections that one backend server accepts from all callers.
    pub connections_max: usize,
    /// The engines' shape, if the service generates text.
    pub engine: Option<EngineShape>,
}

/// What the engines of a service can hold.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineShape {
    /// The most requests in one batch.
    pub slots: u32,
    /// The memory for prompts and answers, in tokens.
    pub memory_tokens: u64,
    /// The memory for weights and adapters.
    pub weights_max_mb: f64,
    /// The most adapters held at once.
    pub adapter_places: usize,
    /// The base models that the service may hold.
    pub models: Vec<ModelShape>,
}
