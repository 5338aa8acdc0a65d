//! Events and answers for callers.

use filbertcleat_policy::Refusal;

/// The stored answer to an earlier request with the same idempotency key.
#[derive(Clone, Debug)]
pub(crate) struct StoredAnswer {
    pub status: u16,
    pub content_type: String,
    pub body: String,
}

/// An event that the event loop sends to a caller's connection.
#[derive(Debug)]
pub(crate) enum CallerEvent {
    /// The request was resolved to `model` (`name@version`, or empty for a plain service).
    Accepted { model: String },
    /// A piece of a completion.
    Text(String),
    /// The end of a completion.
    Finished { finish_reason: String, tokens: u64 },
    /// The whole answer of a plain service.
    Answer { status: u16, content_type: String, body: Vec<u8> },
    /// The request was refused, or failed before the end of its answer.
    Refused(Refusal),
    /// The requested adapter or service does not exist.
    NotFound(String),
}
