//! Process roles.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The role of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Accepts requests from callers and routes them to agents.
    Entry,
    /// Queues requests for one backend server and manages its adapters.
    Agent,
}

impl Role {
    /// Returns the name of the role in settings and messages.
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
