//! What a caller's headers say.

use filbertcleat_base::ModelName;
use filbertcleat_serve::AdapterKey;

/// What a caller's headers say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// The id of the caller's attempt.
    pub id: Option<String>,
    /// How long the caller will wait.
    pub deadline_ms: Option<u64>,
    /// The base model asked for.
    pub model: Option<ModelName>,
    /// The adapter asked for.
    pub adapter: Option<AdapterKey>,
    /// The length of the prompt.
    pub prompt_tokens: u64,
    /// The most tokens of the answer.
    pub max_tokens: u64,
    /// The event after which the caller resumes a stream.
    pub last_event_id: Option<u64>,
}
