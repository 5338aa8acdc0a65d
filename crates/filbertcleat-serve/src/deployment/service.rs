//! Services and the capacity of their engines.

use super::ModelSpec;

/// The configuration of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceSpec {
    /// The largest number of connections that one backend server accepts.
    pub connections_max: usize,
    /// The path at which a backend server tells whether it is sound, if there is one.
    pub health_path: Option<String>,
    /// The capacity of the service's engines, if the service generates text.
    pub engine: Option<EngineSpec>,
}

/// The capacity of the engines of a service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineSpec {
    /// The largest number of requests in one batch.
    pub batch_limit: u32,
    /// The KV cache memory, in tokens.
    pub memory_tokens: u64,
    /// The memory for the weights of base models and adapters.
    pub weights_max_mb: f64,
    /// The largest number of adapters that may be loaded at once.
    pub adapter_slots: usize,
    /// The base models that the service may load, in the operators' order.
    pub models: Vec<ModelSpec>,
}
