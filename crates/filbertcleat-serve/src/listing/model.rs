//! A base model in the catalogue record of a backend server.

use filbertcleat_base::AdapterName;
use filbertcleat_base::ModelName;

/// A base model in the catalogue record of a backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedModel {
    /// The model.
    pub name: ModelName,
    /// The loaded adapters of the model, with their versions where the record contains them.
    pub adapters: Vec<(AdapterName, Option<u64>)>,
}
