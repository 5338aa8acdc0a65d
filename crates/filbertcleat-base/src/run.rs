//! What is known of whether a request was run.

use serde::Deserialize;
use serde::Serialize;

/// Whether a request that got no answer was run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Executed {
    /// It was not run, which is proven.
    No,
    /// It may have been run.
    Unknown,
}

impl Executed {
    /// Returns the word used in messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
        }
    }
}
