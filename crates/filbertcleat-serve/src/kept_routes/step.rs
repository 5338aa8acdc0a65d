//! What an entry has to do about the row that keeps the targets of routes.

use filbertcleat_base::MonoTime;

use super::RouteRow;

/// What an entry has to do about the row that keeps the targets of routes.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RouteWriteStep {
    /// Write the row, if it still has this version.
    Write(RouteRow),
    /// Wait until a time, or until the configuration or the row has changed.
    Wait {
        /// The time; `None` for no limit.
        until: Option<MonoTime>,
    },
}
