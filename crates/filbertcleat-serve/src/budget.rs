//! The budget of repeats that all entries share.

use std::collections::VecDeque;

use filbertcleat_base::MonoTime;

/// Allows an entry its share of the repeats that a deployment grants a service.
///
/// The deployment grants `ratio` x the requests of a window + `slack` over all entries. Each entry
/// spends the ratio on its own requests and the slack divided by the number of live entries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window_ms: u64,
    requests: VecDeque<MonoTime>,
    repeats: VecDeque<MonoTime>,
}

impl RetryBudget {
    /// The part of the grant that is spent: entries may miscount each other for a short time.
    const SPENT_SHARE: f64 = 0.6;
    /// The entries assumed until an agent has told their number.
    const ENTRIES_UNKNOWN: u32 = 16;

    /// Creates a budget from the deployment's grant.
    pub fn new(ratio: f64, slack: f64, window_ms: u64) -> Self {
        Self { ratio, slack, window_ms, requests: VecDeque::new(), repeats: VecDeque::new() }
    }

    /// Changes the deployment's grant; what was spent stays spent.
    pub fn set_grant(&mut self, ratio: f64, slack: f64, window_ms: u64) {
        (self.ratio, self.slack, self.window_ms) = (ratio, slack, window_ms);
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: MonoTime) {
        self.forget(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat if this entry's share of the window allows it.
    pub fn try_take(&mut self, now: MonoTime, entries: Option<u32>) -> bool {
        self.forget(now);
        let entries = f64::from(entries.unwrap_or(Self::ENTRIES_UNKNOWN).max(1));
        let grant = self.ratio * self.requests.len() as f64 + self.slack / entries;
        if (self.repeats.len() as f64) + 1.0 > grant * Self::SPENT_SHARE {
            return false;
        }
        self.repeats.push_back(now);
        true
    }

    fn forget(&mut self, now: MonoTime) {
        let window_ms = self.window_ms;
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|time| now.ms_since(*time) > window_ms) {
                times.pop_front();
            }
        }
    }
}
