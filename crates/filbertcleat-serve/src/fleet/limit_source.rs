//! Who read the limit of a backend server.

/// Who read the limit of a backend server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitSource {
    /// This entry, in an answer to one of its requests.
    Answer,
    /// The agent beside the server, in an answer to one of its calls.
    Agent,
}
