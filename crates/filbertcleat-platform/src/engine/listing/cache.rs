//! Prefix cache events.

use serde::Deserialize;
use serde::Serialize;

/// An event of an engine's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// The consecutive number of the event; a gap means that events are missing.
    pub number: u64,
    /// The hash of the prompt prefix.
    pub prefix: u64,
    /// Whether the prefix was cached; `false` means that it was evicted.
    pub cached: bool,
}
