//! A change of the base models on an engine.

use filbertcleat_base::ModelName;

/// A change of the base models on an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum ModelChange {
    /// Loads a base model.
    Load(ModelName),
    /// Unloads a base model.
    Unload(ModelName),
}
