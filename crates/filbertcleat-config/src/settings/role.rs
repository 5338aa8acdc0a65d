//! The roles of a process.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// What a process does.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Stands before the callers.
    Entry,
    /// Stands beside one backend server.
    Agent,
}

impl Role {
    /// Returns the word used in settings and messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entry => "entry",
            Self::Agent => "agent",
        }
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
