//! What an entry has to do about its row of origins.

use filbertcleat_base::MonoTime;

use super::OriginRow;

/// What an entry has to do about its row of origins.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OriginWriteStep {
    /// Read the rows first, since the node's process before may have written one.
    Read,
    /// Write the row, if it still has this version.
    Write(OriginRow),
    /// Wait until a time, or until a stream or the list of backend servers changes something.
    Wait {
        /// The time; `None` for no limit.
        until: Option<MonoTime>,
    },
}
