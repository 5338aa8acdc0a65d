//! The demand for a base model.

use filbertcleat_base::ModelName;

/// The demand for a base model as an entry sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelDemand {
    /// The model.
    pub model: ModelName,
    /// The requests that arrived recently.
    pub recent_requests: u32,
    /// The engines that have loaded the model or are loading it.
    pub engines: u32,
}
