//! The work for a base model.

use filbertcleat_base::ModelName;

/// The work for a base model, as an entry sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ModelDemand {
    /// The model.
    pub model: ModelName,
    /// Requests that came lately.
    pub recent_requests: u32,
    /// Engines that hold it or load it.
    pub engines: u32,
}
