//! What an entry has to do about the row that keeps marks.

use filbertcleat_base::MonoTime;

use super::KeptRow;

/// What an entry has to do about the row that keeps marks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum KeepStep {
    /// Read the row and merge its marks.
    Read,
    /// Replace the row of this version by one with these marks.
    Write(KeptRow),
    /// Wait for the next change of the row, as nothing else tells the entry.
    Watch,
    /// Wait until a time, or until the evidence or what the entry hears has changed.
    Wait {
        /// The time; `None` for no limit.
        until: Option<MonoTime>,
    },
}
