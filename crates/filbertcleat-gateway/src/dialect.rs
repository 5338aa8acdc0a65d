//! Headers of requests and answers, as a deployment names them.

use filbertcleat_base::ModelName;
use filbertcleat_serve::AdapterKey;
use filbertcleat_serve::ServerId;
use http::HeaderMap;

/// How a deployment says in headers what concerns filbertcleat.
pub trait Dialect: 'static {
    /// Reads a caller's request.
    fn request(&self, headers: &HeaderMap) -> RequestFacts;

    /// Writes what a backend server has to know, and removes what only filbertcleat may set.
    fn send(&self, headers: &mut HeaderMap, facts: &SendFacts);

    /// Reads a backend server's answer.
    fn answer(&self, headers: &HeaderMap) -> AnswerFacts;

    /// Returns the name of the header with which a backend server seals its answers.
    fn seal_name(&self) -> &'static str;
}

/// What a caller's headers say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestFacts {
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
    pub answer_tokens: u64,
    /// The event after which the caller resumes a stream.
    pub last_event: Option<u64>,
}

/// What a backend server has to know of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct SendFacts {
    /// The time that is left.
    pub deadline_ms: u64,
    /// The incarnation that the request is for.
    pub server: ServerId,
    /// The urgency among an engine's requests; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The event after which a stream goes on.
    pub resume_after: Option<u64>,
}

/// What a backend server's headers say.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AnswerFacts {
    /// The id of the attempt that it answers.
    pub id: Option<String>,
    /// Whether it bears a backend server's seal.
    pub is_sealed: bool,
    /// Whether the backend server says that it did not run the request.
    pub is_not_run: bool,
    /// The incarnation that answers, if it says so.
    pub server: Option<ServerId>,
    /// Whether the body is encoded, which no backend server's is.
    pub is_encoded: bool,
}
