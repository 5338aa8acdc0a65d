//! What the operators weigh against each other.

use serde::Deserialize;
use serde::Serialize;

/// The weights of the two measures; only their ratio matters.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectiveWeights {
    /// The weight of the time that requests wait for a load.
    pub load_stall: f64,
    /// The weight of how fully each engine step is used.
    pub batch_efficiency: f64,
}

impl ObjectiveWeights {
    /// Cassowary's profile.
    pub const FAVOR_LOAD_STALL: Self = Self { load_stall: 3.0, batch_efficiency: 1.0 };
    /// Coldwater's profile.
    pub const FAVOR_BATCH_EFFICIENCY: Self = Self { load_stall: 1.0, batch_efficiency: 3.0 };

    /// Returns the share of `batch_efficiency` in the sum, between 0 and 1.
    pub fn batch_share(&self) -> f64 {
        self.batch_efficiency / (self.load_stall + self.batch_efficiency)
    }

    /// Returns whether the weights can be used.
    pub fn is_valid(&self) -> bool {
        let fine = |weight: f64| weight.is_finite() && weight >= 0.0;
        fine(self.load_stall)
            && fine(self.batch_efficiency)
            && self.load_stall + self.batch_efficiency > 0.0
    }
}

impl Default for ObjectiveWeights {
    fn default() -> Self {
        Self { load_stall: 1.0, batch_efficiency: 1.0 }
    }
}
