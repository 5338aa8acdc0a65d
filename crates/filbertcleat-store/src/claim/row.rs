//! Rows of claimed idempotency keys.

use filbertcleat_base::NodeName;
use serde::Deserialize;
use serde::Serialize;

/// The row of a claimed idempotency key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ClaimRow {
    /// The token of the call that owns the key.
    pub token: String,
    /// The entry that claimed the key.
    pub node: NodeName,
    /// The state of the claimed call.
    pub state: ClaimState,
}

impl ClaimRow {
    /// Serializes the row as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("all map keys of a claim are strings")
    }
}

/// The state of a claimed call.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The call may be running.
    Claimed,
    /// The call was answered.
    Done {
        /// The HTTP status of the answer.
        status: u16,
        /// The content type of the answer.
        content_type: String,
        /// The body of the answer.
        body: String,
    },
    /// The call may have been executed, but its answer was lost.
    Unknown,
}
