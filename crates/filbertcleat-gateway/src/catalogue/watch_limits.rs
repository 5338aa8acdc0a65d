//! The limits of a call that waits for changes.

use std::time::Duration;

/// The limits of a call that waits for changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatchLimits {
    /// How long the catalogue waits for a change before it responds without one.
    pub wait: Duration,
    /// The call has failed once nothing has arrived for this time, before the response or within it.
    pub silence: Duration,
    /// The largest response that is read, if there is a limit.
    pub size_max_bytes: Option<usize>,
}
