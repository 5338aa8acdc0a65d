//! Whether a request may be sent once more after a failure.

mod failed;
mod next;

pub use self::failed::FailedAttempt;
pub use self::next::NextAttempt;
use crate::RetryPolicy;

/// What was tried for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempts {
    /// What may be repeated.
    pub retry_policy: RetryPolicy,
    /// The sends that reached a backend server.
    pub sends: u32,
    /// The most sends that the route allows.
    pub sends_max: u32,
    /// The backend servers that were tried, with those that were not reached.
    pub servers_tried: usize,
    /// Whether the caller still waits.
    pub is_time_left: bool,
}

impl Attempts {
    /// Backend servers that can't be reached are passed over so often before the request is refused:
    /// enough to get past those of one failure domain, within the time of most callers.
    const SERVERS_MAX: usize = 4;

    /// Decides what may follow a failure.
    pub fn next_after(self, failed: FailedAttempt) -> NextAttempt {
        let is_harmless = !failed.may_have_run || self.retry_policy.is_retryable();
        if !is_harmless || !self.is_time_left {
            return NextAttempt::Stop;
        }
        if !failed.has_arrived {
            return if self.servers_tried < Self::SERVERS_MAX {
                NextAttempt::Unbudgeted
            } else {
                NextAttempt::Stop
            };
        }
        if self.sends < self.sends_max { NextAttempt::Retry } else { NextAttempt::Stop }
    }
}
