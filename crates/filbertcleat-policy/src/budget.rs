//! The budget of repeats that an entry shares over its requests.

use filbertcleat_base::MonoTime;

/// Allows repeats as a share of successes, so that a lasting failure can't multiply calls.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    share: f64,
    tokens: f64,
    refilled: MonoTime,
}

impl RetryBudget {
    /// The most repeats that can be saved up.
    const TOKENS_MAX: f64 = 20.0;
    /// Repeats granted a second without any success, so that a quiet entry can recover.
    const DRIP_PER_S: f64 = 0.5;

    /// Creates a full budget of `share_percent` repeats per 100 successes.
    pub fn new(share_percent: u8) -> Self {
        Self {
            share: f64::from(share_percent) / 100.0,
            tokens: Self::TOKENS_MAX,
            refilled: MonoTime::ZERO,
        }
    }

    /// Changes the share.
    pub fn set_share_percent(&mut self, share_percent: u8) {
        self.share = f64::from(share_percent) / 100.0;
    }

    /// Counts a request that was answered.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.share).min(Self::TOKENS_MAX);
    }

    /// Takes one repeat, if the budget has one.
    pub fn try_take(&mut self, now: MonoTime) -> bool {
        let dripped = now.since(self.refilled).as_secs_f64() * Self::DRIP_PER_S;
        self.tokens = (self.tokens + dripped).min(Self::TOKENS_MAX);
        self.refilled = now;

        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
