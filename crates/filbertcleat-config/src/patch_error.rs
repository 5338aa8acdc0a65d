//! Errors of configuration patches.

use std::fmt::Display;

use filbertcleat_base::ConfigVersion;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// The reason for which a patch was rejected or its outcome is unknown.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "refusal")]
pub enum PatchError {
    /// The patch is based on a version other than the current one.
    #[error(
        "patch is based on version {base}, but version {head} is in force: read it and try again"
    )]
    Stale {
        /// The version that the patch is based on.
        base: ConfigVersion,
        /// The current version.
        head: ConfigVersion,
    },
    /// A field of the patch is invalid.
    #[error("{path}: {reason}")]
    Invalid {
        /// The field's path in the patch.
        path: String,
        /// Why the field is invalid.
        reason: String,
    },
    /// The table service can't be reached, and the configuration is unchanged.
    #[error("table service is unavailable, nothing was changed: {reason}")]
    Unavailable {
        /// Why the table service is unavailable.
        reason: String,
    },
    /// The answer to the write was lost, and reading the row back failed.
    #[error("outcome of patch {id} is unknown: look for it in the configuration's history")]
    #[serde(rename = "unknown")]
    UnknownOutcome {
        /// The patch's id.
        id: String,
    },
}

impl PatchError {
    /// Creates the error for an invalid field.
    pub fn invalid(path: impl Display, reason: impl Display) -> Self {
        Self::Invalid { path: path.to_string(), reason: reason.to_string() }
    }
}
