//! A model of the weight store, whose bandwidth all loads share.

/// A weight store with a limited total load rate, which drops when loads overlap.
#[derive(Clone, Copy, Debug)]
pub struct WeightStoreModel {
    loads_per_s: f64,
}

impl WeightStoreModel {
    /// The fraction of the total load rate that remains when two or more loads overlap.
    const CONCURRENT_RATE_FRACTION: f64 = 0.8;

    /// Creates a store that completes `loads_per_s` loads per second if they run one at a time.
    pub fn new(loads_per_s: f64) -> Self {
        Self { loads_per_s }
    }

    /// Returns the fraction of each load that completes per second while `loads` of them run.
    pub fn progress_per_s(&self, loads: usize) -> f64 {
        let total_per_s = if loads > 1 {
            self.loads_per_s * Self::CONCURRENT_RATE_FRACTION
        } else {
            self.loads_per_s
        };
        total_per_s / loads.max(1) as f64
    }
}
