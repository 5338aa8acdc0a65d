//! Errors of the client and their exit codes.

use std::fmt::Display;

use thiserror::Error;

/// An error of the client.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ClientError {
    /// The command line is wrong.
    #[error("{reason}\nhint: filbertcleat --help lists the commands")]
    Usage {
        /// What is wrong with it.
        reason: String,
    },
    /// The entry refused what was asked, and nothing was changed.
    #[error("refused: {reason}")]
    Refused {
        /// What the entry said.
        reason: String,
    },
    /// The entry could not be asked, or its answer can't be read.
    #[error("{reason}\nhint: set --entry to the operators' address of an entry that runs")]
    Unreachable {
        /// What went wrong.
        reason: String,
    },
    /// Nobody knows whether what was asked took effect.
    #[error("unknown outcome: {reason}\nhint: look for the patch id with filbertcleat timeline")]
    Unknown {
        /// What the entry said.
        reason: String,
    },
}

impl ClientError {
    /// Creates an error of the command line.
    pub fn usage(reason: impl Display) -> Self {
        Self::Usage { reason: reason.to_string() }
    }

    /// Creates an error of an entry that could not be asked.
    pub fn unreachable(reason: impl Display) -> Self {
        Self::Unreachable { reason: reason.to_string() }
    }

    /// Returns the exit code of the client.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { .. } => 1,
            Self::Usage { .. } => 2,
            Self::Unreachable { .. } => 3,
            Self::Unknown { .. } => 4,
        }
    }
}
