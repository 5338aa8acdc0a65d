//! Decides whether a request may be sent again after a failure.

mod failed_attempt;
mod next_attempt;

pub use self::failed_attempt::FailedAttempt;
pub use self::next_attempt::NextAttempt;
use crate::RetryPolicy;

/// The attempts made so far to send a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Attempts {
    /// The retry policy of the request's route.
    pub retry_policy: RetryPolicy,
    /// The number of attempts that reached a backend server.
    pub attempts_made: u32,
    /// The largest number of attempts that the route allows.
    pub attempts_max: u32,
    /// The number of backend servers tried, including those that could not be reached.
    pub servers_tried: usize,
    /// Whether the caller's deadline is still in the future.
    pub is_time_left: bool,
}

impl Attempts {
    /// The number of backend servers tried for a request before unreachable servers lead to its
    /// refusal. It suffices to get past the servers of a failed failure domain within the deadline
    /// of most callers.
    const SERVERS_TRIED_MAX: usize = 4;

    /// Returns what may follow a failed attempt.
    pub fn next_after(self, failed: FailedAttempt) -> NextAttempt {
        let is_safe = !failed.may_have_run || self.retry_policy.is_retryable();
        if !is_safe || !self.is_time_left {
            return NextAttempt::Stop;
        }
        if !failed.has_arrived {
            return if self.servers_tried < Self::SERVERS_TRIED_MAX {
                NextAttempt::Unbudgeted
            } else {
                NextAttempt::Stop
            };
        }
        if self.attempts_made < self.attempts_max { NextAttempt::Retry } else { NextAttempt::Stop }
    }
}
