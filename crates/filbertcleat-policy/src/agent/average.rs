//! A moving average.

/// An exponentially weighted moving average.
#[derive(Clone, Copy, Debug)]
pub(super) struct Average {
    value: f64,
}

impl Average {
    /// The weight of a new sample.
    const WEIGHT: f64 = 0.1;

    pub fn new(value: f64) -> Self {
        Self { value }
    }

    pub fn add(&mut self, sample: f64) {
        self.value += (sample - self.value) * Self::WEIGHT;
    }

    pub fn value(self) -> f64 {
        self.value
    }
}
