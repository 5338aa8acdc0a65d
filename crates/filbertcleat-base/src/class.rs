//! The class of a request.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// How much a request matters against others.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Work that goes before routine work.
    KeyAccount,
    /// All other work.
    #[default]
    Routine,
}

impl Class {
    /// All classes, the most important first.
    pub const ALL: [Self; 2] = [Self::KeyAccount, Self::Routine];

    /// Returns the name used in headers and messages.
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

/// A text that names no class.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("class {text:?} does not exist: use key-account or routine")]
pub struct ParseClassError {
    text: String,
}
