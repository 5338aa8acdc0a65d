//! Whether a request may be sent to a backend server.

/// Whether a request may be sent to a backend server, as far as crashes tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashVerdict {
    /// The request holds nothing that explains crashes.
    Allowed,
    /// The request holds something that does, and shows whether servers still end under it.
    Trial,
    /// The request is turned away.
    TurnedAway {
        /// The time until the next trial, in milliseconds.
        wait_ms: u64,
    },
}
