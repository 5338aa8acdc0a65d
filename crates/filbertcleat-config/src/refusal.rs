//! Why a patch is refused.

use std::fmt::Display;

use filbertcleat_base::ConfigVersion;
use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

/// The reason for refusing a patch; the configuration is unchanged.
#[derive(Clone, Debug, Deserialize, Eq, Error, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "refusal")]
pub enum PatchError {
    /// The configuration has moved on.
    #[error(
        "patch is against version {base}, but version {head} is in force: read it and try again"
    )]
    Stale {
        /// The version that the patch names.
        base: ConfigVersion,
        /// The version in force.
        head: ConfigVersion,
    },
    /// A field is wrong.
    #[error("{path}: {reason}")]
    Invalid {
        /// The field's path in the patch.
        path: String,
        /// What is wrong with it.
        reason: String,
    },
    /// The table service can't be reached and nothing was written.
    #[error("table service is unavailable, nothing was changed: {reason}")]
    Unavailable {
        /// What the table service said.
        reason: String,
    },
    /// The write's answer was lost and can't be read back yet.
    #[error("outcome of patch {id} is unknown: look for it in the configuration's history")]
    #[serde(rename = "unknown")]
    UnknownOutcome {
        /// The patch's id.
        id: String,
    },
}

impl PatchError {
    /// Creates a refusal for a wrong field.
    pub fn invalid(path: impl Display, reason: impl Display) -> Self {
        Self::Invalid { path: path.to_string(), reason: reason.to_string() }
    }
}
