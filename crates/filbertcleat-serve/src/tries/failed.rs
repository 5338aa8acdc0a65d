//! A send that failed.

/// A send that brought no answer worth passing on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FailedAttempt {
    /// Whether the backend server may have run the request.
    pub may_have_run: bool,
    /// Whether the request reached the backend server at all.
    pub has_arrived: bool,
}
