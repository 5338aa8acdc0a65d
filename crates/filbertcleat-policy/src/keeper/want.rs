//! Loads that agents want.

use filbertcleat_base::AdapterRef;
use filbertcleat_base::Class;

/// A load that an agent wants.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadRequest {
    /// The adapter to load.
    pub adapter: AdapterRef,
    /// The most important class among the waiting work.
    pub class: Class,
    /// How urgent the waiting work is.
    pub urgency: f64,
    /// How much more urgent it becomes a second.
    pub urgency_growth_per_s: f64,
}

impl LoadRequest {
    /// The time within which an evicted adapter's next request counts against the load.
    pub const EVICT_HORIZON_S: f64 = 45.0;
    /// How much of the urgency an eviction can take away.
    const EVICT_WEIGHT: f64 = 0.9;

    /// Lowers the urgency by the chance that the evicted adapter has to be loaded again soon.
    pub fn discounted_for_eviction(mut self, evicted_per_s: f64) -> Self {
        let kept = 1.0 - Self::EVICT_WEIGHT * (evicted_per_s * Self::EVICT_HORIZON_S).min(1.0);
        self.urgency *= kept;
        self.urgency_growth_per_s *= kept;
        self
    }
}
