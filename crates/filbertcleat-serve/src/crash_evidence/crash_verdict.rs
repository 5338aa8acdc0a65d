//! Whether a prompt may be sent to a backend server.

/// Whether a prompt may be sent to a backend server, as far as crashes tell.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PromptVerdict {
    /// The prompt holds no part that explains crashes.
    Allowed,
    /// The prompt holds such a part, and shows whether servers still end under it.
    Trial,
    /// The prompt is turned away.
    TurnedAway {
        /// The time until the next trial, in milliseconds.
        wait_ms: u64,
    },
}
