//! Metadata of an attempt for the backend server.

use filbertcleat_serve::ServerId;

use super::AttemptCaller;

/// Metadata of an attempt, which is sent to the backend server in headers.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptMetadata {
    /// The time until the deadline of the request, in ms.
    pub deadline_ms: u64,
    /// The incarnation of the backend server that the attempt is addressed to.
    pub server: ServerId,
    /// For whom the attempt is made.
    pub caller: AttemptCaller,
    /// The scheduling priority at the engine; 0 is the most urgent.
    pub priority: Option<u8>,
    /// The id of the event after which a stream is resumed.
    pub resume_after: Option<u64>,
}
