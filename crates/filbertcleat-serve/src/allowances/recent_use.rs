//! What a workspace has recently used at an entry.

use filbertcleat_base::MonoTime;

/// What a workspace has recently used at an entry, with exponentially decaying weights.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentUse {
    cost: f64,
    arrivals: f64,
    at: MonoTime,
}

impl RecentUse {
    /// The time in which the weight of a request falls to a third: as long as tokens are held.
    const DECAY_MS: f64 = 200.0;
    /// The time for which tokens are asked for in advance.
    const AHEAD_MS: f64 = 100.0;
    /// The number of recent arrivals from which others are expected. With fewer, most tokens asked
    /// for in advance would be returned.
    const ARRIVALS_MIN: f64 = 2.5;
    /// Requests that come within this time of each other are one arrival: a clump says little about
    /// the time after it, and tokens for it would be missing at other entries.
    const CLUMP_MS: u64 = 5;

    /// Counts a request.
    pub fn add(&mut self, now: MonoTime, cost: u64) {
        let since_ms = now.ms_since(self.at);
        let factor = (-(since_ms as f64) / Self::DECAY_MS).exp();
        self.cost = self.cost * factor + cost as f64;
        let is_clump = self.arrivals > 0.0 && since_ms < Self::CLUMP_MS;
        self.arrivals = self.arrivals * factor + if is_clump { 0.0 } else { 1.0 };
        self.at = now;
    }

    /// Returns the expected cost of the requests in the time ahead.
    pub fn expected(&self, now: MonoTime) -> u64 {
        let factor = (-(now.ms_since(self.at) as f64) / Self::DECAY_MS).exp();
        if self.arrivals * factor < Self::ARRIVALS_MIN {
            return 0;
        }
        (self.cost * factor * Self::AHEAD_MS / Self::DECAY_MS) as u64
    }
}
