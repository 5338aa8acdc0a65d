//! What a request runs on.

use std::fmt;

use filbertcleat_base::AdapterRef;

/// What a request runs on.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Target {
    /// An adapter at one version, on a model engine.
    Adapter(AdapterRef),
    /// A plain service.
    Plain,
}

impl Target {
    /// Returns the adapter, if the target is one.
    pub fn adapter(&self) -> Option<&AdapterRef> {
        match self {
            Self::Adapter(adapter) => Some(adapter),
            Self::Plain => None,
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Adapter(adapter) => adapter.fmt(f),
            Self::Plain => f.write_str("plain"),
        }
    }
}
