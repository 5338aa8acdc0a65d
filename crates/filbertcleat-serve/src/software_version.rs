//! The software versions of backend servers.

use std::fmt;
use std::sync::Arc;

/// The version of the software that a backend server runs; empty if its record names none.
#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct SoftwareVersion(Arc<str>);

impl SoftwareVersion {
    /// Creates the version from its text.
    pub fn new(text: &str) -> Self {
        Self(Arc::from(text))
    }

    /// Returns the text of the version.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for SoftwareVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
