//! Log settings.

use std::path::PathBuf;

use serde::Deserialize;
use serde::Serialize;

/// The log output.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct LogSettings {
    /// The least severe level to write: error, warn, info, debug or trace.
    pub level: String,
    /// The file to write to; standard error if absent.
    pub file: Option<PathBuf>,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self { level: "info".to_owned(), file: None }
    }
}
