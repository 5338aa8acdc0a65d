//! The target of a call.

use std::fmt;

use filbertcleat_base::AdapterRef;

/// The target of a call.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Target {
    /// One version of an adapter, on a model engine.
    Adapter(AdapterRef),
    /// A plain service.
    Plain,
}

impl Target {
    /// Returns the adapter, or `None` for a plain service.
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
