//! What an agent tells an entry about one attempt.

use filbertcleat_base::AttemptId;
use filbertcleat_base::ConfigVersion;
use filbertcleat_base::Fault;

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
    pub fn is_last(&self) -> bool {
        match self {
            Self::Started { .. } | Self::Chunk { .. } => false,
            Self::Done { .. }
            | Self::Answer { .. }
            | Self::Refused { .. }
            | Self::Broken { .. } => true,
        }
    }
}

/// Why an agent refuses an attempt as not run.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum RefuseReason {
    /// The agent is stopping.
    Leaving,
    /// Its queue is full.
    Full,
    /// The adapter can't be loaded.
    LoadFailed,
    /// The agent can't reach the configuration version that the attempt names.
    Behind,
    /// The agent holds no lease on its backend server, so it may give no orders.
    NoLease,
    /// The backend server refused the connection.
    BackendDown,
    /// The service runs elsewhere.
    WrongService,
}

impl RefuseReason {
    /// All reasons.
    pub const ALL: [Self; 7] = [
        Self::Leaving,
        Self::Full,
        Self::LoadFailed,
        Self::Behind,
        Self::NoLease,
        Self::BackendDown,
        Self::WrongService,
    ];

    /// Returns the word used in messages.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Full => "full",
            Self::LoadFailed => "load-failed",
            Self::Behind => "behind",
            Self::NoLease => "no-lease",
            Self::BackendDown => "backend-down",
            Self::WrongService => "wrong-service",
        }
    }

    /// Returns the reason with the given word.
    pub fn from_word(word: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.as_str() == word)
    }
}
