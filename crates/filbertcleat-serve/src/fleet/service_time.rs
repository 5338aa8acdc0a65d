//! Learns how long the requests of a route take at servers without engines.

use super::quantile::Quantile;

/// The response times of one route at the servers of one service, as this entry sees them.
///
/// Load pattern: few requests take many times as long as the others, so that quantiles are tracked
/// rather than a mean, which a few of them would move.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceTime {
    median: Quantile,
    high: Quantile,
    error: Quantile,
}

impl ServiceTime {
    /// The responses after which the quantiles count as known. The median is then within a fifth of
    /// the true one for times that spread by a factor of two.
    const SETTLED_RESPONSES: u32 = 30;
    /// The share of the responses that are shorter than the high quantile. Requests beyond it are
    /// too rare for a server's state to explain them.
    const HIGH_SHARE: f64 = 0.99;
    /// The part of the latency objective from which the high quantile puts responses at risk: a
    /// server that is twice as slow for a moment then makes them late.
    const RISK_SHARE: f64 = 0.5;

    /// Creates the estimate of a route without responses.
    pub fn new() -> Self {
        Self {
            median: Quantile::new(0.5, 1.0),
            high: Quantile::new(Self::HIGH_SHARE, 1.0),
            error: Quantile::new(0.5, 1.0),
        }
    }

    /// Records a response time and its distance from the estimate, in logarithms.
    pub fn observe(&mut self, response_ms: f64, error: f64) {
        if self.is_settled() {
            self.error.observe(error.abs().exp());
        }
        self.median.observe(response_ms);
        self.high.observe(response_ms);
    }

    /// Returns whether enough responses are known.
    pub fn is_settled(&self) -> bool {
        self.median.observations() >= Self::SETTLED_RESPONSES
    }

    /// Returns the median of the response times.
    pub fn median_ms(&self) -> f64 {
        self.median.value()
    }

    /// Returns the response time that one of a hundred responses exceeds.
    pub fn high_ms(&self) -> f64 {
        self.high.value().max(self.median_ms())
    }

    /// Returns the median factor, in either direction, between a response time and the estimate.
    pub fn error_factor(&self) -> f64 {
        self.error.value().max(1.0)
    }

    /// Returns whether a slow server may make responses late.
    pub fn is_at_risk(&self, objective_ms: u64) -> bool {
        self.is_settled()
            && objective_ms > 0
            && self.high_ms() > objective_ms as f64 * Self::RISK_SHARE
    }
}
