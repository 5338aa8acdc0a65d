//! What may be repeated of a request.

/// What may be repeated of a route's requests.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryPolicy {
    /// A request may run any number of times.
    Idempotent,
    /// A request may run once at most.
    AtMostOnce,
    /// A stream of events, which may go on at another backend server if it is resumable.
    Stream {
        /// Whether a stream may go on after an event id.
        resumable: bool,
    },
}

impl RetryPolicy {
    /// Returns whether a request may run again after it may have run.
    pub fn is_retryable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream { resumable } => resumable,
        }
    }
}
