//! Events that an agent sends to an entry about an attempt.

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
    /// The number of the event in the attempt, counted from 0 without gaps.
    pub sequence: u64,
    /// The content of the event.
    pub kind: AttemptEventKind,
}

/// The content of an attempt's event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AttemptEventKind {
    /// The call was handed to the backend server.
    Started {
        /// How long the attempt waited for the load of its adapter.
        load_stall_ms: u64,
        /// How long the attempt waited in total at the agent.
        queue_wait_ms: u64,
    },
    /// The next chunk of the answer.
    Chunk {
        /// The text of the chunk.
        text: String,
    },
    /// The streamed answer is complete.
    Done {
        /// Why the engine stopped generating.
        finish_reason: String,
        /// The number of tokens in the complete answer.
        tokens: u64,
    },
    /// The complete answer of a plain service.
    Answer {
        /// The HTTP status.
        status: u16,
        /// The content type.
        content_type: String,
        /// The body.
        body: Vec<u8>,
    },
    /// The attempt was refused; its call was never handed to the backend server.
    Refused {
        /// The reason of the refusal.
        reason: RefuseReason,
        /// The time after which a retry may succeed.
        retry_after_ms: u64,
        /// The agent's configuration version.
        config_version: ConfigVersion,
    },
    /// The call ended without a complete answer; it may have been run in part or in full.
    Broken {
        /// The fault that ended the call.
        fault: Fault,
        /// Whether the backend server still holds the stream, so that it can be resumed there.
        resumable: bool,
    },
}

impl AttemptEventKind {
    /// Returns whether this is the last event of its attempt.
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
