//! The retry budget of an entry.

use filbertcleat_base::MonoTime;

/// A token bucket that limits retries to a share of the successful requests, so that a lasting
/// failure can't multiply the load.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    retries_per_success: f64,
    /// The retries available now.
    tokens: f64,
    refilled_at: MonoTime,
}

impl RetryBudget {
    /// The maximum number of retries that can accumulate.
    const TOKENS_MAX: f64 = 20.0;
    /// The retries that accrue per second without any success, so that an idle entry can recover.
    const REFILL_PER_S: f64 = 0.5;

    /// Creates a full budget that gains `share_percent` retries per 100 successes.
    pub fn new(share_percent: u8) -> Self {
        Self {
            retries_per_success: f64::from(share_percent) / 100.0,
            tokens: Self::TOKENS_MAX,
            refilled_at: MonoTime::ZERO,
        }
    }

    /// Sets the number of retries gained per 100 successes.
    pub fn set_share_percent(&mut self, share_percent: u8) {
        self.retries_per_success = f64::from(share_percent) / 100.0;
    }

    /// Records a successful request.
    pub fn record_success(&mut self) {
        self.tokens = (self.tokens + self.retries_per_success).min(Self::TOKENS_MAX);
    }

    /// Takes one retry from the budget, and returns whether one was available.
    pub fn try_take(&mut self, now: MonoTime) -> bool {
        let refill = now.since(self.refilled_at).as_secs_f64() * Self::REFILL_PER_S;
        self.tokens = (self.tokens + refill).min(Self::TOKENS_MAX);
        self.refilled_at = now;

        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
