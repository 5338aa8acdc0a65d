//! An agent's request for a load permit.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::Class;

/// A load that an agent requests.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadRequest {
    /// The adapter to load.
    pub adapter: AdapterRef,
    /// The highest priority class among the queued requests for the adapter.
    pub class: Class,
    /// The urgency of the queued requests for the adapter.
    pub urgency: f64,
    /// The growth of the urgency per second of further waiting.
    pub urgency_growth_per_s: f64,
}

impl LoadRequest {
    /// The period after an eviction in which a request for the evicted adapter counts against the
    /// load.
    pub const EVICTION_HORIZON_S: f64 = 45.0;
    /// The largest share of the urgency that an eviction can take away.
    const EVICTION_DISCOUNT_MAX: f64 = 0.9;

    /// Lowers the urgency by the probability that the evicted adapter is requested again within the
    /// horizon.
    pub fn discounted_for_eviction(mut self, evicted_rate_per_s: f64) -> Self {
        let remaining_share = 1.0
            - Self::EVICTION_DISCOUNT_MAX
                * (evicted_rate_per_s * Self::EVICTION_HORIZON_S).min(1.0);
        self.urgency *= remaining_share;
        self.urgency_growth_per_s *= remaining_share;
        self
    }
}
