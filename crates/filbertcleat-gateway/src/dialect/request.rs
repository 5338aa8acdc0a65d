//! Metadata from the headers of a caller's request.

use filbertcleat_base::ModelName;
use filbertcleat_serve::AdapterKey;
use filbertcleat_serve::KeyHash;
use filbertcleat_serve::PromptPart;

/// Metadata from the headers of a caller's request.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestMetadata {
    /// The id that the caller gave the request; responses have to carry it.
    pub id: Option<String>,
    /// How long the caller waits for the response, in ms.
    pub deadline_ms: Option<u64>,
    /// The API key.
    pub api_key: ApiKey,
    /// The requested base model.
    pub model: Option<ModelName>,
    /// The requested adapter.
    pub adapter: Option<AdapterKey>,
    /// The parts of the prompt in order, without the last, which is the request's own.
    pub prompt_parts: Vec<PromptPart>,
    /// The lengths of these parts in tokens; 0 if unknown.
    pub part_tokens: Vec<u64>,
    /// The length of the prompt in tokens; 0 if unknown.
    pub prompt_tokens: u64,
    /// The maximum number of tokens to generate; 0 if unknown.
    pub max_tokens: u64,
    /// The id of the event after which the caller resumes a stream.
    pub last_event_id: Option<u64>,
    /// The id of the caller's request that brought the first event of the resumed stream.
    pub resumed_request: Option<String>,
}

/// The API key of a caller's request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ApiKey {
    /// The request carries no key.
    #[default]
    Missing,
    /// The request carries one key, which has this hash.
    Given(KeyHash),
    /// The request carries several keys.
    Several,
}
