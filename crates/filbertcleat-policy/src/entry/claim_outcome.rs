//! The outcome of claiming an idempotency key.

/// The outcome of claiming the idempotency key of a request in the table service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// This request holds the claim and may be run.
    Acquired,
    /// An earlier request with the key has been answered, and its answer is stored.
    Completed,
    /// An earlier request with the key is still running.
    Running,
    /// Whether an earlier request with the key was run is unknown.
    Unknown,
    /// The table service can't be reached; the request was not sent.
    Unavailable,
}
