//! The client's errors and their exit codes.

use std::fmt::Display;

use thiserror::Error;

/// An error of the client.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum ClientError {
    /// The command line, the settings file or the file with changes is invalid.
    #[error("{reason}\nhint: filbertcleat --help lists the commands")]
    Usage {
        /// The invalid part.
        reason: String,
    },
    /// The entry refused the request and changed nothing.
    #[error("refused: {reason}")]
    Refused {
        /// The entry's message.
        reason: String,
    },
    /// The entry can't be reached, or its response can't be parsed.
    #[error("{reason}\nhint: set --entry to the operators' address of an entry that runs")]
    Unreachable {
        /// The failure.
        reason: String,
    },
    /// No process returned its metrics.
    #[error(
        "no process returned its metrics: {reason}\nhint: name metrics addresses, such as 10.0.0.1:9102"
    )]
    NoMetrics {
        /// The processes and what failed at each of them.
        reason: String,
    },
    /// It is unknown whether the request took effect.
    #[error("unknown outcome: {reason}\nhint: look for the patch id with filbertcleat timeline")]
    Unknown {
        /// The entry's message.
        reason: String,
    },
}

impl ClientError {
    /// Creates an error for an invalid command line or file.
    pub fn usage(reason: impl Display) -> Self {
        Self::Usage { reason: reason.to_string() }
    }

    /// Creates an error for an entry that can't be reached.
    pub fn unreachable(reason: impl Display) -> Self {
        Self::Unreachable { reason: reason.to_string() }
    }

    /// Returns the client's exit code for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Refused { .. } => 1,
            Self::Usage { .. } => 2,
            Self::NoMetrics { .. } | Self::Unreachable { .. } => 3,
            Self::Unknown { .. } => 4,
        }
    }
}
