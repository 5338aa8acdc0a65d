//! Why the entry closes a caller's connection.

/// Why the entry closes a caller's connection on its own account.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CloseReason {
    /// The connection was idle for longer than the idle timeout.
    Idle,
    /// The head of a request did not arrive in time.
    HeadOverdue,
    /// The caller has stopped reading its response.
    ReaderStalled,
    /// The entry is shutting down.
    Leaving,
    /// The connection makes room for a new one.
    Replaced,
    /// There is no room for the connection.
    Refused,
}

impl CloseReason {
    /// Returns the reason for log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Idle => "idle",
            Self::HeadOverdue => "head-overdue",
            Self::ReaderStalled => "reader-stalled",
            Self::Leaving => "leaving",
            Self::Replaced => "replaced",
            Self::Refused => "refused",
        }
    }
}
