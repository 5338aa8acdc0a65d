//! A weight store with a limited rate.

/// A weight store that gives one load at a time its full rate.
#[derive(Clone, Copy, Debug)]
pub struct WeightStoreModel {
    loads_per_s: f64,
}

impl WeightStoreModel {
    /// The share of the rate that is left when loads are made at the same time.
    const SHARED_RATE: f64 = 0.8;

    /// Creates a store that serves `loads_per_s` when they come one at a time.
    pub fn new(loads_per_s: f64) -> Self {
        Self { loads_per_s }
    }

    /// Returns the share of a load that is done in a second while `loads` are under way.
    pub fn progress_per_s(&self, loads: usize) -> f64 {
        let whole = if loads > 1 { self.loads_per_s * Self::SHARED_RATE } else { self.loads_per_s };
        whole / loads.max(1) as f64
    }
}
