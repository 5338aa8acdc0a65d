//! The step that may follow a failed attempt.

/// The step that may follow a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextAttempt {
    /// Send the request again. No retry budget is needed, as the request reached no backend server.
    Unbudgeted,
    /// Send the request again if the retry budget allows it.
    Retry,
    /// Do not send the request again.
    Stop,
}
