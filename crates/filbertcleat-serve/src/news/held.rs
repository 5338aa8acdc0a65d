//! An adapter on an engine.

use crate::AdapterKey;
use crate::AdapterStage;

/// An adapter on an engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedAdapter {
    /// The adapter.
    pub key: AdapterKey,
    /// Its version.
    pub version: u64,
    /// Where it stands.
    pub stage: AdapterStage,
}
