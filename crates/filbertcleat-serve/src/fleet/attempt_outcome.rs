//! How an attempt at a backend server ended.

/// How an attempt at a backend server ended.
///
/// Logs contain the names of the variants.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The backend server answered in full.
    Answered,
    /// The backend server answered with a server error.
    Failed,
    /// The backend server had no capacity and did not run the request.
    Full,
    /// The backend server lacks the adapter or its version and did not run the request.
    Lacking,
    /// Another backend server has the address.
    Misdirected,
    /// No connection could be established.
    Unreachable,
    /// The connection broke, or the response violated the protocol.
    Broken,
    /// The response timed out.
    Silent,
    /// The backend server asked for a pause. This is no sign of a fault.
    Paused,
    /// The caller disconnected, or the entry abandoned the request for reasons of its own.
    Left,
}
