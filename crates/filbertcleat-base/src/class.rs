//! Service classes of requests.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// The service class of a request, which decides its priority over other requests.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Requests of key accounts, which are served before routine requests.
    KeyAccount,
    /// All other requests.
    #[default]
    Routine,
}

impl Class {
    /// All classes, in descending priority.
    pub const ALL: [Self; 2] = [Self::KeyAccount, Self::Routine];

    /// Returns the name of the class in headers, messages and stored data.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::KeyAccount => "key-account",
            Self::Routine => "routine",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for Class {
    type Err = ParseClassError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL
            .into_iter()
            .find(|class| class.as_str() == text)
            .ok_or_else(|| ParseClassError { text: text.to_owned() })
    }
}

/// The error for a string that is not the name of a class.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("class {text:?} does not exist: use key-account or routine")]
pub struct ParseClassError {
    text: String,
}
