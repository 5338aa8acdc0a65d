//! What callers are told.

use filbertcleat_policy::Refusal;

/// The kept answer of an earlier call with the same key.
#[derive(Clone, Debug)]
pub(crate) struct Kept {
    pub status: u16,
    pub content_type: String,
    pub body: String,
}

/// What the loop tells a caller's connection.
#[derive(Debug)]
pub(crate) enum CallerEvent {
    /// The request was accepted.
    Accepted { model: String },
    /// A piece of the answer.
    Text(String),
    /// The end of a whole answer.
    Finished { finish_reason: String, tokens: u64 },
    /// A plain service's answer.
    Answer { status: u16, content_type: String, body: Vec<u8> },
    /// There is no whole answer.
    Refused(Refusal),
    /// What the request names does not exist.
    NotFound(String),
}
