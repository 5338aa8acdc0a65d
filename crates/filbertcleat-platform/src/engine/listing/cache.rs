//! Events of an engine's prefix cache.

use serde::Deserialize;
use serde::Serialize;

/// An event of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Its number; a gap means that events are missing.
    pub number: u64,
    /// The hash of the prompt's prefix.
    pub prefix: u64,
    /// Whether the prefix was cached or dropped.
    pub cached: bool,
}
