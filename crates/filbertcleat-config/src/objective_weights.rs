//! Weights of the optimization objectives.

use serde::Deserialize;
use serde::Serialize;

/// The weights of the two optimization objectives; only their ratio matters.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveWeights {
    /// The weight of the load stall: the time that requests wait for an adapter load.
    pub load_stall: f64,
    /// The weight of the batch efficiency: the used share of the batch in each engine step.
    pub batch_efficiency: f64,
}

impl ObjectiveWeights {
    /// Favors a low load stall 3:1; the profile of the cassowary deployment.
    pub const FAVOR_LOAD_STALL: Self = Self { load_stall: 3.0, batch_efficiency: 1.0 };
    /// Favors batch efficiency 3:1; the profile of the coldwater deployment.
    pub const FAVOR_BATCH_EFFICIENCY: Self = Self { load_stall: 1.0, batch_efficiency: 3.0 };

    /// Returns the weight of `batch_efficiency` as a share of the sum, between 0 and 1.
    pub fn batch_share(&self) -> f64 {
        self.batch_efficiency / (self.load_stall + self.batch_efficiency)
    }

    /// Returns whether both weights are finite and non-negative and at least one is positive.
    pub fn is_valid(&self) -> bool {
        let in_range = |weight: f64| weight.is_finite() && weight >= 0.0;
        in_range(self.load_stall)
            && in_range(self.batch_efficiency)
            && self.load_stall + self.batch_efficiency > 0.0
    }
}

impl Default for ObjectiveWeights {
    fn default() -> Self {
        Self { load_stall: 1.0, batch_efficiency: 1.0 }
    }
}
