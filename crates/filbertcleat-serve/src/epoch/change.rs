//! What the epoch of a response shows.

/// What the epoch of a response shows about the catalogue and the response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EpochChange {
    /// The response is of the current epoch.
    Unchanged,
    /// The catalogue was restored from a copy. All cursors are invalid, also that of this response
    /// if it answers a call with a cursor of an earlier epoch.
    Restored,
    /// The response is of an earlier epoch than others before it, and must be ignored.
    Outdated,
}
