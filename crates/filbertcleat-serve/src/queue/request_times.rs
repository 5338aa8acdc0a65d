//! The times between which a request waits.

use filbertcleat_base::MonoTime;

/// When a caller sent a request, and until when it waits for the response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestTimes {
    /// When the request arrived, before any earlier attempt.
    pub arrived_at: MonoTime,
    /// The earlier of the caller's deadline and the route's timeout.
    pub deadline: MonoTime,
}
