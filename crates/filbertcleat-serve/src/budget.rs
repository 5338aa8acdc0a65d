//! The retry budget of a service, shared by all entries.

use std::collections::VecDeque;

use filbertcleat_base::MonoTime;

/// Limits the retries of an entry to its share of the budget that the deployment grants a service.
///
/// Within a sliding window the deployment grants, over all entries, `ratio` times the number of
/// requests plus `slack` retries. Each entry may spend `ratio` times its own requests and the slack
/// divided by the number of live entries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window_ms: u64,
    requests: VecDeque<MonoTime>,
    retries: VecDeque<MonoTime>,
}

impl RetryBudget {
    /// The share of the grant that entries spend. The rest covers short periods in which entries
    /// count fewer live entries than there are.
    const SPENT_SHARE: f64 = 0.6;
    /// The number of live entries that is assumed until an agent reports it.
    pub(crate) const DEFAULT_ENTRIES: u32 = 16;

    /// Creates a budget from the deployment's grant.
    pub fn new(ratio: f64, slack: f64, window_ms: u64) -> Self {
        Self { ratio, slack, window_ms, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Changes the deployment's grant. Retries within the window remain counted.
    pub fn set_grant(&mut self, ratio: f64, slack: f64, window_ms: u64) {
        (self.ratio, self.slack, self.window_ms) = (ratio, slack, window_ms);
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: MonoTime) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one retry from the budget. Returns whether this entry's share allows it.
    pub fn try_take(&mut self, now: MonoTime, live_entries: Option<u32>) -> bool {
        self.expire(now);
        let live_entries = f64::from(live_entries.unwrap_or(Self::DEFAULT_ENTRIES).max(1));
        let grant = self.ratio * self.requests.len() as f64 + self.slack / live_entries;
        if (self.retries.len() as f64) + 1.0 > grant * Self::SPENT_SHARE {
            return false;
        }
        self.retries.push_back(now);
        true
    }

    /// Discards requests and retries that have left the window.
    fn expire(&mut self, now: MonoTime) {
        let window_ms = self.window_ms;
        for times in [&mut self.requests, &mut self.retries] {
            while times.front().is_some_and(|time| now.ms_since(*time) > window_ms) {
                times.pop_front();
            }
        }
    }
}
