//! Whether a request may be sent once more after a failure.

mod failed;
mod next;

pub use self::failed::Failed;
pub use self::next::NextTry;
use crate::RunRule;

/// What was tried for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Tries {
    /// What may be repeated.
    pub rule: RunRule,
    /// The sends that reached a backend server.
    pub sends: u32,
    /// The most sends that the route allows.
    pub sends_max: u32,
    /// The backend servers that were tried, with those that were not reached.
    pub servers: usize,
    /// Whether the caller still waits.
    pub is_time_left: bool,
}

impl Tries {
    /// Backend servers that can't be reached are passed over so often before the request is refused:
    /// enough to get past those of one failure domain, within the time of most callers.
    const SERVERS_MAX: usize = 4;

    /// Decides what may follow a failure.
    pub fn after(self, failed: Failed) -> NextTry {
        let is_harmless = !failed.may_have_run || self.rule.is_retryable();
        if !is_harmless || !self.is_time_left {
            return NextTry::None;
        }
        if !failed.has_arrived {
            return if self.servers < Self::SERVERS_MAX { NextTry::Free } else { NextTry::None };
        }
        if self.sends < self.sends_max { NextTry::Repeat } else { NextTry::None }
    }
}
