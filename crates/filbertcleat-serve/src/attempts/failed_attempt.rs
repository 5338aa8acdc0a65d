//! A failed attempt.

/// An attempt that brought no response to forward to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FailedAttempt {
    /// Whether the backend server may have run the request.
    pub may_have_run: bool,
    /// Whether the request reached the backend server.
    pub has_arrived: bool,
}
