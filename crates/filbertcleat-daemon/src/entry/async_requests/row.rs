//! The table rows and stored objects of asynchronous requests.

use filbertcleat_base::Class;
use filbertcleat_base::NodeName;
use serde::Deserialize;
use serde::Serialize;

/// The row of one asynchronous request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(super) struct AsyncRequestRow {
    /// Whether the request may be run more than once.
    pub idempotent: bool,
    /// The number of claims of the request so far, which fences off a former holder.
    pub fence: u64,
    /// The state of the request.
    pub state: AsyncRequestState,
}

impl AsyncRequestRow {
    /// Returns the row as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a row has only string keys")
    }
}

/// The state of an asynchronous request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub(super) enum AsyncRequestState {
    /// No entry runs the request.
    Waiting,
    /// An entry runs the request.
    Taken {
        /// The id of the entry's incarnation (`name#incarnation`).
        holder: NodeName,
    },
    /// The request was answered.
    Done {
        /// The adapter and version that answered.
        model: String,
        /// The text of the answer.
        text: String,
        /// The engine's reason for the end of the answer.
        finish_reason: String,
        /// The number of tokens of the answer.
        tokens: u64,
    },
    /// The request may have been run, and is not run again as it is not idempotent.
    Unknown {
        /// The failure of the last run.
        reason: String,
    },
    /// The request can't be run.
    Failed {
        /// The reason.
        reason: String,
    },
}

impl AsyncRequestState {
    /// Returns the name of the state in responses.
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

/// The stored object of one asynchronous request, with the caller's body and options.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(super) struct AsyncRequest {
    pub model: String,
    pub chat: bool,
    pub body: String,
    pub class: Class,
    pub non_idempotent: bool,
    pub deadline_ms: Option<u64>,
}

/// The prefix of the keys of asynchronous requests' rows.
pub(super) const PREFIX: &str = "work/";

/// Returns the key of an asynchronous request's row and object.
pub(super) fn key(id: &str) -> String {
    format!("{PREFIX}{id}")
}
