//! What a backend server has to know of a request.

use filbertcleat_serve::ServerId;

/// What a backend server has to know of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptMetadata {
    /// The time that is left.
    pub deadline_ms: u64,
    /// The incarnation that the request is for.
    pub server: ServerId,
    /// The urgency among an engine's requests; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The event after which a stream goes on.
    pub resume_after: Option<u64>,
}
