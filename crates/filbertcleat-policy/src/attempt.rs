//! What an agent tells an entry about one attempt.

mod refuse_reason;

use filbertcleat_base::AttemptId;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::Fault;

pub use self::refuse_reason::RefuseReason;

/// An event of one attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AttemptEvent {
    /// The attempt that the event belongs to.
    pub attempt: AttemptId,
    /// The event's place in the attempt, from 0 without gaps.
    pub sequence: u64,
    /// What happened.
    pub kind: AttemptEventKind,
}

/// What happened in an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptEventKind {
    /// The call was handed to the backend server.
    Started {
        /// How long it waited for its adapter's load.
        load_stall_ms: u64,
        /// How long it waited in all.
        queue_wait_ms: u64,
    },
    /// The next piece of the answer.
    Chunk {
        /// Its text.
        text: String,
    },
    /// The answer is whole.
    Done {
        /// Why the engine stopped.
        finish_reason: String,
        /// The number of tokens in the whole answer.
        tokens: u64,
    },
    /// A plain service's whole answer.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: String,
        /// The body.
        body: Vec<u8>,
    },
    /// The call was never handed to the backend server and is forgotten.
    Refused {
        /// Why.
        reason: RefuseReason,
        /// When to come back.
        retry_after_ms: u64,
        /// The agent's configuration version.
        config_version: ConfigVersion,
    },
    /// The call may have been run, in part or whole.
    Broken {
        /// What went wrong.
        fault: Fault,
        /// Whether the same backend server still holds the stream.
        resumable: bool,
    },
}

impl AttemptEventKind {
    /// Returns whether the attempt is over with this event.
    pub fn is_terminal(&self) -> bool {
        match self {
            Self::Started { .. } | Self::Chunk { .. } => false,
            Self::Done { .. }
            | Self::Answer { .. }
            | Self::Refused { .. }
            | Self::Broken { .. } => true,
        }
    }
}
