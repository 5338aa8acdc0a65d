//! Whether a failed request was executed.

use serde::Deserialize;
use serde::Serialize;

/// Whether a backend server executed a request that failed without an answer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Executed {
    /// The request was provably not executed.
    No,
    /// The request may have been executed.
    Unknown,
}

impl Executed {
    /// Returns the name of the value in answers and stored data.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
        }
    }
}
