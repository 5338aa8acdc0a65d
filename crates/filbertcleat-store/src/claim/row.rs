//! The rows of claimed keys.

use filbertcleat_base::NodeName;
use serde::Deserialize;
use serde::Serialize;

/// The row of a claimed key.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct ClaimRow {
    /// Tells the call that owns the key.
    pub token: String,
    /// The entry that made it.
    pub node: NodeName,
    /// What is known of it.
    pub state: ClaimState,
}

impl ClaimRow {
    /// Writes the row as JSON.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a claim has only string keys")
    }
}

/// What is known of a claimed call.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// It may be running.
    Claimed,
    /// It was answered.
    Done {
        /// The HTTP status of the answer.
        status: u16,
        /// The content type of the answer.
        content_type: String,
        /// The body of the answer.
        body: String,
    },
    /// It may have been run, and no answer came.
    Unknown,
}
