//! The times of a call that waits for changes.

use std::time::Duration;

/// The times of a call that waits for changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatchTimes {
    /// How long the catalogue waits for a change before it responds without one.
    pub wait: Duration,
    /// The call has failed once nothing has arrived for this time, before the response or within it.
    pub silence: Duration,
}
