//! Whether requests may be retried.

/// Whether the requests of a route may be retried after they may have run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// A request may run several times.
    Idempotent,
    /// A request must run at most once.
    AtMostOnce,
    /// The answer is a stream of events, which another backend server may continue if it is
    /// resumable.
    Stream {
        /// Whether a stream can be resumed after an event id.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Returns whether a request may be sent again after it may have run.
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream { resumable } => resumable,
        }
    }

    /// Returns whether the answer is a stream that can be resumed after an event id.
    pub fn is_resumable(self) -> bool {
        self == Self::Stream { resumable: true }
    }
}
