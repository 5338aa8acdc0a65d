//! Where logs go.

use std::path::PathBuf;

use serde::Deserialize;
use serde::Serialize;

/// Where logs go.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct LogSettings {
    /// The least severe level that is written: error, warn, info, debug or trace.
    pub level: String,
    /// The file that is written to, or the standard error if none is named.
    pub file: Option<PathBuf>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned(), file: None }
    }
}
