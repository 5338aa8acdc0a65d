//! A base model.

use filbertcleat_base::ModelName;

/// A base model.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// The model's name.
    pub name: ModelName,
    /// The size of its weights.
    pub weights_mb: f64,
    /// The size of one of its adapters.
    pub adapter_mb: f64,
}
