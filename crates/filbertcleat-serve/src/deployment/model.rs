//! The memory that a base model and its adapters need.

use filbertcleat_base::ModelName;

/// The memory that a base model and its adapters need.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// The model's name.
    pub name: ModelName,
    /// The size of the model's weights.
    pub weights_mb: f64,
    /// The size of one of the model's adapters.
    pub adapter_mb: f64,
}
