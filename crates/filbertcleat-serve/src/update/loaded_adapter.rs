//! An adapter that an engine has loaded or is loading.

use crate::AdapterKey;
use crate::AdapterStage;

/// An adapter that an engine has loaded or is loading.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LoadedAdapter {
    /// The adapter.
    pub key: AdapterKey,
    /// The adapter's version.
    pub version: u64,
    /// The adapter's stage.
    pub stage: AdapterStage,
}
