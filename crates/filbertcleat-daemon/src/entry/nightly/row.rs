//! The rows and objects of accepted work.

use filbertcleat_base::Class;
use filbertcleat_base::NodeName;
use serde::Deserialize;
use serde::Serialize;

/// The row of one accepted request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct WorkRow {
    /// Whether it may be run more than once.
    pub idempotent: bool,
    /// How often it was taken up, which fences off a former holder.
    pub fence: u64,
    /// Where it stands.
    pub state: WorkState,
}

impl WorkRow {
    /// Writes the row as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a row has only string keys")
    }
}

/// Where an accepted request stands.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub(super) enum WorkState {
    /// Nobody runs it.
    Waiting,
    /// A start of an entry runs it.
    Taken {
        /// The start of the entry.
        holder: NodeName,
    },
    /// It was answered.
    Done {
        /// The adapter and version that answered.
        model: String,
        /// The text.
        text: String,
        /// Why the engine stopped.
        finish_reason: String,
        /// The number of tokens.
        tokens: u64,
    },
    /// It may have been run, and is not run again.
    Unknown {
        /// What went wrong.
        reason: String,
    },
    /// It can't be run.
    Failed {
        /// Why.
        reason: String,
    },
}

impl WorkState {
    /// Returns the word used in messages.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::Waiting => "waiting",
            Self::Taken { .. } => "taken",
            Self::Done { .. } => "done",
            Self::Unknown { .. } => "unknown",
            Self::Failed { .. } => "failed",
        }
    }
}

/// The object of one accepted request: what the caller sent.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct WorkOrder {
    pub model: String,
    pub chat: bool,
    pub body: String,
    pub class: Class,
    pub non_idempotent: bool,
    pub deadline_ms: Option<u64>,
}

/// What the keys of accepted work's rows begin with.
pub(super) const PREFIX: &str = "work/";

/// Returns the key of a request's row, and of its object.
pub(super) fn key(id: &str) -> String {
    format!("{PREFIX}{id}")
}
