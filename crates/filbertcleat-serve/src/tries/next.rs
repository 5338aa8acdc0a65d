//! What may follow a failure.

/// What may follow a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextAttempt {
    /// Another send, which repeats nothing.
    Unbudgeted,
    /// Another send, if the budget of repeats has one.
    Retry,
    /// Nothing.
    Stop,
}
