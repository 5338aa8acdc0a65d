//! What an answer of a backend server says about its limit on requests.

use super::RequestLimit;

/// What an answer of a backend server says about its limit on requests.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum NamedLimit {
    /// There was no answer of the server that could tell.
    #[default]
    Untold,
    /// The server has no limit.
    Absent,
    /// The server names a limit.
    Named(RequestLimit),
    /// The server names a limit that cannot be read. The one that is known stays in force.
    Unreadable,
}
