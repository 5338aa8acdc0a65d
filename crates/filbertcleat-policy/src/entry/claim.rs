//! The outcome of claiming a non-idempotent request.

/// What the table service says of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// This call owns the key and may be run.
    Acquired,
    /// An earlier call with the key was run, and its answer is kept.
    Completed,
    /// An earlier call with the key is still running.
    Running,
    /// Nobody knows whether an earlier call with the key was run.
    Unknown,
    /// The table service can't be reached, and nothing was sent.
    Unavailable,
}
