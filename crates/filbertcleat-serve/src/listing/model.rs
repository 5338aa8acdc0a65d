//! A base model on a backend server.

use filbertcleat_base::AdapterName;
use filbertcleat_base::ModelName;

/// A base model that a backend server held when it described itself.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedModel {
    /// The model.
    pub name: ModelName,
    /// Its adapters with their versions, as far as stated.
    pub adapters: Vec<(AdapterName, Option<u64>)>,
}
