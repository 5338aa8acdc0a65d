//! Identifiers of backend servers and adapters.

use std::fmt;
use std::sync::Arc;

use filbertcleat_base::AdapterName;
use filbertcleat_base::ModelName;

/// The id of a backend server's incarnation; empty if the id is unknown.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ServerId(Arc<str>);

impl ServerId {
    /// Creates the id from its text.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// Returns the text of the id.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for ServerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// An adapter of a base model, without its version.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct AdapterKey {
    /// The base model.
    pub model: ModelName,
    /// The adapter of that model.
    pub adapter: AdapterName,
}

impl fmt::Display for AdapterKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.model, self.adapter)
    }
}
